package merlinlever.testing.faults.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class LinkFaultsTest {

    /** A stream keeps its order and its pace whatever the jitter; a datagram is never earlier than its delay. */
    @Property(tries = 200, seed = "24")
    void aStreamKeepsItsOrderAndItsPace(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 200) int delayMs,
            @ForAll @IntRange(min = 0, max = 200) int jitterMs,
            @ForAll @IntRange(min = 1_000, max = 1_000_000) int bytes) {
        SplittableRandom chance = new SplittableRandom(seed);
        LinkFaults links = new LinkFaults(2);
        links.set(
                0,
                1,
                new LinkFaults.LinkFault(0, 0, Duration.ofMillis(delayMs), Duration.ofMillis(jitterMs), bytes, false));
        Duration last = Duration.ZERO;
        long carried = 0;
        for (int i = 0; i < 50; i++) {
            Duration now = Duration.ofMillis(i * 3L);
            int size = 1 + chance.nextInt(16_384);
            Duration leaves = links.stream(now, 0, 1, size, chance).orElseThrow();
            carried += size;
            assertTrue(leaves.compareTo(last) >= 0, "in order");
            assertTrue(leaves.compareTo(now.plusMillis(delayMs)) >= 0, "not before its delay");
            assertTrue(
                    leaves.toNanos() + 50 >= carried * 1_000_000_000L / bytes,
                    "not faster than the bound, but for rounding");
            last = leaves;
            for (Duration at : links.datagram(now, 1, 0, size, chance)) {
                assertEquals(now, at, "the other way has no fault");
            }
        }
    }

    @Test
    void aPartitionCutsBetweenSidesAloneAndHealingUndoesIt() {
        SplittableRandom chance = new SplittableRandom(1);
        LinkFaults links = new LinkFaults(4);
        links.partition(List.of(Set.of(0, 1), Set.of(2, 3)));
        assertEquals(List.of(), links.datagram(Duration.ZERO, 0, 2, 10, chance));
        assertEquals(List.of(), links.datagram(Duration.ZERO, 3, 1, 10, chance));
        assertEquals(Optional.empty(), links.stream(Duration.ZERO, 1, 3, 10, chance), "a stream is held while cut");
        assertEquals(1, links.datagram(Duration.ZERO, 0, 1, 10, chance).size());
        links.isolate(0, true);
        assertEquals(List.of(), links.datagram(Duration.ZERO, 0, 1, 10, chance));
        assertEquals(1, links.datagram(Duration.ZERO, 1, 0, 10, chance).size(), "one way alone");
        links.heal();
        assertEquals(1, links.datagram(Duration.ZERO, 0, 2, 10, chance).size());
        long before = links.resets(0, 1);
        links.reset(0, 1);
        assertTrue(links.resets(1, 0) > before && links.resets(0, 1) > before);
    }

    @Test
    void lossAndCopiesComeAtTheirShare() {
        SplittableRandom chance = new SplittableRandom(7);
        LinkFaults links = new LinkFaults(2);
        links.setBothWays(0, 1, new LinkFaults.LinkFault(0.3, 0.2, Duration.ZERO, Duration.ZERO, 0, false));
        int arrived = 0;
        for (int i = 0; i < 10_000; i++) {
            arrived += links.datagram(Duration.ZERO, 0, 1, 10, chance).size();
        }
        // 0.7 arrive, a fifth of them twice: 0.84 of what was sent.
        assertTrue(arrived > 8_100 && arrived < 8_700, "arrived " + arrived);
    }
}
