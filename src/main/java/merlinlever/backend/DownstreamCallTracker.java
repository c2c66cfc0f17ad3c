package merlinlever.backend;

import java.time.Duration;
import java.util.function.Supplier;
import merlinlever.controller.Outcome;

/**
 * Tracks the downstream call of each run, from the run's request for the call until the run has the reply. A run makes
 * one call at a time.
 */
final class DownstreamCallTracker {

    private final Supplier<DownstreamService> downstream;

    /** @param downstream looked up for each call, as the downstream service is created after the backend */
    DownstreamCallTracker(Supplier<DownstreamService> downstream) {
        this.downstream = downstream;
    }

    /** Records that the run waits for a call with the body. */
    void callNeeded(TrackedRequest request, byte[] callBody) {
        request.awaitCall(callBody);
    }

    /** Makes the call, unless the run has ended or has continued without the call. */
    void startCall(TrackedRequest request, Duration now, Duration timeout) {
        if (request.callBody() != null && !request.hasEnded()) {
            request.startCall(now);
            downstream.get().call(request, request.callBody(), timeout);
        }
    }

    /**
     * Records the end of the call. A reply is kept until the run is known to have received it.
     *
     * @return the duration of the call
     */
    Duration callEnded(TrackedRequest request, Duration now, Outcome outcome, byte[] reply) {
        if (outcome == Outcome.OK) {
            request.endCall(reply);
        } else {
            request.endCall();
        }
        return now.minus(request.calledAt());
    }

    /** Records that the run continues without the call. */
    void callSkipped(TrackedRequest request) {
        request.skipCall();
    }

    /** Cancels the call in flight, if there is one. */
    void cancel(TrackedRequest request) {
        if (request.isCallInFlight()) {
            request.endCall();
            downstream.get().cancel(request);
        }
    }

    /** Cancels the call and releases its body and reply after the end of the run. */
    void runEnded(TrackedRequest request) {
        request.releaseCall();
        cancel(request);
    }
}
