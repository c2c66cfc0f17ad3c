package merlinlever.fleet.quota;

import java.time.Duration;
import java.util.Map;
import merlinlever.fleet.election.ClockDrift;

/**
 * Configuration of a limit on the combined usage of all backends of a fleet.
 *
 * @param name name of the quota
 * @param limitedResource {@code calls} for calls to the shared dependency, or the priority class whose requests are
 *     limited
 * @param limit maximum combined usage of all backends, in any second or at any time
 * @param kind quantity that the limit counts
 * @param leaseDuration time for which a backend may use a lease, from its request for the lease
 * @param maxClockDrift upper bound of the relative difference between the rates of two machines' clocks
 * @param maxCallDuration maximum duration of a call under a limit on concurrent calls; a call that outlives its lease
 *     is aborted within this time
 * @param weightsByBackend weights by backend name; a backend without an entry has weight 1
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

    /** Quantity that the limit of a quota counts. */
    public enum QuotaKind {
        /** Calls started in any second. */
        PER_SECOND,
        /** Calls in flight at any time. */
        CONCURRENT
    }

    /** Copies the weights. */
    public FleetQuota {
        weightsByBackend = Map.copyOf(weightsByBackend);
    }

    /** Returns the weight of the backend in the allocation of this quota. */
    public int weightOf(String backend) {
        return weightsByBackend.getOrDefault(backend, 1);
    }

    /**
     * Returns how long a lease counts as outstanding by the leader's clock, assuming that the holder's clock is slow.
     */
    public Duration leaseDurationAtLeader() {
        return ClockDrift.upperBound(leaseDuration, maxClockDrift);
    }

    /** Returns how long the holder may use a lease by the holder's clock, assuming that this clock is slow. */
    public Duration leaseDurationAtHolder() {
        return ClockDrift.lowerBound(leaseDuration, maxClockDrift);
    }

    /**
     * Returns how long an amount counts as used after its lease has ended. The holder's last calls may fall into the
     * same second as the next holder's first calls, or may still be in flight.
     */
    public Duration releaseDelay() {
        Duration maxRemainingUse =
                switch (kind) {
                    case PER_SECOND -> Duration.ofSeconds(1);
                    case CONCURRENT -> maxCallDuration;
                };
        return ClockDrift.upperBound(maxRemainingUse, maxClockDrift);
    }
}
