package merlinlever.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import merlinlever.routes.net.RouteTableFiles;
import net.jqwik.api.Example;

class RouteTableFilesTest {

    private static Duration s(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    private static int times;

    private static void write(Path file, String text) throws IOException {
        Files.writeString(file, text);
        Files.setLastModifiedTime(file, FileTime.fromMillis(1_000_000_000L + 1000 * times++));
    }

    @Example
    void aLeaseCountsFromTheLastPollBeforeTheWrite() throws IOException {
        Path file = Files.createTempFile("merlinlever-routes", ".json");
        try {
            List<String> told = new ArrayList<>();
            RoutingTable routes = new RoutingTable(
                    new RoutingPolicy("me"),
                    List.of(new RoutingTable.PartnerSettings("east", Relation.PEER)),
                    0,
                    FlapDamping.FlapDampingSettings.RECOMMENDED,
                    RouteSelectorTest.whole(),
                    told::add);
            RouteTableFiles files = new RouteTableFiles(routes, Map.of("east", file), s(2), told::add);
            String text = RouteTableWriter.write(
                    RouteMergerTest.table("east", 1, Relation.PEER, RouteMergerTest.route("t", 1, "east")));
            write(file, text);
            files.poll(s(100));
            assertEquals(0, routes.candidates(s(100), "t/records").size(), "it may be of any age");
            files.poll(s(101));
            write(file, text);
            files.poll(s(104));
            // Asked for at 99 at the earliest.
            assertEquals(1, routes.candidates(s(108.9), "t/records").size());
            assertEquals(0, routes.candidates(s(109), "t/records").size());
            files.poll(s(106));
            assertEquals(0, routes.candidates(s(109), "t/records").size(), "a look alone is no word of the partner");
            write(file, text.substring(0, text.length() / 2));
            files.poll(s(107));
            assertEquals(
                    1,
                    told.stream()
                            .filter(line -> line.startsWith("route-file-rejected partner=east")
                                    && line.contains("reason=the table"))
                            .count(),
                    "a file in halves");
            assertEquals(1, routes.candidates(s(108), "t/records").size());
            write(file, text.replace("\"site\":\"east\"", "\"site\":\"west\""));
            files.poll(s(108));
            assertEquals(
                    1,
                    told.stream()
                            .filter(line -> line.endsWith("reason=wrong-site site=west"))
                            .count());
        } finally {
            Files.delete(file);
        }
    }
}
