package merlinlever.policy;

import merlinlever.controller.settings.ServerSettings;
import merlinlever.policy.Request.Phase;

/** The gauge of the run queue, and what has changed since it was read. It decides nothing. */
final class RunQueueGauge {
    private final int index;
    private double lastSample;
    private int changeSinceSample;

    RunQueueGauge(ServerSettings settings) {
        index = settings.runQueueIndex();
    }

    /** New readings of all gauges, in the order of the settings. */
    void update(double[] gauges) {
        if (index >= 0 && index < gauges.length) {
            lastSample = gauges[index];
            changeSinceSample = 0;
        }
    }

    /** The gauge counts what has left the cores since it was read, and not what has come back from a call. */
    void phaseChanged(Phase from, Phase to) {
        changeSinceSample += (to == Phase.RUNNING ? 1 : 0) - (from == Phase.RUNNING ? 1 : 0);
    }

    /** The length of the run queue when it was read last, or 0. */
    double lastSample() {
        return lastSample;
    }

    /** The length of the run queue now: as it was read, with what has changed since. */
    double estimate() {
        return lastSample + changeSinceSample;
    }
}
