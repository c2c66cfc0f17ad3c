package merlinlever.policy;

import static merlinlever.common.Durations.isReached;

import java.time.Duration;
import java.util.ArrayDeque;
import merlinlever.controller.QuotaDemand;
import merlinlever.controller.QuotaGrant;

/**
 * Limits the runs or calls of this server to its quota of a fleet-wide limit. Nothing is permitted after the
 * lease of the quota has expired; everything is permitted before the first grant.
 */
final class QuotaLimiter {
    // Window of a quota per second; longer than a second because of network jitter.
    private static final Duration RATE_WINDOW = Duration.ofMillis(1050);

    /** Null without a limit. */
    private QuotaGrant grant;
    /** Number of runs or calls in progress. */
    private int inUse;

    private final ArrayDeque<Duration> recentStarts = new ArrayDeque<>();

    void setGrant(QuotaGrant newGrant) {
        grant = newGrant;
    }

    void setInUse(int count) {
        inUse = count;
    }

    void adjustInUse(int change) {
        inUse += change;
    }

    boolean permits(Duration now) {
        while (!recentStarts.isEmpty() && isReached(now, recentStarts.peek().plus(RATE_WINDOW))) {
            recentStarts.poll();
        }
        return grant == null || (!isReached(now, grant.leaseUntil()) && used() < grant.quota());
    }

    void recordStart(Duration now) {
        if (isPerSecond()) {
            recentStarts.add(now);
        }
    }

    Duration limitDuration(Duration callDuration) {
        return grant == null ? callDuration : grant.limitDuration(callDuration);
    }

    QuotaDemand demand(Duration now, long waiting) {
        permits(now);
        return new QuotaDemand(inUse, used() + waiting);
    }

    private int used() {
        return isPerSecond() ? recentStarts.size() : inUse;
    }

    private boolean isPerSecond() {
        return grant != null && grant.perSecond();
    }
}
