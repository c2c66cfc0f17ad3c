package merlinlever.fleet.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import merlinlever.compatibility.Fixture;
import merlinlever.fleet.replication.VersionedEntry;
import org.junit.jupiter.api.Test;

/**
 * Pins the format of a table chunk. The compressed bytes may differ between Java versions, so only the header is
 * compared.
 */
class TableChunkBytesTest {

    @Test
    void aTableIsAssembledFromAStoredChunk() {
        RouteTable table = RouteTable.of(
                "s1",
                4,
                17,
                Relation.PEER,
                Duration.ofSeconds(30),
                List.of(new Route(
                        "reads", "records", "10.1.0.1:7100", 50, 3, false, List.of("s1"), null, Restrictions.NONE)));
        Fixture fixture = new Fixture("routes.txt");
        VersionedEntry chunk = TableChunks.split(table).get(0);
        fixture.assertMatches(
                "routes.0.head", new String(chunk.value(), 0, 35, java.nio.charset.StandardCharsets.US_ASCII));
        assertEquals(
                List.of("s1", "routes.0", 4L, 17L),
                List.of(chunk.owner(), chunk.topic(), chunk.incarnation(), chunk.sequence()));
        assertEquals(
                table,
                new TableChunks().receive(new VersionedEntry("s1", "routes.0", 4, 17, fixture.bytes("routes.0"))));
    }
}
