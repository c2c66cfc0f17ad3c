package merlinlever.backend;

import java.time.Duration;

/** Receives the response to one request: exactly one of these methods is called, once, on the loop's thread. */
public interface ResponseSink {

    /** The request was served, by its own run or by the run of the request that it duplicates. */
    void succeed(byte[] result);

    /**
     * The request was rejected and never ran.
     *
     * @param finalRejection whether the caller is asked not to retry elsewhere
     * @param retryAfter how long the caller is asked to wait before it retries; zero if nothing is said about that
     */
    void reject(boolean finalRejection, Duration retryAfter);

    /** The request failed, and may have had its effect. */
    void fail();
}
