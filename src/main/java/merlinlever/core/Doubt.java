package merlinlever.core;

import java.time.Duration;
import java.util.Collection;

/** What may have been lost with a link to the agent, and is sent again once all notices of the time without are read. */
final class Doubt {

    /** What left within 50 ms before a link broke may be lost, and a link was last heard before it broke. */
    private static final Duration IN_TRANSIT = Duration.ofMillis(55);

    private final Outside outside;
    private Duration from, backAt;

    Doubt(Outside outside) {
        this.outside = outside;
    }

    void lost(Duration lastHeard) {
        if (from == null) {
            from = lastHeard.minus(IN_TRANSIT);
        }
    }

    void back(Duration now) {
        backAt = now;
    }

    void settle(Collection<Work> all) {
        if (from == null) {
            return;
        }
        Duration doubtful = from;
        from = null;
        for (Work work : all) {
            if (!work.launched || work.end != null) {
                continue;
            }
            if (work.callBody == null && work.reply == null) {
                outside.launch(work);
            }
            // Sent twice, a reply might be taken for that to the next call of the run: only where it is in doubt.
            if (work.reply != null && work.repliedAt.compareTo(doubtful) >= 0 && work.repliedAt.compareTo(backAt) < 0) {
                outside.deliver(work, work.reply);
            }
            if (work.halted) {
                outside.freeze(work);
            }
        }
    }
}
