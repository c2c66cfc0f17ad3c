package merlinlever.backend;

import java.time.Duration;
import merlinlever.controller.Outcome;

/**
 * The service that runs call while they execute. A service that is unreachable, slow or over its quota is reported by
 * the outcome of the call; which route the call took is hidden behind this interface.
 */
public interface DownstreamService {

    /** Is notified of the end of each call, once, unless the call was cancelled. */
    interface CompletionListener {

        /**
         * A call has ended.
         *
         * @param requestId the request whose run made the call
         * @param reply the reply if the outcome is {@link Outcome#OK}, else null
         */
        void callEnded(Duration now, long requestId, Outcome outcome, byte[] reply);
    }

    /** Makes the call that the request's run waits for; it ends with {@link Outcome#TIMED_OUT} after the timeout. */
    void call(TrackedRequest request, byte[] body, Duration timeout);

    /** Abandons the call of the request: nobody waits for it any longer, and its end is not reported. */
    void cancel(TrackedRequest request);
}
