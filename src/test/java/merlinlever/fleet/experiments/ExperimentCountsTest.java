package merlinlever.fleet.experiments;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import merlinlever.fleet.experiments.ExperimentCounts.ArmTotals;
import merlinlever.fleet.experiments.ExperimentCounts.CountedRequest;
import merlinlever.fleet.experiments.ExperimentCounts.RequestResult;
import merlinlever.fleet.replication.VersionedEntry;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ExperimentCountsTest {

    static Experiment experiment(int version, int... weights) {
        List<Experiment.Arm> arms = IntStream.range(0, weights.length)
                .mapToObj(i -> Experiment.Arm.unchanged("a" + i, weights[i]))
                .toList();
        return new Experiment("t", version, arms, 0, 0.05, 0.1, 0.02, Duration.ofDays(1), Duration.ofSeconds(10), 2, 3);
    }

    @Property(tries = 30, seed = "5")
    void assignmentFollowsWeightsAndIsTheSameAtAllBackends(
            @ForAll @IntRange(min = 1, max = 1000) int version, @ForAll @IntRange(min = 1, max = 5) int weight) {
        Experiment experiment = experiment(version, weight, 3, 4);
        BucketAssignment assignment = new BucketAssignment(experiment);
        BucketAssignment elsewhere = new BucketAssignment(experiment(version, weight, 3, 4));
        BucketAssignment nextAssignment = new BucketAssignment(experiment(version + 1, weight, 3, 4));
        int[] callersByArm = new int[3];
        int reassigned = 0;
        int callers = 9000;
        for (int i = 0; i < callers; i++) {
            int arm = assignment.arm("caller-" + i);
            assertEquals(arm, elsewhere.arm("caller-" + i));
            reassigned += nextAssignment.arm("caller-" + i) != arm ? 1 : 0;
            callersByArm[arm]++;
        }
        double unchanged = 0;
        for (int arm = 0; arm < 3; arm++) {
            double share = assignment.share(arm);
            assertEquals(
                    experiment.arms().get(arm).weight() / (weight + 7.0), share, 1.0 / BucketAssignment.BUCKET_COUNT);
            assertEquals(share, callersByArm[arm] / (double) callers, 5 * Math.sqrt(share * (1 - share) / callers));
            unchanged += share * share;
        }
        assertEquals(1 - unchanged, reassigned / (double) callers, 0.03, "the next experiment reassigns the callers");
    }

    @Test
    void retriesAreNotCountedAsNewRequests() {
        Experiment experiment = experiment(1, 1, 1);
        ExperimentCounts counts = new ExperimentCounts(experiment);
        CountedRequest request = counts.requestArrived("c", Optional.of("op1"), false);
        counts.attemptEnded(request, RequestResult.REJECTED, 0);
        assertEquals(new ArmTotals(1, 0, 0, 1, 0, 0), counts.totals(request.arm()));
        CountedRequest retry = counts.requestArrived("c", Optional.of("op1"), true);
        counts.attemptEnded(retry, RequestResult.REJECTED, 0);
        counts.attemptEnded(counts.requestArrived("c", Optional.of("op1"), true), RequestResult.SERVED, 1);
        counts.attemptEnded(counts.requestArrived("c", Optional.of("op1"), true), RequestResult.SERVED, 1);
        assertEquals(
                new ArmTotals(1, 1, 0, 0, 500, 250_000),
                counts.totals(request.arm()),
                "one request, served once, no longer rejected");
        // A retry of a request first sent to another backend, which counts the request; this backend counts the
        // success.
        ExperimentCounts elsewhere = new ExperimentCounts(experiment);
        elsewhere.attemptEnded(elsewhere.requestArrived("c", Optional.of("op2"), true), RequestResult.LATE, 5);
        assertEquals(
                new ArmTotals(0, 0, 1, 0, 1000, 1_000_000),
                elsewhere.totals(request.arm()),
                "value capped at the maximum");
        counts.attemptEnded(counts.requestArrived("c", Optional.of("op2"), false), RequestResult.REJECTED, 0);
        counts.add(elsewhere);
        assertEquals(2, counts.totals(request.arm()).requests());
        assertEquals(1, counts.totals(request.arm()).late());
    }

    @Test
    void callerWithHalfOfTheTrafficHasLittleWeight() {
        ExperimentCounts counts = new ExperimentCounts(experiment(1, 1, 1));
        SplittableRandom random = new SplittableRandom(1);
        int requests = 40_000;
        for (int i = 0; i < requests; i++) {
            counts.requestArrived(random.nextBoolean() ? "heavy" : "c" + random.nextInt(3000), Optional.empty(), false);
        }
        long max = Arrays.stream(counts.requests).max().getAsLong();
        long total = Arrays.stream(counts.requests).sum();
        assertTrue(max <= total * 5 / BucketAssignment.BUCKET_COUNT + 20, max + " of " + total);
        assertEquals(
                requests, counts.totals(0).requests() + counts.totals(1).requests(), "the totals include all requests");
    }

    private static ExperimentCounts randomCounts(Experiment experiment, long seed, int requests) {
        ExperimentCounts counts = new ExperimentCounts(experiment);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < requests; i++) {
            counts.attemptEnded(
                    counts.requestArrived("c" + random.nextInt(5000), Optional.of("o" + i), random.nextInt(10) == 0),
                    RequestResult.values()[random.nextInt(4)],
                    2 * random.nextDouble());
        }
        counts.addSplitTime(Duration.ofSeconds(seed));
        return counts;
    }

    @Property(tries = 20, seed = "6")
    void corruptCountsAreNotDecodedInPart(@ForAll long seed) {
        Experiment experiment = experiment(1, 1, 1, 2);
        byte[] encoded = randomCounts(experiment, Math.abs(seed % 1000), 3000).encode();
        assertArrayEquals(
                encoded,
                ExperimentCounts.decode(experiment, encoded).orElseThrow().encode());
        assertTrue(
                ExperimentCounts.decode(experiment(2, 1, 1, 2), encoded).isEmpty(),
                "counts of a changed experiment of the same name");
        for (int cut = 0; cut < encoded.length; cut += 7) {
            assertTrue(
                    ExperimentCounts.decode(experiment, Arrays.copyOf(encoded, cut))
                            .isEmpty(),
                    "truncated to bytes: " + cut);
        }
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 50; i++) {
            byte[] corrupted = encoded.clone();
            corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 << random.nextInt(8));
            Optional<ExperimentCounts> decoded = ExperimentCounts.decode(experiment, corrupted);
            assertTrue(
                    decoded.isEmpty() || Arrays.equals(corrupted, decoded.get().encode()),
                    "corrupt counts are not decoded in part");
        }
    }

    @Test
    void largestCountsFitIntoAnEntry() {
        Experiment experiment = experiment(1, 1, 1, 1, 1, 1, 1, 1, 1);
        ExperimentCounts counts = randomCounts(experiment, 1, 60_000);
        for (int i = 0; i < BucketAssignment.BUCKET_COUNT; i++) {
            counts.requests[i] = 1L << 38;
            counts.served[i] = 1L << 38;
            counts.value[i] = 1000L << 38;
        }
        byte[] encoded = counts.encode();
        assertTrue(encoded.length <= VersionedEntry.MAX_VALUE_BYTES, encoded.length + " bytes");
        assertTrue(ExperimentCounts.decode(experiment, encoded).isPresent());
    }

    @Test
    void mergeOfSamplesIsCommutativeAndIdempotent() {
        Experiment experiment = experiment(1, 1, 1);
        ExperimentCounts first = randomCounts(experiment, 1, 9000);
        ExperimentCounts second = randomCounts(experiment, 2, 9000);
        DistinctSample firstMerged = new DistinctSample();
        firstMerged.merge(first.sample);
        firstMerged.merge(second.sample);
        firstMerged.merge(first.sample);
        DistinctSample secondMerged = new DistinctSample();
        secondMerged.merge(second.sample);
        secondMerged.merge(first.sample);
        assertArrayEquals(encoded(firstMerged), encoded(secondMerged));
        long[] callers = firstMerged.callersByArm(2);
        long sampledCallers = callers[0] + callers[1];
        assertTrue(
                sampledCallers <= DistinctSample.MAX_CALLERS && sampledCallers > DistinctSample.MAX_CALLERS / 4,
                "sampled callers: " + sampledCallers);
        assertEquals(0.5, callers[0] / (double) sampledCallers, 4 * Math.sqrt(0.25 / sampledCallers));
    }

    private static byte[] encoded(DistinctSample sample) {
        VarInts out = new VarInts();
        sample.encodeTo(out);
        return out.toByteArray();
    }
}
