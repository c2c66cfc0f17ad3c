package merlinlever.testing.faults.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Whether all backends together kept to a limit of the whole fleet, by what the party called saw: calls at once, and calls
 * in any second. Decisions alone. A call may be held up on its way by up to {@link #JITTER}, so a second is counted as
 * shorter by that.
 */
public final class QuotaAudit {

    /** What a connection on a busy machine may hold a call up. */
    public static final long JITTER = 250;

    private static final int MOST = 20;

    private final boolean perSecond;
    private final ArrayDeque<Long> begun = new ArrayDeque<>();
    private final List<String> breaches = new ArrayList<>();
    private long whole, atOnce, most, calls;

    public QuotaAudit(long whole, boolean perSecond) {
        this.whole = whole;
        this.perSecond = perSecond;
    }

    /** From now on it is another; a smaller one is to be told when the shares of the larger one have run out. */
    public void whole(long changed) {
        whole = changed;
    }

    /** A call came. */
    public void began(long ms, String by) {
        calls++;
        atOnce++;
        begun.add(ms);
        while (ms - begun.peek() >= 1000 - JITTER) {
            begun.poll();
        }
        long now = perSecond ? begun.size() : atOnce;
        most = Math.max(most, now);
        if (now > whole && breaches.size() < MOST) {
            breaches.add(now + (perSecond ? " calls within a second" : " calls at once") + " with the call for " + by
                    + ", over " + whole);
        }
    }

    /** A call ended: answered, given up, or its connection is gone. */
    public void ended() {
        atOnce--;
    }

    public List<String> breaches() {
        return List.copyOf(breaches);
    }

    /** The most that were seen, and how many calls in all. */
    public long[] counts() {
        return new long[] {most, calls};
    }
}
