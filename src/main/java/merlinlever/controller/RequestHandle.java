package merlinlever.controller;

import java.time.Duration;

/**
 * The handle of a request that was submitted to an {@link merlinlever.policy.OverloadController}. All later events
 * of the request are reported to it; what is decided about the request comes out of the next
 * {@link merlinlever.policy.OverloadController#decide}, which names the handle. Times count from the start of the
 * server.
 */
public interface RequestHandle {

    /** The run of the request, or the sharing of another's outcome, has ended. */
    void runEnded(Duration now, Outcome outcome);

    /** The run cannot continue without a downstream call. */
    void callNeeded(Duration now);

    /** The call that was made for the request has ended; after a failure the run waits for a decision again. */
    void callEnded(Duration now, Outcome outcome, Duration elapsed);

    /** The caller does not wait for an answer any more. */
    void callerGone(Duration now);
}
