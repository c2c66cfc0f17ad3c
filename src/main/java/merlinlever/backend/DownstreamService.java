package merlinlever.backend;

import java.time.Duration;
import merlinlever.controller.Outcome;

/**
 * The service that runs call during their execution. An unreachable, slow or over-quota service is reported as the
 * outcome of the call. The route that a call takes is hidden behind this interface.
 */
public interface DownstreamService {

    /** Receives the end of each call exactly once, unless the call was cancelled. */
    interface CompletionListener {

        /**
         * Handles the end of a call.
         *
         * @param requestId id of the request whose run made the call
         * @param reply the body of the reply if the outcome is {@link Outcome#OK}, else null
         */
        void callEnded(Duration now, long requestId, Outcome outcome, byte[] reply);
    }

    /** Makes the call that the request's run waits for. The call ends with {@link Outcome#TIMED_OUT} at the timeout. */
    void call(TrackedRequest request, byte[] body, Duration timeout);

    /** Cancels the call of the request, if there is one; the end of a cancelled call is not reported. */
    void cancel(TrackedRequest request);
}
