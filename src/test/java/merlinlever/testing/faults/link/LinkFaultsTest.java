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

    /** Checks that jitter neither reorders a stream nor exceeds its bandwidth, and that links are one-way. */
    @Property(tries = 200, seed = "24")
    void streamsStayInOrderAndWithinBandwidth(
            @ForAll long seed,
            @ForAll @IntRange(min = 0, max = 200) int delayMs,
            @ForAll @IntRange(min = 0, max = 200) int jitterMs,
            @ForAll @IntRange(min = 1_000, max = 1_000_000) int bytesPerSecond) {
        SplittableRandom random = new SplittableRandom(seed);
        LinkFaults links = new LinkFaults(2);
        links.set(
                0,
                1,
                new LinkFaults.LinkFault(
                        0, 0, Duration.ofMillis(delayMs), Duration.ofMillis(jitterMs), bytesPerSecond, false));
        Duration last = Duration.ZERO;
        long carried = 0;
        for (int i = 0; i < 50; i++) {
            Duration now = Duration.ofMillis(i * 3L);
            int size = 1 + random.nextInt(16_384);
            Duration departure = links.stream(now, 0, 1, size, random).orElseThrow();
            carried += size;
            assertTrue(departure.compareTo(last) >= 0, "departed out of order");
            assertTrue(departure.compareTo(now.plusMillis(delayMs)) >= 0, "departed before its delay");
            assertTrue(
                    departure.toNanos() + 50 >= carried * 1_000_000_000L / bytesPerSecond,
                    "exceeded the bandwidth by more than rounding");
            last = departure;
            for (Duration reverseDeparture : links.datagram(now, 1, 0, size, random)) {
                assertEquals(now, reverseDeparture, "the reverse link has no fault");
            }
        }
    }

    @Test
    void partitionCutsOnlyLinksBetweenSidesUntilHealed() {
        SplittableRandom random = new SplittableRandom(1);
        LinkFaults links = new LinkFaults(4);
        links.partition(List.of(Set.of(0, 1), Set.of(2, 3)));
        assertEquals(List.of(), links.datagram(Duration.ZERO, 0, 2, 10, random));
        assertEquals(List.of(), links.datagram(Duration.ZERO, 3, 1, 10, random));
        assertEquals(Optional.empty(), links.stream(Duration.ZERO, 1, 3, 10, random), "a cut link holds streams");
        assertEquals(1, links.datagram(Duration.ZERO, 0, 1, 10, random).size());
        links.isolate(0, true);
        assertEquals(List.of(), links.datagram(Duration.ZERO, 0, 1, 10, random));
        assertEquals(1, links.datagram(Duration.ZERO, 1, 0, 10, random).size(), "a one-way cut keeps the reverse link");
        links.heal();
        assertEquals(1, links.datagram(Duration.ZERO, 0, 2, 10, random).size());
        long before = links.resets(0, 1);
        links.reset(0, 1);
        assertTrue(links.resets(1, 0) > before && links.resets(0, 1) > before);
    }

    @Test
    void lossAndDuplicatesMatchTheirRates() {
        SplittableRandom random = new SplittableRandom(7);
        LinkFaults links = new LinkFaults(2);
        links.setBothWays(0, 1, new LinkFaults.LinkFault(0.3, 0.2, Duration.ZERO, Duration.ZERO, 0, false));
        int arrived = 0;
        for (int i = 0; i < 10_000; i++) {
            arrived += links.datagram(Duration.ZERO, 0, 1, 10, random).size();
        }
        // Expected: 0.7 of the datagrams arrive, 0.2 of them twice, which gives 8400 arrivals.
        assertTrue(arrived > 8_100 && arrived < 8_700, "arrived " + arrived);
    }
}
