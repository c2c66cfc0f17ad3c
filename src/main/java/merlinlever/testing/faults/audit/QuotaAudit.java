package merlinlever.testing.faults.audit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks that all backends together keep a fleet quota on concurrent calls or on calls per second, from the calls that
 * the downstream service receives. The network may delay a call by up to {@link #JITTER} ms, therefore the rate is
 * checked over windows that are shorter than a second by {@link #JITTER}.
 */
public final class QuotaAudit {

    /** Maximum delay of a call by a connection on a busy machine, in milliseconds. */
    public static final long JITTER = 250;

    private static final int MAX_LISTED = 20;
    private static final long SECOND_MS = Duration.ofSeconds(1).toMillis();

    private final boolean perSecond;
    /** Start times of the calls in the current window, in milliseconds. */
    private final ArrayDeque<Long> recentCalls = new ArrayDeque<>();

    private final List<String> violations = new ArrayList<>();
    private long quota;
    private long concurrentCalls;
    private long highest;
    private long calls;

    /**
     * Creates the audit of one quota.
     *
     * @param perSecond whether the quota limits calls per second instead of concurrent calls
     */
    public QuotaAudit(long quota, boolean perSecond) {
        this.quota = quota;
        this.perSecond = perSecond;
    }

    /** Changes the quota; a smaller one is set only after the leases of the larger one have expired. */
    public void setQuota(long newQuota) {
        quota = newQuota;
    }

    /** Records the arrival of a call. */
    public void recordStart(long ms, String callId) {
        calls++;
        concurrentCalls++;
        recentCalls.add(ms);
        while (ms - recentCalls.peek() >= SECOND_MS - JITTER) {
            recentCalls.poll();
        }
        long current = perSecond ? recentCalls.size() : concurrentCalls;
        highest = Math.max(highest, current);
        if (current > quota && violations.size() < MAX_LISTED) {
            violations.add(current + (perSecond ? " calls within a second" : " concurrent calls") + " with call "
                    + callId + ", over the quota of " + quota);
        }
    }

    /** Records the end of a call: answered, cancelled, or its connection closed. */
    public void recordEnd() {
        concurrentCalls--;
    }

    /** Returns the first {@value #MAX_LISTED} violations, one line each. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the highest number of calls that counted against the quota, and the total number of calls. */
    public long[] counts() {
        return new long[] {highest, calls};
    }
}
