package merlinlever.controller.settings;

import java.util.List;
import java.util.OptionalDouble;

/**
 * Settings of the machine on which the server runs.
 *
 * @param cores the number of requests that run concurrently at full speed
 * @param memoryKb the memory limit of requests and idempotency keys; empty without a limit
 * @param runMemoryFactor the ratio of the memory of a started request to the memory of a queued one
 * @param memoryPerKeyKb the memory of a retained request
 * @param gauges the gauges of each sample, in their order
 */
public record ServerSettings(
        int cores, OptionalDouble memoryKb, double runMemoryFactor, double memoryPerKeyKb, List<Gauge> gauges) {

    /** Creates the settings with an unmodifiable copy of the gauges. */
    public ServerSettings {
        gauges = List.copyOf(gauges);
    }

    /** Returns the memory limit; without one, a value larger than any memory. */
    public double memoryLimitKb() {
        return memoryKb.orElse(NumberSetting.MEMORY.defaultValue());
    }

    /** Returns the index of the run queue in a sample, or -1 if the run queue is not sampled. */
    public int runQueueIndex() {
        return gauges.indexOf(Gauge.RUN_QUEUE);
    }
}
