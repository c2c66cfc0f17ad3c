package merlinlever.backend;

/**
 * Makes up for the delay of the agent's metrics. The agent reads its commands in order, so that runs which were started
 * or resumed after a poll was sent are missing from the run queue in its answer.
 */
final class RunQueueCorrection {

    /** The place of the run queue among the metrics, or -1 if it is not reported. */
    private final int runQueueIndex;

    private int startedSincePoll;

    RunQueueCorrection(int runQueueIndex) {
        this.runQueueIndex = runQueueIndex;
    }

    /** A run was started, or resumed with the reply to its call. */
    void runStarted() {
        startedSincePoll++;
    }

    /** A poll was sent, behind all runs that were started so far. */
    void pollSent() {
        startedSincePoll = 0;
    }

    /** Adds to the polled run queue, in place, what has been started since the poll. */
    void apply(double[] metrics) {
        if (runQueueIndex >= 0 && runQueueIndex < metrics.length) {
            metrics[runQueueIndex] += startedSincePoll;
        }
    }
}
