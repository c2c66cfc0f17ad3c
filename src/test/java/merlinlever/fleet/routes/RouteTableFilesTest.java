package merlinlever.fleet.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import merlinlever.fleet.routes.net.RouteTableFiles;
import org.junit.jupiter.api.Test;

class RouteTableFilesTest {

    private static Duration seconds(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    private static int writeCount;

    private static void write(Path file, String text) throws IOException {
        Files.writeString(file, text);
        Files.setLastModifiedTime(file, FileTime.fromMillis(1_000_000_000L + 1000L * writeCount++));
    }

    @Test
    void aLeaseStartsOneFetchTimeBeforeTheLastPollBeforeTheWrite() throws IOException {
        Path file = Files.createTempFile("merlinlever-routes", ".json");
        try {
            List<String> logLines = new ArrayList<>();
            RoutingTable routes = new RoutingTable(
                    new RoutingPolicy("me"),
                    List.of(new RoutingTable.PartnerSettings("east", Relation.PEER)),
                    0,
                    FlapDamping.FlapDampingSettings.RECOMMENDED,
                    RouteSelectorTest.fullQuorum(),
                    event -> logLines.add(event.text()));
            RouteTableFiles files =
                    new RouteTableFiles(routes, Map.of("east", file), seconds(2), event -> logLines.add(event.text()));
            String text = RouteTableWriter.write(
                    RouteMergerTest.table("east", 1, Relation.PEER, RouteMergerTest.route("t", 1, "east")));
            write(file, text);
            files.poll(seconds(100));
            assertEquals(
                    0,
                    routes.candidates(seconds(100), "t/records").size(),
                    "a file found at the first poll must not start a lease");
            files.poll(seconds(101));
            write(file, text);
            files.poll(seconds(104));
            // The last poll before the write was at 101 s and the fetch takes at most 2 s, so the lease of 10 s
            // starts at 99 s.
            assertEquals(1, routes.candidates(seconds(108.9), "t/records").size());
            assertEquals(0, routes.candidates(seconds(109), "t/records").size());
            files.poll(seconds(106));
            assertEquals(
                    0,
                    routes.candidates(seconds(109), "t/records").size(),
                    "a poll without a rewrite must not renew the lease");
            write(file, text.substring(0, text.length() / 2));
            files.poll(seconds(107));
            assertEquals(
                    1,
                    logLines.stream()
                            .filter(line -> line.startsWith("route-file-rejected partner=east")
                                    && line.contains("reason=route table is invalid: "))
                            .count(),
                    "a truncated file must be rejected");
            assertEquals(1, routes.candidates(seconds(108), "t/records").size());
            write(file, text.replace("\"site\":\"east\"", "\"site\":\"west\""));
            files.poll(seconds(108));
            assertEquals(
                    1,
                    logLines.stream()
                            .filter(line -> line.endsWith("reason=wrong-site site=west"))
                            .count());
        } finally {
            Files.delete(file);
        }
    }
}
