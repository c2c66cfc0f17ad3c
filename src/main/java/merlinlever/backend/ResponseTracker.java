package merlinlever.backend;

import java.time.Duration;
import merlinlever.controller.Outcome;

/** Sends each request its one response, and counts the requests that are still to be answered. */
final class ResponseTracker {

    private int unanswered;

    /** Requests that were received and are not yet answered. */
    int unanswered() {
        return unanswered;
    }

    void requestReceived() {
        unanswered++;
    }

    /** The request is answered, or need not be any more; returns the sink that waited for the response. */
    ResponseSink close(TrackedRequest request) {
        unanswered--;
        return request.closeResponse();
    }

    /** Answers with the outcome, unless the request is answered already. */
    void respond(TrackedRequest request, Outcome outcome, byte[] result) {
        if (request.isAnswered()) {
            return;
        }
        ResponseSink sink = close(request);
        if (outcome == Outcome.OK) {
            sink.succeed(result);
        } else {
            sink.fail();
        }
    }

    /** Answers with a rejection, unless the request is answered already. */
    void reject(TrackedRequest request, boolean finalRejection, Duration retryAfter) {
        if (!request.isAnswered()) {
            close(request).reject(finalRejection, retryAfter);
        }
    }

    /** The run of the request has ended, and with it the request and all that share its outcome. */
    void runEnded(TrackedRequest request, Duration now, Outcome outcome, byte[] result) {
        respond(request, outcome, result);
        request.handle().runEnded(now, outcome);
        for (TrackedRequest duplicate : request.coalesced()) {
            endWithOutcomeOf(request, duplicate, now);
        }
        request.clearCoalesced();
    }

    /**
     * Ends a duplicate with the outcome of its original.
     *
     * @param original the request whose outcome is shared; null if nothing is known of it, and the duplicate fails
     * @return whether that changed anything
     */
    boolean endWithOutcomeOf(TrackedRequest original, TrackedRequest duplicate, Duration now) {
        if (duplicate.hasEnded()) {
            return false;
        }
        byte[] result = original != null && original.outcome() == Outcome.OK ? original.result() : null;
        Outcome outcome = result != null ? Outcome.OK : Outcome.ERROR;
        duplicate.end(outcome, null);
        duplicate.releaseBody();
        respond(duplicate, outcome, result);
        duplicate.handle().runEnded(now, outcome);
        return true;
    }
}
