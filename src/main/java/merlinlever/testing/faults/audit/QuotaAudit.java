package merlinlever.testing.faults.audit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks that all backends together keep a fleet quota, by what the called service sees: concurrent calls, or calls in any
 * second. A call may be delayed on its way by up to {@link #JITTER} ms, so a second is counted as shorter by that.
 */
public final class QuotaAudit {

    /** The most that a connection on a busy machine delays a call, in milliseconds. */
    public static final long JITTER = 250;

    private static final int MAX_LISTED = 20;
    private static final long SECOND_MS = Duration.ofSeconds(1).toMillis();

    private final boolean perSecond;
    /** When the calls of the last second began, in milliseconds. */
    private final ArrayDeque<Long> recentCalls = new ArrayDeque<>();

    private final List<String> violations = new ArrayList<>();
    private long quota;
    private long concurrentCalls;
    private long highest;
    private long calls;

    /**
     * An audit of one quota.
     *
     * @param perSecond whether it limits calls per second in place of concurrent ones
     */
    public QuotaAudit(long quota, boolean perSecond) {
        this.quota = quota;
        this.perSecond = perSecond;
    }

    /** Changes the quota; to a smaller one once the leases of the larger one have expired. */
    public void setQuota(long changed) {
        quota = changed;
    }

    /** A call arrived. */
    public void recordStart(long ms, String by) {
        calls++;
        concurrentCalls++;
        recentCalls.add(ms);
        while (ms - recentCalls.peek() >= SECOND_MS - JITTER) {
            recentCalls.poll();
        }
        long now = perSecond ? recentCalls.size() : concurrentCalls;
        highest = Math.max(highest, now);
        if (now > quota && violations.size() < MAX_LISTED) {
            violations.add(now + (perSecond ? " calls within a second" : " calls at once") + " with the call for " + by
                    + ", over " + quota);
        }
    }

    /** A call ended: answered, abandoned, or its connection closed. */
    public void recordEnd() {
        concurrentCalls--;
    }

    /** The first {@value #MAX_LISTED} violations, one line each. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** The highest number that counted against the quota, and how many calls there were. */
    public long[] counts() {
        return new long[] {highest, calls};
    }
}
