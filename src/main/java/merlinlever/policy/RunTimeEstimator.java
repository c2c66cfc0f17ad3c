package merlinlever.policy;

import java.time.Duration;
import merlinlever.common.Durations;

/** Estimates from earlier runs of a priority class how long one is likely to take. */
final class RunTimeEstimator {
    // Runs with a cost hint, above which the hint is used.
    private static final double MIN_HINTED_RUNS = 5;

    // Coarse bins, and how many values are counted before they are halved.
    private static final int BINS = 32;
    private static final double BIN_RATIO = 1.5;
    private static final double MAX_VALUES = 60;
    private static final double PERCENT = 100;

    private final DecayingHistogram runTimesMs = new DecayingHistogram(BINS, BIN_RATIO, MAX_VALUES);
    private final DecayingHistogram percentOfHint = new DecayingHistogram(BINS, BIN_RATIO, MAX_VALUES);

    void record(double runMs, double costHintMs) {
        runTimesMs.add(runMs);
        if (costHintMs > 0) {
            percentOfHint.add(PERCENT * runMs / costHintMs);
        }
    }

    double meanMs() {
        return runTimesMs.mean();
    }

    /**
     * By the cost hint only under pressure, or large requests were rejected where there is room; else at most
     * half the objective, or a machine that was slow would never learn better.
     */
    Duration expected(double costHintMs, boolean underPressure, Duration latencyObjective) {
        boolean usesHint = costHintMs > 0 && percentOfHint.total() > MIN_HINTED_RUNS && underPressure;
        return usesHint
                ? Durations.ofMillis(costHintMs * percentOfHint.mean() / PERCENT)
                : Durations.earlier(Durations.ofMillis(runTimesMs.mean()), latencyObjective.dividedBy(2));
    }
}
