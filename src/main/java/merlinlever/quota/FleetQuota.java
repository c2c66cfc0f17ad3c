package merlinlever.quota;

import java.time.Duration;
import java.util.Map;
import merlinlever.election.ClockDrift;

/**
 * One limit of the whole fleet, as it is stated.
 *
 * @param limitedResource calls, or the tariff whose runs are meant
 * @param limit never more than this, in any second or at any moment
 * @param kind what it counts
 * @param leaseDuration a share is spent for so long after it was asked for
 * @param maxClockDrift clocks of two machines run apart by this part at the most
 * @param maxCallDuration of one call, for a budget of calls at once: one that outlives its share is given up by then
 * @param weightsByBackend by the name of a backend; 1 where none is stated
 */
public record FleetQuota(
        String name,
        String limitedResource,
        long limit,
        QuotaKind kind,
        Duration leaseDuration,
        double maxClockDrift,
        Duration maxCallDuration,
        Map<String, Integer> weightsByBackend) {

    public enum QuotaKind {
        PER_SECOND,
        CONCURRENT
    }

    public FleetQuota {
        weightsByBackend = Map.copyOf(weightsByBackend);
    }

    public int weightOf(String holder) {
        return weightsByBackend.getOrDefault(holder, 1);
    }

    /** What was given by a clock that runs fast is out for so long by any other. */
    public static Duration slowest(Duration span, double drift) {
        return ClockDrift.slowest(span, drift);
    }

    /** What may be counted on for the span by a clock that runs slow. */
    public static Duration surest(Duration span, double drift) {
        return ClockDrift.surest(span, drift);
    }

    /**
     * How long a share that is no longer held counts still: its last calls are in the same second as the first ones of
     * whoever has it next, or are still at the party.
     */
    public Duration releaseDelay() {
        return slowest(kind == QuotaKind.PER_SECOND ? Duration.ofSeconds(1) : maxCallDuration, maxClockDrift);
    }
}
