package merlinlever.fleet.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import merlinlever.compatibility.Fixture;
import merlinlever.fleet.replication.VersionedEntry;
import org.junit.jupiter.api.Test;

/** A partner's table as the backends share it: deflated, so it is read, and its head alone is compared. */
class PartsBytesTest {

    @Test
    void aTableIsReadFromItsPart() {
        RouteTable table = RouteTable.of(
                "s1",
                4,
                17,
                Relation.PEER,
                Duration.ofSeconds(30),
                List.of(new Route(
                        "reads", "records", "10.1.0.1:7100", 50, 3, false, List.of("s1"), null, Restrictions.NONE)));
        Fixture fixture = new Fixture("routes.txt");
        VersionedEntry part = TableChunks.split(table).get(0);
        fixture.assertMatches(
                "routes.0.head", new String(part.value(), 0, 35, java.nio.charset.StandardCharsets.US_ASCII));
        assertEquals(
                List.of("s1", "routes.0", 4L, 17L),
                List.of(part.owner(), part.topic(), part.incarnation(), part.sequence()));
        assertEquals(
                table,
                new TableChunks().receive(new VersionedEntry("s1", "routes.0", 4, 17, fixture.bytes("routes.0"))));
    }
}
