package merlinlever.backend;

import java.time.Duration;
import merlinlever.controller.Outcome;

/** Sends the single response to each request, and counts the requests that are not yet answered. */
final class ResponseTracker {

    private int unanswered;

    /** Returns the number of requests that were received and are not yet answered. */
    int unanswered() {
        return unanswered;
    }

    void requestReceived() {
        unanswered++;
    }

    /** Marks the request as answered or as needing no response, and returns the sink that waited for the response. */
    ResponseSink close(TrackedRequest request) {
        unanswered--;
        return request.closeResponse();
    }

    /** Responds with the outcome, unless the request is answered already. */
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

    /** Responds with a rejection, unless the request is answered already. */
    void reject(TrackedRequest request, boolean finalRejection, Duration retryAfter) {
        if (!request.isAnswered()) {
            close(request).reject(finalRejection, retryAfter);
        }
    }

    /** Responds to the request whose run has ended, and ends all duplicates that share the outcome. */
    void runEnded(TrackedRequest request, Duration now, Outcome outcome, byte[] result) {
        respond(request, outcome, result);
        request.handle().runEnded(now, outcome);
        for (TrackedRequest duplicate : request.coalesced()) {
            endWithOutcomeOf(request, duplicate, now);
        }
        request.clearCoalesced();
    }

    /**
     * Ends a duplicate with its original's outcome.
     *
     * @param original the request whose outcome is shared; null if it is unknown, so that the duplicate fails
     * @return false if the duplicate had ended already
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
