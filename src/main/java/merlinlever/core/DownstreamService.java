package merlinlever.core;

import java.time.Duration;
import merlinlever.Outcome;

/**
 * Where the calls of runs leave and come back: all that the core knows of what lies below. A service that is away, slow or
 * over its share is answered for here, by an ending; how the call travelled is nobody else's business.
 */
public interface DownstreamService {

    /** Who makes calls, and hears of each how it ended, once, unless it was given up. */
    interface CompletionListener {
        /** With the reply where it went well. */
        void callEnded(Duration now, long id, Outcome how, byte[] reply);
    }

    /** Makes the call that the operation's run waits for, with this body; {@link Outcome#TIMED_OUT} after the span. */
    void call(TrackedRequest operation, byte[] body, Duration within);

    /** Nobody waits for the call any longer. */
    void giveUp(TrackedRequest operation);
}
