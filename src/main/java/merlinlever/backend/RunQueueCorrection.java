package merlinlever.backend;

/**
 * Corrects the run queue in the agent's metrics. The agent processes commands in order, so the response to a poll does
 * not include runs that were started or resumed after the poll was sent.
 */
final class RunQueueCorrection {

    /** Index of the run queue among the metrics, or -1 if the run queue is not reported. */
    private final int runQueueIndex;

    private int startedSincePoll;

    RunQueueCorrection(int runQueueIndex) {
        this.runQueueIndex = runQueueIndex;
    }

    /** Counts a run that was started, or resumed by the reply to its downstream call. */
    void runStarted() {
        startedSincePoll++;
    }

    /** Resets the count: the response to the poll just sent includes all runs started so far. */
    void pollSent() {
        startedSincePoll = 0;
    }

    /** Adds the runs started since the poll to the run queue in the metrics, in place. */
    void apply(double[] metrics) {
        if (runQueueIndex >= 0 && runQueueIndex < metrics.length) {
            metrics[runQueueIndex] += startedSincePoll;
        }
    }
}
