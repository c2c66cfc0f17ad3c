package merlinlever.policy;

import static merlinlever.common.Durations.isReached;

import java.time.Duration;
import java.util.ArrayDeque;
import merlinlever.controller.QuotaDemand;
import merlinlever.controller.QuotaGrant;

/**
 * Limits what this server starts to its quota of a limit of the whole fleet: nothing beyond it, and nothing
 * once its lease has expired. Without a lease nothing is limited.
 */
final class QuotaLimiter {
    // A quota per second is kept in any span of this; the way from here to the limited service is not even.
    private static final Duration RATE_WINDOW = Duration.ofMillis(1050);

    /** Null: not limited. */
    private QuotaGrant grant;
    /** How many are in progress. */
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
