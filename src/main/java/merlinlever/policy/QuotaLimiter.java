package merlinlever.policy;

import static merlinlever.Durations.reached;

import java.time.Duration;
import java.util.ArrayDeque;

/** This server's share of what the whole fleet may do: nothing beyond it, nothing once its lease is over. */
final class QuotaLimiter {
    // A share of so many a second is kept in any span of this; its way to whom it is for is not quite even.
    private static final Duration SECOND = Duration.ofMillis(1050);

    long share;
    Duration until, longest;
    boolean perSecond;
    int inUse;
    private final ArrayDeque<Duration> begun = new ArrayDeque<>();

    boolean allows(Duration now) {
        while (!begun.isEmpty() && reached(now, begun.peek().plus(SECOND))) {
            begun.poll();
        }
        return until == null || (!reached(now, until) && (perSecond ? begun.size() : inUse) < share);
    }

    void begins(Duration now) {
        if (until != null && perSecond) {
            begun.add(now);
        }
    }

    /** What is out of it now, and what would be if it were larger: begun of late or now, and waiting. */
    long[] demand(Duration now, long waits) {
        allows(now);
        return new long[] {inUse, (perSecond ? begun.size() : inUse) + waits};
    }
}
