package merlinlever.core;

import java.time.Duration;
import java.util.Collection;

/**
 * Launches and replies on their way to the agent. What may have been lost with a link is in doubt, and is sent again once
 * all notices of the time without are read; what is sure to have arrived is not, as its run may have ended by now and
 * would be begun once more.
 */
final class InDoubtCommands {

    /** What left within 50 ms before a link broke may be lost. */
    private static final Duration IN_TRANSIT = Duration.ofMillis(55);

    private final BackendDependencies outside;
    /** What left from then on is in doubt; null while nothing is. */
    private Duration from;

    InDoubtCommands(BackendDependencies outside) {
        this.outside = outside;
    }

    void launch(TrackedRequest work, Duration now) {
        work.launchedAt = now;
        work.launchInDoubt = false;
        outside.launch(work);
    }

    void deliver(TrackedRequest work, Duration now) {
        work.repliedAt = now;
        work.replyInDoubt = false;
        outside.deliver(work, work.reply);
    }

    /** A link is lost that stood at that time still. */
    void lost(Duration stood) {
        Duration doubtful = stood.minus(IN_TRANSIT);
        if (from == null || doubtful.compareTo(from) < 0) {
            from = doubtful;
        }
    }

    /** What is sent after this goes over the new link; it is in doubt only if that one is lost too. */
    void back(Collection<TrackedRequest> all) {
        for (TrackedRequest work : all) {
            work.launchInDoubt = from != null && work.launchedAt.compareTo(from) >= 0;
            work.replyInDoubt = from != null && work.repliedAt.compareTo(from) >= 0;
        }
    }

    void settle(Collection<TrackedRequest> all, Duration now) {
        // Whatever is sent from here on is sent anew: a link that is lost once more puts it in doubt once more.
        from = null;
        for (TrackedRequest work : all) {
            if (!work.launched || work.end != null) {
                continue;
            }
            if (work.launchInDoubt && work.callBody == null && work.reply == null) {
                launch(work, now);
            }
            // Sent twice, a reply might be taken for that to the next call of the run: only where it is in doubt.
            if (work.replyInDoubt && work.reply != null) {
                deliver(work, now);
            }
            if (work.halted) {
                outside.freeze(work);
            }
        }
    }
}
