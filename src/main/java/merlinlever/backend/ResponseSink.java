package merlinlever.backend;

import java.time.Duration;

/** Receives the response to one request. Exactly one method is called, once, on the event loop's thread. */
public interface ResponseSink {

    /** Responds with the result of the request's run, or of the run of the request that it duplicates. */
    void succeed(byte[] result);

    /**
     * Responds with a rejection; the request never ran.
     *
     * @param finalRejection whether the caller is asked not to retry elsewhere
     * @param retryAfter how long the caller is asked to wait before a retry; zero if unspecified
     */
    void reject(boolean finalRejection, Duration retryAfter);

    /** Responds with a failure; the request may have had side effects. */
    void fail();
}
