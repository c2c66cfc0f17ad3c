package merlinlever.trials;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.shared.Snapshot;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class TallyTest {

    static Trial trial(int version, int... weights) {
        List<Trial.Arm> arms = java.util.stream.IntStream.range(0, weights.length)
                .mapToObj(i -> new Trial.Arm("a" + i, weights[i], null, null, null))
                .toList();
        return new Trial("t", version, arms, 0, 0.05, 0.1, 0.02, Duration.ofDays(1), Duration.ofSeconds(10), 2, 3);
    }

    @Property(tries = 30, seed = "5")
    void callersFallToTheArmsByTheirWeightsAndStay(
            @ForAll @IntRange(min = 1, max = 1000) int version, @ForAll @IntRange(min = 1, max = 5) int weight) {
        Trial trial = trial(version, weight, 3, 4);
        Split here = new Split(trial);
        Split there = new Split(trial(version, weight, 3, 4));
        Split next = new Split(trial(version + 1, weight, 3, 4));
        int[] count = new int[3];
        int moved = 0;
        int n = 9000;
        for (int i = 0; i < n; i++) {
            int arm = here.arm("caller-" + i);
            assertEquals(arm, there.arm("caller-" + i));
            moved += next.arm("caller-" + i) != arm ? 1 : 0;
            count[arm]++;
        }
        double same = 0;
        for (int arm = 0; arm < 3; arm++) {
            double part = here.part(arm);
            assertEquals(trial.arms().get(arm).weight() / (weight + 7.0), part, 1.0 / Split.BUCKETS);
            assertEquals(part, count[arm] / (double) n, 5 * Math.sqrt(part * (1 - part) / n));
            same += part * part;
        }
        assertEquals(1 - same, moved / (double) n, 0.03, "the next trial scatters them anew");
    }

    @Example
    void furtherTriesAreTheirFirst() {
        Trial trial = trial(1, 1, 1);
        Tally tally = new Tally(trial);
        Tally.Op op = tally.asked("c", "op1", false);
        tally.became(op, Tally.Became.PUSHED_BACK, 0);
        assertEquals(new Tally.Counts(1, 0, 0, 1, 0, 0), tally.counts(op.arm()));
        Tally.Op further = tally.asked("c", "op1", true);
        tally.became(further, Tally.Became.PUSHED_BACK, 0);
        tally.became(tally.asked("c", "op1", true), Tally.Became.SATISFIED, 1);
        tally.became(tally.asked("c", "op1", true), Tally.Became.SATISFIED, 1);
        assertEquals(
                new Tally.Counts(1, 1, 0, 0, 500, 250_000),
                tally.counts(op.arm()),
                "asked once, satisfied once, pushed back no more");
        // Tried first at another backend: asked there, satisfied here.
        Tally there = new Tally(trial);
        there.became(there.asked("c", "op2", true), Tally.Became.LATE, 5);
        assertEquals(
                new Tally.Counts(0, 0, 1, 0, 1000, 1_000_000),
                there.counts(op.arm()),
                "never more than the highest value");
        tally.became(tally.asked("c", "op2", false), Tally.Became.PUSHED_BACK, 0);
        tally.add(there);
        assertEquals(2, tally.counts(op.arm()).asked());
        assertEquals(1, tally.counts(op.arm()).late());
    }

    @Example
    void aCallerWithHalfTheTrafficWeighsLittle() {
        Tally tally = new Tally(trial(1, 1, 1));
        SplittableRandom chance = new SplittableRandom(1);
        int n = 40_000;
        for (int i = 0; i < n; i++) {
            tally.asked(chance.nextBoolean() ? "heavy" : "c" + chance.nextInt(3000), null, false);
        }
        long most = Arrays.stream(tally.asked).max().getAsLong();
        long all = Arrays.stream(tally.asked).sum();
        assertTrue(most <= all * 5 / Split.BUCKETS + 20, most + " of " + all);
        assertEquals(n, tally.counts(0).asked() + tally.counts(1).asked(), "all are told");
    }

    private static Tally drawn(Trial trial, long seed, int n) {
        Tally tally = new Tally(trial);
        SplittableRandom chance = new SplittableRandom(seed);
        for (int i = 0; i < n; i++) {
            tally.became(
                    tally.asked("c" + chance.nextInt(5000), "o" + i, chance.nextInt(10) == 0),
                    Tally.Became.values()[chance.nextInt(4)],
                    2 * chance.nextDouble());
        }
        tally.ran(Duration.ofSeconds(seed));
        return tally;
    }

    @Property(tries = 20, seed = "6")
    void whatIsWrittenIsReadWholeOrNotAtAll(@ForAll long seed) {
        Trial trial = trial(1, 1, 1, 2);
        byte[] written = drawn(trial, Math.abs(seed % 1000), 3000).write();
        Tally read = Tally.read(trial, written);
        assertArrayEquals(written, read.write());
        assertNull(Tally.read(trial(2, 1, 1, 2), written), "of the same name, changed");
        for (int cut = 0; cut < written.length; cut += 7) {
            assertNull(Tally.read(trial, Arrays.copyOf(written, cut)), "cut off at " + cut);
        }
        SplittableRandom chance = new SplittableRandom(seed);
        for (int i = 0; i < 50; i++) {
            byte[] spoilt = written.clone();
            spoilt[chance.nextInt(spoilt.length)] ^= (byte) (1 << chance.nextInt(8));
            Tally other = Tally.read(trial, spoilt);
            assertTrue(other == null || Arrays.equals(spoilt, other.write()), "never half");
        }
    }

    @Example
    void theLargestStillFitsASnapshot() {
        Trial trial = trial(1, 1, 1, 1, 1, 1, 1, 1, 1);
        Tally tally = drawn(trial, 1, 60_000);
        for (int i = 0; i < Split.BUCKETS; i++) {
            tally.asked[i] = 1L << 38;
            tally.satisfied[i] = 1L << 38;
            tally.value[i] = 1000L << 38;
        }
        byte[] written = tally.write();
        assertTrue(written.length <= Snapshot.MOST_OCTETS, written.length + " octets");
        assertNotNull(Tally.read(trial, written));
    }

    @Example
    void samplesOfCallersMergeInAnyOrderAndAnyNumberOfTimes() {
        Trial trial = trial(1, 1, 1);
        Tally all = drawn(trial, 1, 9000);
        Tally a = drawn(trial, 2, 9000);
        Sample one = new Sample();
        one.add(all.sample);
        one.add(a.sample);
        one.add(all.sample);
        Sample other = new Sample();
        other.add(a.sample);
        other.add(all.sample);
        Octets first = new Octets();
        Octets second = new Octets();
        one.write(first);
        other.write(second);
        assertArrayEquals(first.written(), second.written());
        long kept = Arrays.stream(one.counts(2)).sum();
        assertTrue(kept <= Sample.MOST && kept > Sample.MOST / 4, "kept " + kept);
        assertEquals(0.5, one.counts(2)[0] / (double) kept, 4 * Math.sqrt(0.25 / kept));
    }
}
