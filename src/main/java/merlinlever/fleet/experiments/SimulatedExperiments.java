package merlinlever.fleet.experiments;

import java.util.Optional;
import java.util.SplittableRandom;
import merlinlever.fleet.experiments.RunningMoments.BucketSums;

/**
 * Simulates experiments of two arms, evaluated after every request: how often and when the test stops, compared with a test of fixed size
 * that is evaluated as often. For measurements and tests.
 */
public final class SimulatedExperiments {

    /**
     * The callers of a simulation.
     *
     * @param firstShare of the first arm's requests that are served
     * @param secondShare of the second arm's requests that are served
     * @param callers of each arm; 0 if each request has a caller of its own
     * @param spread how far the callers of an arm differ in the share that is served
     * @param heavyCallerShare of the traffic that a single caller has
     * @param maxRequests in both arms together
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
     * @param requests until it ended, in both arms together
     * @param fixedTestWinnerAt request after which a fixed test at 0.05, evaluated after each, first found a winner; 0 if never
     * @param requestsOfSecondArm until it ended
     */
    public record SimulationResult(
            StoppingDecision decision, int requests, int fixedTestWinnerAt, int requestsOfSecondArm) {}

    private static final int ARMS = 2;
    private static final int BUCKETS_PER_ARM = BucketAssignment.BUCKET_COUNT / ARMS;
    /** The fixed test: requests of each arm at least, and the two-sided critical value at 0.05. */
    private static final int FIXED_TEST_MIN_REQUESTS = 100;

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
    /** Of the fixed test. */
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
        boolean heavy = settings.heavyCallerShare > 0 && random.nextDouble() < settings.heavyCallerShare;
        int arm = heavy ? heavyCallerArm : random.nextInt(ARMS);
        boolean ownCaller = settings.callers == 0;
        int caller = heavy || ownCaller ? 0 : random.nextInt(settings.callers);
        int bucket = ownCaller ? random.nextInt(BUCKETS_PER_ARM) : callerBucket[arm][caller];
        double probability = (arm == 0 ? settings.firstShare : settings.secondShare)
                + (ownCaller ? 0 : callerDeviation[arm][caller]);
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
        // As ExperimentCounts has it, but for the rounding.
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
        // Each served request has the highest value.
        moments[arm].setMeanSquareValue(moments[arm].served() / moments[arm].requests());
    }

    private BucketSums bucketSums(int arm, int bucket) {
        return new BucketSums(bucketRequests[arm][bucket], bucketServed[arm][bucket], bucketServed[arm][bucket]);
    }

    private boolean isFixedTestSignificant() {
        return Math.min(requests[0], requests[1]) >= FIXED_TEST_MIN_REQUESTS
                && Math.abs(zScore()) >= FIXED_TEST_CRITICAL_VALUE;
    }

    /** Of the difference of two proportions, with the pooled variance. */
    private double zScore() {
        double pooled = (double) (served[0] + served[1]) / (requests[0] + requests[1]);
        return ((double) served[0] / requests[0] - (double) served[1] / requests[1])
                / Math.sqrt(pooled * (1 - pooled) * (1.0 / requests[0] + 1.0 / requests[1]));
    }
}
