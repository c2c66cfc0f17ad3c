package merlinlever;

import java.time.Duration;

/**
 * The handle of an operation that {@link merlinlever.policy.OverloadController#take} has taken. All that happens to it later
 * is told here; what is decided about it comes out of the next {@link merlinlever.policy.OverloadController#settle}, which names
 * the handle.
 */
public interface RequestHandle {

    /** Its run, or the sharing of another's outcome, has ended. */
    void ended(Duration now, Outcome how);

    /** Its run cannot go on without a call to what lies below. */
    void reachedCall(Duration now);

    /** The call made for it has ended; after anything but {@link Outcome#OK} it waits for a decision again. */
    void callEnded(Duration now, Outcome how, Duration took);

    /** Nobody waits for its answer any longer. */
    void callerGone(Duration now);
}
