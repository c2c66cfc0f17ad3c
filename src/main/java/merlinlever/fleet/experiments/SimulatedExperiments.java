package merlinlever.fleet.experiments;

import java.util.Optional;
import java.util.SplittableRandom;
import merlinlever.fleet.experiments.RunningMoments.BucketSums;

/**
 * Simulates experiments with two arms that are evaluated after every request, and compares the sequential test with a
 * fixed-sample test that is evaluated equally often. Used by measurements and tests.
 */
public final class SimulatedExperiments {

    /**
     * The traffic of a simulation.
     *
     * @param firstShare share of the first arm's requests that are served
     * @param secondShare share of the second arm's requests that are served
     * @param callers number of callers in each arm; 0 if each request has a separate caller
     * @param spread maximum deviation of a caller's served share from the served share of the arm
     * @param heavyCallerShare share of the traffic that a single caller sends
     * @param maxRequests maximum number of requests in both arms together
     */
    public record SimulationSettings(
            double firstShare,
            double secondShare,
            int callers,
            double spread,
            double heavyCallerShare,
            int maxRequests) {}

    /**
     * The result of a simulation.
     *
     * @param requests number of requests until the end of the experiment, in both arms together
     * @param fixedTestWinnerAt number of requests after which the fixed-sample test at 0.05 first found a winner; 0 if
     *     never
     * @param requestsOfSecondArm number of requests in the second arm until the end of the experiment
     */
    public record SimulationResult(
            StoppingDecision decision, int requests, int fixedTestWinnerAt, int requestsOfSecondArm) {}

    private static final int ARMS = 2;
    private static final int BUCKETS_PER_ARM = BucketAssignment.BUCKET_COUNT / ARMS;
    /** Minimum number of requests of each arm for the fixed-sample test. */
    private static final int FIXED_TEST_MIN_REQUESTS = 100;

    /** Two-sided critical value at 0.05. */
    private static final double FIXED_TEST_CRITICAL_VALUE = 1.959964;

    private final SplittableRandom random;
    private final SimulationSettings settings;
    private final SequentialAnalysis analysis;
    private final RunningMoments[] moments = {new RunningMoments(), new RunningMoments()};
    private final int[][] bucketRequests = new int[ARMS][BUCKETS_PER_ARM];
    private final int[][] bucketServed = new int[ARMS][BUCKETS_PER_ARM];
    private final double[][] callerDeviation;
    private final int[][] callerBucket;
    private final int heavyCallerArm;
    /** Requests of each arm for the fixed-sample test. */
    private final int[] requests = new int[ARMS];

    private final int[] served = new int[ARMS];
    private Optional<StoppingDecision> decision = Optional.empty();
    private int requestsAtDecision;
    private int requestsOfSecondArm;
    private int fixedTestWinnerAt;

    private SimulatedExperiments(Experiment experiment, SimulationSettings settings, long seed) {
        random = new SplittableRandom(seed);
        this.settings = settings;
        analysis = new SequentialAnalysis(experiment);
        int callers = Math.max(1, settings.callers);
        callerDeviation = new double[ARMS][callers];
        callerBucket = new int[ARMS][callers];
        for (int arm = 0; arm < ARMS; arm++) {
            for (int i = 0; i < settings.callers; i++) {
                callerDeviation[arm][i] = settings.spread * (2 * random.nextDouble() - 1);
                callerBucket[arm][i] = random.nextInt(BUCKETS_PER_ARM);
            }
        }
        heavyCallerArm = random.nextInt(ARMS);
    }

    /** Runs one simulation; the same seed gives the same result. */
    public static SimulationResult run(Experiment experiment, SimulationSettings settings, long seed) {
        return new SimulatedExperiments(experiment, settings, seed).run(experiment);
    }

    private SimulationResult run(Experiment experiment) {
        for (int request = 1;
                request <= settings.maxRequests && (decision.isEmpty() || fixedTestWinnerAt == 0);
                request++) {
            simulateRequest(request);
        }
        StoppingDecision timeLimit = new StoppingDecision(StoppingDecision.Kind.TIME_LIMIT, experiment.safeArm(), "");
        return new SimulationResult(
                decision.orElse(timeLimit),
                decision.isPresent() ? requestsAtDecision : settings.maxRequests,
                fixedTestWinnerAt,
                requestsOfSecondArm);
    }

    private void simulateRequest(int request) {
        boolean isHeavyCaller = settings.heavyCallerShare > 0 && random.nextDouble() < settings.heavyCallerShare;
        int arm = isHeavyCaller ? heavyCallerArm : random.nextInt(ARMS);
        boolean hasSeparateCaller = settings.callers == 0;
        int caller = isHeavyCaller || hasSeparateCaller ? 0 : random.nextInt(settings.callers);
        int bucket = hasSeparateCaller ? random.nextInt(BUCKETS_PER_ARM) : callerBucket[arm][caller];
        double probability = (arm == 0 ? settings.firstShare : settings.secondShare)
                + (hasSeparateCaller ? 0 : callerDeviation[arm][caller]);
        boolean isServed = random.nextDouble() < probability;
        requests[arm]++;
        served[arm] += isServed ? 1 : 0;
        if (decision.isEmpty()) {
            requestsOfSecondArm += arm;
            count(arm, bucket, isServed);
            StoppingDecision evaluated = analysis.test(moments);
            if (evaluated.isFinal()) {
                decision = Optional.of(evaluated);
                requestsAtDecision = request;
            }
        }
        if (fixedTestWinnerAt == 0 && isFixedTestSignificant()) {
            fixedTestWinnerAt = request;
        }
    }

    private void count(int arm, int bucket, boolean isServed) {
        // The same limit as in ExperimentCounts, except for the rounding.
        long total = (long) (moments[0].requests() + moments[1].requests());
        long maxBucketRequests = ExperimentCounts.MIN_BUCKET_REQUESTS
                + ExperimentCounts.MAX_OVER_MEAN * total / BucketAssignment.BUCKET_COUNT;
        if (bucketRequests[arm][bucket] >= maxBucketRequests) {
            return;
        }
        BucketSums before = bucketSums(arm, bucket);
        bucketRequests[arm][bucket]++;
        bucketServed[arm][bucket] += isServed ? 1 : 0;
        moments[arm].update(before, bucketSums(arm, bucket));
        // Each served request has the maximum value.
        moments[arm].setMeanSquareValue(moments[arm].served() / moments[arm].requests());
    }

    private BucketSums bucketSums(int arm, int bucket) {
        return new BucketSums(bucketRequests[arm][bucket], bucketServed[arm][bucket], bucketServed[arm][bucket]);
    }

    private boolean isFixedTestSignificant() {
        return Math.min(requests[0], requests[1]) >= FIXED_TEST_MIN_REQUESTS
                && Math.abs(zScore()) >= FIXED_TEST_CRITICAL_VALUE;
    }

    /** Returns the z-score of the difference of two proportions, with the pooled variance. */
    private double zScore() {
        double pooledShare = (double) (served[0] + served[1]) / (requests[0] + requests[1]);
        return ((double) served[0] / requests[0] - (double) served[1] / requests[1])
                / Math.sqrt(pooledShare * (1 - pooledShare) * (1.0 / requests[0] + 1.0 / requests[1]));
    }
}
