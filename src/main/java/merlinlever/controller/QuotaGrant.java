package merlinlever.controller;

import java.time.Duration;
import java.util.Optional;
import merlinlever.common.Durations;

/**
 * A server's quota of a fleet-wide limit.
 *
 * @param quota the number of permitted runs or calls
 * @param perSecond whether the quota limits the starts per second, rather than the concurrency
 * @param leaseUntil the end of the lease, relative to the start of the server; later starts are not permitted
 * @param maxCallDuration the timeout of a call, after which another server may have the quota; empty without a limit
 */
public record QuotaGrant(long quota, boolean perSecond, Duration leaseUntil, Optional<Duration> maxCallDuration) {

    /** Returns the duration of a call, limited to the maximum that the quota permits. */
    public Duration limitDuration(Duration callDuration) {
        return maxCallDuration
                .map(limit -> Durations.earlier(limit, callDuration))
                .orElse(callDuration);
    }
}
