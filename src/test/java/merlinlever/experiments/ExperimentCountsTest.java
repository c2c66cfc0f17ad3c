package merlinlever.experiments;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.replication.VersionedEntry;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ExperimentCountsTest {

    static Experiment trial(int version, int... weights) {
        List<Experiment.Arm> arms = java.util.stream.IntStream.range(0, weights.length)
                .mapToObj(i -> new Experiment.Arm("a" + i, weights[i], null, null, null))
                .toList();
        return new Experiment("t", version, arms, 0, 0.05, 0.1, 0.02, Duration.ofDays(1), Duration.ofSeconds(10), 2, 3);
    }

    @Property(tries = 30, seed = "5")
    void callersFallToTheArmsByTheirWeightsAndStay(
            @ForAll @IntRange(min = 1, max = 1000) int version, @ForAll @IntRange(min = 1, max = 5) int weight) {
        Experiment trial = trial(version, weight, 3, 4);
        BucketAssignment here = new BucketAssignment(trial);
        BucketAssignment there = new BucketAssignment(trial(version, weight, 3, 4));
        BucketAssignment next = new BucketAssignment(trial(version + 1, weight, 3, 4));
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
            assertEquals(trial.arms().get(arm).weight() / (weight + 7.0), part, 1.0 / BucketAssignment.BUCKETS);
            assertEquals(part, count[arm] / (double) n, 5 * Math.sqrt(part * (1 - part) / n));
            same += part * part;
        }
        assertEquals(1 - same, moved / (double) n, 0.03, "the next trial scatters them anew");
    }

    @Example
    void furtherTriesAreTheirFirst() {
        Experiment trial = trial(1, 1, 1);
        ExperimentCounts tally = new ExperimentCounts(trial);
        ExperimentCounts.CountedRequest op = tally.asked("c", "op1", false);
        tally.became(op, ExperimentCounts.RequestResult.PUSHED_BACK, 0);
        assertEquals(new ExperimentCounts.ArmTotals(1, 0, 0, 1, 0, 0), tally.counts(op.arm()));
        ExperimentCounts.CountedRequest further = tally.asked("c", "op1", true);
        tally.became(further, ExperimentCounts.RequestResult.PUSHED_BACK, 0);
        tally.became(tally.asked("c", "op1", true), ExperimentCounts.RequestResult.SATISFIED, 1);
        tally.became(tally.asked("c", "op1", true), ExperimentCounts.RequestResult.SATISFIED, 1);
        assertEquals(
                new ExperimentCounts.ArmTotals(1, 1, 0, 0, 500, 250_000),
                tally.counts(op.arm()),
                "asked once, satisfied once, pushed back no more");
        // Tried first at another backend: asked there, satisfied here.
        ExperimentCounts there = new ExperimentCounts(trial);
        there.became(there.asked("c", "op2", true), ExperimentCounts.RequestResult.LATE, 5);
        assertEquals(
                new ExperimentCounts.ArmTotals(0, 0, 1, 0, 1000, 1_000_000),
                there.counts(op.arm()),
                "never more than the highest value");
        tally.became(tally.asked("c", "op2", false), ExperimentCounts.RequestResult.PUSHED_BACK, 0);
        tally.add(there);
        assertEquals(2, tally.counts(op.arm()).asked());
        assertEquals(1, tally.counts(op.arm()).late());
    }

    @Example
    void aCallerWithHalfTheTrafficWeighsLittle() {
        ExperimentCounts tally = new ExperimentCounts(trial(1, 1, 1));
        SplittableRandom chance = new SplittableRandom(1);
        int n = 40_000;
        for (int i = 0; i < n; i++) {
            tally.asked(chance.nextBoolean() ? "heavy" : "c" + chance.nextInt(3000), null, false);
        }
        long most = Arrays.stream(tally.asked).max().getAsLong();
        long all = Arrays.stream(tally.asked).sum();
        assertTrue(most <= all * 5 / BucketAssignment.BUCKETS + 20, most + " of " + all);
        assertEquals(n, tally.counts(0).asked() + tally.counts(1).asked(), "all are told");
    }

    private static ExperimentCounts drawn(Experiment trial, long seed, int n) {
        ExperimentCounts tally = new ExperimentCounts(trial);
        SplittableRandom chance = new SplittableRandom(seed);
        for (int i = 0; i < n; i++) {
            tally.became(
                    tally.asked("c" + chance.nextInt(5000), "o" + i, chance.nextInt(10) == 0),
                    ExperimentCounts.RequestResult.values()[chance.nextInt(4)],
                    2 * chance.nextDouble());
        }
        tally.ran(Duration.ofSeconds(seed));
        return tally;
    }

    @Property(tries = 20, seed = "6")
    void whatIsWrittenIsReadWholeOrNotAtAll(@ForAll long seed) {
        Experiment trial = trial(1, 1, 1, 2);
        byte[] written = drawn(trial, Math.abs(seed % 1000), 3000).write();
        ExperimentCounts read = ExperimentCounts.read(trial, written);
        assertArrayEquals(written, read.write());
        assertNull(ExperimentCounts.read(trial(2, 1, 1, 2), written), "of the same name, changed");
        for (int cut = 0; cut < written.length; cut += 7) {
            assertNull(ExperimentCounts.read(trial, Arrays.copyOf(written, cut)), "cut off at " + cut);
        }
        SplittableRandom chance = new SplittableRandom(seed);
        for (int i = 0; i < 50; i++) {
            byte[] spoilt = written.clone();
            spoilt[chance.nextInt(spoilt.length)] ^= (byte) (1 << chance.nextInt(8));
            ExperimentCounts other = ExperimentCounts.read(trial, spoilt);
            assertTrue(other == null || Arrays.equals(spoilt, other.write()), "never half");
        }
    }

    @Example
    void theLargestStillFitsASnapshot() {
        Experiment trial = trial(1, 1, 1, 1, 1, 1, 1, 1, 1);
        ExperimentCounts tally = drawn(trial, 1, 60_000);
        for (int i = 0; i < BucketAssignment.BUCKETS; i++) {
            tally.asked[i] = 1L << 38;
            tally.satisfied[i] = 1L << 38;
            tally.value[i] = 1000L << 38;
        }
        byte[] written = tally.write();
        assertTrue(written.length <= VersionedEntry.MOST_OCTETS, written.length + " octets");
        assertNotNull(ExperimentCounts.read(trial, written));
    }

    @Example
    void samplesOfCallersMergeInAnyOrderAndAnyNumberOfTimes() {
        Experiment trial = trial(1, 1, 1);
        ExperimentCounts all = drawn(trial, 1, 9000);
        ExperimentCounts a = drawn(trial, 2, 9000);
        DistinctSample one = new DistinctSample();
        one.add(all.sample);
        one.add(a.sample);
        one.add(all.sample);
        DistinctSample other = new DistinctSample();
        other.add(a.sample);
        other.add(all.sample);
        VarInts first = new VarInts();
        VarInts second = new VarInts();
        one.write(first);
        other.write(second);
        assertArrayEquals(first.written(), second.written());
        long kept = Arrays.stream(one.counts(2)).sum();
        assertTrue(kept <= DistinctSample.MOST && kept > DistinctSample.MOST / 4, "kept " + kept);
        assertEquals(0.5, one.counts(2)[0] / (double) kept, 4 * Math.sqrt(0.25 / kept));
    }
}
