package merlinlever;

import java.time.Duration;

/**
 * The handle of an operation that {@link merlinlever.policy.OverloadController#submit} has taken. All that happens to it later
 * is told here; what is decided about it comes out of the next {@link merlinlever.policy.OverloadController#decide}, which names
 * the handle.
 */
public interface RequestHandle {

    /** Its run, or the sharing of another's outcome, has ended. */
    void runEnded(Duration now, Outcome outcome);

    /** Its run cannot go on without a call to what lies below. */
    void callNeeded(Duration now);

    /** The call made for it has ended; after anything but {@link Outcome#OK} it waits for a decision again. */
    void callEnded(Duration now, Outcome outcome, Duration elapsed);

    /** Nobody waits for its answer any longer. */
    void callerGone(Duration now);
}
