package merlinlever.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import merlinlever.replication.VersionedEntry;
import net.jqwik.api.Example;

class TableChunksTest {

    private static RouteTable large(long sequence, int from) {
        List<Route> many = new ArrayList<>();
        SplittableRandom chance = new SplittableRandom(sequence);
        for (int i = from; i < from + 10_000; i++) {
            many.add(new Route(
                    "t" + i,
                    "records",
                    "10.0.0.1:" + (1 + chance.nextInt(60_000)),
                    1 + chance.nextInt(1000),
                    chance.nextInt(1000),
                    false,
                    List.of("east"),
                    null,
                    Restrictions.NONE));
        }
        return RouteTable.of("east", 1, sequence, Relation.PEER, Duration.ofSeconds(5), many);
    }

    @Example
    void chunksAreAssembledInAnyOrderAndOnlyOnceComplete() {
        RouteTable first = large(1, 0), second = large(2, 50);
        List<VersionedEntry> parts = new ArrayList<>(TableChunks.split(first));
        assertTrue(parts.size() > 3
                && parts.size() < TableChunks.MAX_CHUNKS
                && parts.stream().allMatch(each -> each.value().length <= VersionedEntry.MOST_OCTETS));
        Collections.shuffle(parts, new Random(5));
        TableChunks gather = new TableChunks();
        for (VersionedEntry each : parts.subList(1, parts.size())) {
            assertNull(gather.receive(each));
            assertNull(gather.receive(each));
        }
        // Half of a later one leaves no way back to the older, and is no table either.
        List<VersionedEntry> later = TableChunks.split(second);
        assertNull(gather.receive(later.get(0)));
        assertNull(gather.receive(parts.get(0)));
        RouteTable whole = null;
        for (VersionedEntry each : later) {
            whole = gather.receive(each);
        }
        assertEquals(second, whole);
    }

    @Example
    void corruptedOrMixedChunksAreNoTable() {
        List<VersionedEntry> one = TableChunks.split(large(1, 0)), other = TableChunks.split(large(2, 50));
        for (int spoilt = 0; spoilt < 200; spoilt++) {
            SplittableRandom chance = new SplittableRandom(spoilt);
            TableChunks gather = new TableChunks();
            for (VersionedEntry each : one) {
                byte[] value = each.value().clone();
                if (each == one.get(1)) {
                    value[chance.nextInt(value.length)] ^= (byte) (1 << chance.nextInt(8));
                }
                assertNull(gather.receive(new VersionedEntry("east", each.topic(), 1, 1, value)));
            }
        }
        TableChunks gather = new TableChunks();
        for (int i = 0; i < one.size(); i++) {
            // Parts of two tables under one version.
            VersionedEntry each = i % 2 == 0 ? one.get(i) : other.get(Math.min(i, other.size() - 1));
            assertNull(gather.receive(new VersionedEntry("east", each.topic(), 1, 1, each.value())));
        }
        for (VersionedEntry odd : List.of(
                new VersionedEntry("east", "routes.0", 9, 9, null),
                new VersionedEntry("east", "routes.0", 9, 9, new byte[0]),
                new VersionedEntry(
                        "east",
                        "routes.7",
                        9,
                        9,
                        "3 00000000000000000000000000000000\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII)),
                new VersionedEntry(
                        "east",
                        "routes.x",
                        9,
                        9,
                        "3 00000000000000000000000000000000\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII)))) {
            assertNull(gather.receive(odd));
        }
    }
}
