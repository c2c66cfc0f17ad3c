package merlinlever.fleet.quota;

import java.time.Duration;
import java.util.Map;
import merlinlever.fleet.election.ClockDrift;

/**
 * A limit that all backends of a fleet keep to together, as configured.
 *
 * @param name the name of the quota
 * @param limitedResource {@code calls} for calls to the shared dependency, or the priority class whose requests are limited
 * @param limit the most that all may use together, in any second or at any moment
 * @param kind what the limit counts
 * @param leaseDuration how long a backend may spend a lease after it requested it
 * @param maxClockDrift the rates of two machines' clocks differ by this part at most
 * @param maxCallDuration of one call where the limit is on concurrent calls: one that outlives its lease is given up by then
 * @param weightsByBackend by the name of the backend; 1 where none is configured
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

    /** What the limit of a quota counts. */
    public enum QuotaKind {
        /** Calls begun in any second. */
        PER_SECOND,
        /** Calls in flight at any moment. */
        CONCURRENT
    }

    /** Copies the weights. */
    public FleetQuota {
        weightsByBackend = Map.copyOf(weightsByBackend);
    }

    /** The weight of the backend in the division of this quota. */
    public int weightOf(String backend) {
        return weightsByBackend.getOrDefault(backend, 1);
    }

    /** How long a lease counts as outstanding by the clock of the leader that granted it, the holder's clock being slow. */
    public Duration leaseDurationAtLeader() {
        return ClockDrift.upperBound(leaseDuration, maxClockDrift);
    }

    /** How long a lease may be spent by the clock of its holder, that clock being slow. */
    public Duration leaseDurationAtHolder() {
        return ClockDrift.lowerBound(leaseDuration, maxClockDrift);
    }

    /**
     * How long an amount counts as used after its lease ended: its last calls are in the same second as the first ones of the
     * next holder, or are still in flight.
     */
    public Duration releaseDelay() {
        Duration lastUse =
                switch (kind) {
                    case PER_SECOND -> Duration.ofSeconds(1);
                    case CONCURRENT -> maxCallDuration;
                };
        return ClockDrift.upperBound(lastUse, maxClockDrift);
    }
}
