package merlinlever.quota;

import java.time.Duration;
import java.util.Map;
import merlinlever.election.ClockDrift;

/**
 * One limit of the whole fleet, as it is stated.
 *
 * @param of calls, or the tariff whose runs are meant
 * @param whole never more than this, in any second or at any moment
 * @param per what it counts
 * @param lease a share is spent for so long after it was asked for
 * @param drift clocks of two machines run apart by this part at the most
 * @param longest of one call, for a budget of calls at once: one that outlives its share is given up by then
 * @param weights by the name of a backend; 1 where none is stated
 */
public record FleetQuota(
        String name,
        String of,
        long whole,
        QuotaKind per,
        Duration lease,
        double drift,
        Duration longest,
        Map<String, Integer> weights) {

    public enum QuotaKind {
        SECOND,
        AT_ONCE
    }

    public FleetQuota {
        weights = Map.copyOf(weights);
    }

    public int weight(String holder) {
        return weights.getOrDefault(holder, 1);
    }

    /** What was given by a clock that runs fast is out for so long by any other. */
    public static Duration slowest(Duration span, double drift) {
        return ClockDrift.upperBound(span, drift);
    }

    /** What may be counted on for the span by a clock that runs slow. */
    public static Duration surest(Duration span, double drift) {
        return ClockDrift.lowerBound(span, drift);
    }

    /**
     * How long a share that is no longer held counts still: its last calls are in the same second as the first ones of
     * whoever has it next, or are still at the party.
     */
    public Duration linger() {
        return slowest(per == QuotaKind.SECOND ? Duration.ofSeconds(1) : longest, drift);
    }
}
