package merlinlever.policy;

import java.time.Duration;
import merlinlever.common.Durations;

/** Estimates the run time of a request from earlier runs of its priority class. */
final class RunTimeEstimator {
    // Number of completed runs with a cost hint above which cost hints are used.
    private static final double MIN_HINTED_RUNS = 5;

    // Bins of the histograms, and the total above which their counts are halved.
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
     * Returns the expected run time. The cost hint is used only under pressure, so that large requests are
     * not rejected while there is free capacity. Without the hint, the estimate is at most half the
     * objective, as a server that was slow once would otherwise reject all requests and measure no more runs.
     */
    Duration expected(double costHintMs, boolean underPressure, Duration latencyObjective) {
        boolean usesHint = costHintMs > 0 && percentOfHint.total() > MIN_HINTED_RUNS && underPressure;
        return usesHint
                ? Durations.ofMillis(costHintMs * percentOfHint.mean() / PERCENT)
                : Durations.earlier(Durations.ofMillis(runTimesMs.mean()), latencyObjective.dividedBy(2));
    }
}
