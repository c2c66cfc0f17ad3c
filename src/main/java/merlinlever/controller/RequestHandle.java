package merlinlever.controller;

import java.time.Duration;

/**
 * Handle of a request that was submitted to an {@link merlinlever.policy.OverloadController}. The adapter reports all
 * later events of the request to the handle. Decisions about the request, returned by
 * {@link merlinlever.policy.OverloadController#decide}, refer to the handle. Times are relative to the start of the
 * server.
 */
public interface RequestHandle {

    /** Reports that the run of the request, or sharing the outcome of another request, has ended. */
    void runEnded(Duration now, Outcome outcome);

    /**
     * Reports that a command that starts or continues the run may have been lost, so that the run may make no progress
     * and its end may never be reported. The next event of the run ends the doubt.
     */
    void runInDoubt(Duration now);

    /** Reports that the run needs a downstream call to continue. */
    void callNeeded(Duration now);

    /** Reports the end of the downstream call; after a failed call the run waits for another decision. */
    void callEnded(Duration now, Outcome outcome, Duration elapsed);

    /** Reports that the caller no longer waits for an answer. */
    void callerGone(Duration now);
}
