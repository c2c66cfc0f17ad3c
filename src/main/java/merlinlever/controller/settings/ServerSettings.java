package merlinlever.controller.settings;

import java.util.List;
import java.util.OptionalDouble;

/**
 * The machine that a controller decides for.
 *
 * @param cores how many requests run at the same speed side by side
 * @param memoryKb the memory that requests and idempotency keys may use; empty if there is no limit
 * @param runMemoryFactor how many times the memory of a queued request a started one uses
 * @param memoryPerKeyKb the memory that a retained request takes
 * @param gauges the gauges of each sample, in their order
 */
public record ServerSettings(
        int cores, OptionalDouble memoryKb, double runMemoryFactor, double memoryPerKeyKb, List<Gauge> gauges) {

    /** An unmodifiable copy of the gauges is kept. */
    public ServerSettings {
        gauges = List.copyOf(gauges);
    }

    /** The limit of the memory, larger than any memory where there is none. */
    public double memoryLimitKb() {
        return memoryKb.orElse(NumberSetting.MEMORY.defaultValue());
    }

    /** The index of the run queue in a sample, or -1 if it is not sampled. */
    public int runQueueIndex() {
        return gauges.indexOf(Gauge.RUN_QUEUE);
    }
}
