package merlinlever;

import java.time.Duration;

/**
 * The handle of an operation that {@link merlinlever.policy.Control#take} has taken. All that happens to it later
 * is told here; what is decided about it comes out of the next {@link merlinlever.policy.Control#settle}, which names
 * the handle.
 */
public interface Operation {

    /** Its run, or the sharing of another's outcome, has ended. */
    void ended(Duration now, Ending how);

    /** Its run cannot go on without a call to what lies below. */
    void reachedCall(Duration now);

    /** The call made for it has ended; after anything but {@link Ending#OK} it waits for a decision again. */
    void callEnded(Duration now, Ending how, Duration took);

    /** Nobody waits for its answer any longer. */
    void callerGone(Duration now);
}
