package merlinlever.fleet.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import merlinlever.fleet.replication.VersionedEntry;
import org.junit.jupiter.api.Test;

class TableChunksTest {

    private static RouteTable largeTable(long sequence, int firstRoute) {
        List<Route> routes = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(sequence);
        for (int i = firstRoute; i < firstRoute + 10_000; i++) {
            routes.add(new Route(
                    "t" + i,
                    "records",
                    "10.0.0.1:" + (1 + random.nextInt(60_000)),
                    1 + random.nextInt(1000),
                    random.nextInt(1000),
                    false,
                    List.of("east"),
                    null,
                    Restrictions.NONE));
        }
        return RouteTable.of("east", 1, sequence, Relation.PEER, Duration.ofSeconds(5), routes);
    }

    @Test
    void chunksAreAssembledInAnyOrderWhenComplete() {
        RouteTable first = largeTable(1, 0);
        RouteTable second = largeTable(2, 50);
        List<VersionedEntry> firstChunks = new ArrayList<>(TableChunks.split(first));
        assertTrue(firstChunks.size() > 3
                && firstChunks.size() < TableChunks.MAX_CHUNKS
                && firstChunks.stream().allMatch(chunk -> chunk.value().length <= VersionedEntry.MAX_VALUE_BYTES));
        Collections.shuffle(firstChunks, new Random(5));
        TableChunks receiver = new TableChunks();
        for (VersionedEntry chunk : firstChunks.subList(1, firstChunks.size())) {
            assertNull(receiver.receive(chunk));
            assertNull(receiver.receive(chunk));
        }
        // After the first chunk of a later table, the older table is no longer assembled.
        List<VersionedEntry> laterChunks = TableChunks.split(second);
        assertNull(receiver.receive(laterChunks.get(0)));
        assertNull(receiver.receive(firstChunks.get(0)));
        RouteTable assembled = null;
        for (VersionedEntry chunk : laterChunks) {
            assembled = receiver.receive(chunk);
        }
        assertEquals(second, assembled);
    }

    @SuppressWarnings("ReferenceEquality")
    @Test
    void corruptedOrMixedChunksAreNotAssembled() {
        List<VersionedEntry> firstChunks = TableChunks.split(largeTable(1, 0));
        List<VersionedEntry> secondChunks = TableChunks.split(largeTable(2, 50));
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            TableChunks receiver = new TableChunks();
            for (int i = 0; i < firstChunks.size(); i++) {
                VersionedEntry chunk = firstChunks.get(i);
                byte[] value = chunk.value().clone();
                if (i == 1) {
                    value[random.nextInt(value.length)] ^= (byte) (1 << random.nextInt(8));
                }
                assertNull(receiver.receive(new VersionedEntry("east", chunk.topic(), 1, 1, value)));
            }
        }
        TableChunks receiver = new TableChunks();
        for (int i = 0; i < firstChunks.size(); i++) {
            // Mixes the chunks of two tables under the same version.
            VersionedEntry chunk =
                    i % 2 == 0 ? firstChunks.get(i) : secondChunks.get(Math.min(i, secondChunks.size() - 1));
            assertNull(receiver.receive(new VersionedEntry("east", chunk.topic(), 1, 1, chunk.value())));
        }
        for (VersionedEntry malformed : List.of(
                new VersionedEntry("east", "routes.0", 9, 9, null),
                new VersionedEntry("east", "routes.0", 9, 9, new byte[0]),
                new VersionedEntry(
                        "east",
                        "routes.7",
                        9,
                        9,
                        "3 00000000000000000000000000000000\n".getBytes(StandardCharsets.US_ASCII)),
                new VersionedEntry(
                        "east",
                        "routes.x",
                        9,
                        9,
                        "3 00000000000000000000000000000000\n".getBytes(StandardCharsets.US_ASCII)))) {
            assertNull(receiver.receive(malformed));
        }
    }
}
