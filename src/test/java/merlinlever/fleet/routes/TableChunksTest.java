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

    private static RouteTable large(long sequence, int from) {
        List<Route> many = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(sequence);
        for (int i = from; i < from + 10_000; i++) {
            many.add(new Route(
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
        return RouteTable.of("east", 1, sequence, Relation.PEER, Duration.ofSeconds(5), many);
    }

    @Test
    void chunksAreAssembledInAnyOrderAndOnlyOnceComplete() {
        RouteTable first = large(1, 0);
        RouteTable second = large(2, 50);
        List<VersionedEntry> entries = new ArrayList<>(TableChunks.split(first));
        assertTrue(entries.size() > 3
                && entries.size() < TableChunks.MAX_CHUNKS
                && entries.stream().allMatch(chunk -> chunk.value().length <= VersionedEntry.MAX_VALUE_BYTES));
        Collections.shuffle(entries, new Random(5));
        TableChunks receiver = new TableChunks();
        for (VersionedEntry chunk : entries.subList(1, entries.size())) {
            assertNull(receiver.receive(chunk));
            assertNull(receiver.receive(chunk));
        }
        // Half of a later table leaves no way back to the older one, and is no table either.
        List<VersionedEntry> later = TableChunks.split(second);
        assertNull(receiver.receive(later.get(0)));
        assertNull(receiver.receive(entries.get(0)));
        RouteTable assembled = null;
        for (VersionedEntry chunk : later) {
            assembled = receiver.receive(chunk);
        }
        assertEquals(second, assembled);
    }

    // One part of the list is picked out by its identity.
    @SuppressWarnings("ReferenceEquality")
    @Test
    void corruptedOrMixedChunksAreNoTable() {
        List<VersionedEntry> one = TableChunks.split(large(1, 0));
        List<VersionedEntry> other = TableChunks.split(large(2, 50));
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            TableChunks receiver = new TableChunks();
            for (int i = 0; i < one.size(); i++) {
                VersionedEntry chunk = one.get(i);
                byte[] value = chunk.value().clone();
                if (i == 1) {
                    value[random.nextInt(value.length)] ^= (byte) (1 << random.nextInt(8));
                }
                assertNull(receiver.receive(new VersionedEntry("east", chunk.topic(), 1, 1, value)));
            }
        }
        TableChunks receiver = new TableChunks();
        for (int i = 0; i < one.size(); i++) {
            // Chunks of two tables under one version.
            VersionedEntry chunk = i % 2 == 0 ? one.get(i) : other.get(Math.min(i, other.size() - 1));
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
