package merlinlever.policy;

import merlinlever.controller.settings.ServerSettings;
import merlinlever.policy.Request.Phase;

/** The run queue length: the last sample of the gauge, corrected by the phase changes since the sample. */
final class RunQueueGauge {
    private final int index;
    private double lastSample;
    private int changeSinceSample;

    RunQueueGauge(ServerSettings settings) {
        index = settings.runQueueIndex();
    }

    /** Updates the sample from new samples of all gauges, in the order of the gauges in the settings. */
    void update(double[] gauges) {
        if (index >= 0 && index < gauges.length) {
            lastSample = gauges[index];
            changeSinceSample = 0;
        }
    }

    /**
     * Corrects the estimate for a run that started, ended, or began or ended a downstream call. The last
     * sample still counts runs that have left the cores since, and does not count runs that have come back
     * from a call.
     */
    void phaseChanged(Phase from, Phase to) {
        changeSinceSample += (to == Phase.RUNNING ? 1 : 0) - (from == Phase.RUNNING ? 1 : 0);
    }

    /** Returns the last sample of the run queue length, or 0 without a sample. */
    double lastSample() {
        return lastSample;
    }

    /** Returns the estimated current length of the run queue. */
    double estimate() {
        return lastSample + changeSinceSample;
    }
}
