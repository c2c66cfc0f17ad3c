package merlinlever.backend;

import java.time.Duration;
import java.util.function.Supplier;
import merlinlever.controller.Outcome;

/**
 * Follows the downstream call of each run, from the moment the run needs it until the run has its reply. A run has one
 * at a time.
 */
final class DownstreamCallTracker {

    private final Supplier<DownstreamService> downstream;

    /** The service is looked up with each call, as it is assembled after the backend. */
    DownstreamCallTracker(Supplier<DownstreamService> downstream) {
        this.downstream = downstream;
    }

    /** The run has reached a call and waits for it. */
    void callNeeded(TrackedRequest request, byte[] callBody) {
        request.needCall(callBody);
    }

    /** Makes the call, unless the run has meanwhile ended or continued without it. */
    void startCall(TrackedRequest request, Duration now, Duration timeout) {
        if (request.callBody() != null && !request.hasEnded()) {
            request.startCall(now);
            downstream.get().call(request, request.callBody(), timeout);
        }
    }

    /**
     * The call has ended; a reply is kept until the run is known to have it.
     *
     * @return how long the call took
     */
    Duration callEnded(TrackedRequest request, Duration now, Outcome outcome, byte[] reply) {
        if (outcome == Outcome.OK) {
            request.endCall(reply);
        } else {
            request.endCall();
        }
        return now.minus(request.calledAt());
    }

    /** The run continues without the call that it waited for. */
    void callSkipped(TrackedRequest request) {
        request.skipCall();
    }

    /** Abandons the call in flight, if there is one. */
    void cancel(TrackedRequest request) {
        if (request.isCallInFlight()) {
            request.endCall();
            downstream.get().cancel(request);
        }
    }

    /** The run has ended: neither its call nor the reply to it is of use. */
    void runEnded(TrackedRequest request) {
        request.releaseCall();
        cancel(request);
    }
}
