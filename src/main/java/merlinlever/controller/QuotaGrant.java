package merlinlever.controller;

import java.time.Duration;
import java.util.Optional;
import merlinlever.common.Durations;

/**
 * A server's part of a limit of the whole fleet.
 *
 * @param quota how much is permitted
 * @param perSecond whether the quota is one per second, else one of what is in progress at once
 * @param leaseUntil nothing is permitted from then on, since the start of the server
 * @param maxCallDuration after this a call is given up, as others have the quota by then; empty: not limited
 */
public record QuotaGrant(long quota, boolean perSecond, Duration leaseUntil, Optional<Duration> maxCallDuration) {

    /** The duration of a call, but no longer than the quota permits. */
    public Duration limitDuration(Duration callDuration) {
        return maxCallDuration
                .map(limit -> Durations.earlier(limit, callDuration))
                .orElse(callDuration);
    }
}
