package merlinlever.core;

import java.time.Duration;
import java.util.function.Supplier;
import merlinlever.Outcome;

/** The call that a run waits for, from when it is reached until its reply is with the run. One at a time each. */
final class DownstreamCallTracker {

    private final Supplier<DownstreamService> below;

    /** What lies below is asked for with each call, as it is put together after the core. */
    DownstreamCallTracker(Supplier<DownstreamService> below) {
        this.below = below;
    }

    void reached(TrackedRequest work, byte[] body) {
        work.callBody = body;
        work.reply = null;
    }

    void make(TrackedRequest work, Duration now, Duration within) {
        if (work.callBody != null && work.end == null) {
            work.calling = true;
            work.calledAt = now;
            below.get().call(work, work.callBody, within);
        }
    }

    /** It has ended; where it went well the reply is to go to the run. Returns how long it took. */
    Duration ended(TrackedRequest work, Duration now, Outcome how, byte[] reply) {
        work.calling = false;
        if (how == Outcome.OK) {
            work.callBody = null;
            work.reply = reply;
        }
        return now.minus(work.calledAt);
    }

    void giveUp(TrackedRequest work) {
        if (work.calling) {
            work.calling = false;
            below.get().giveUp(work);
        }
    }

    /** Its run has ended: neither call nor reply is of use. */
    void over(TrackedRequest work) {
        work.reply = null;
        work.callBody = null;
        giveUp(work);
    }
}
