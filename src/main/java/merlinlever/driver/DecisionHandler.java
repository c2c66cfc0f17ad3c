package merlinlever.driver;

import java.time.Duration;
import merlinlever.controller.ControllerEvent;

/**
 * Carries out the decisions of one batch. The methods are called in the order in which they are declared here; that
 * order keeps the safety rules, such as recording an idempotency key before its request starts.
 *
 * @param <T> how the handler names a request
 */
public interface DecisionHandler<T> {

    /** From now on, send this backpressure level with every response. */
    void updateBackpressureLevel(double level);

    /** From now on, report this health. */
    void updateHealth(boolean healthy);

    /** From now on, close connections that are idle for this long. */
    void closeIdleConnections(Duration idleTimeout);

    /** Keep the request findable for its duplicates for this long. */
    void retain(T request, Duration retention);

    /** Answer the request: failed. */
    void fail(T request);

    /** Stop the run of the request. */
    void stop(T request);

    /**
     * Answer the request: rejected, never run.
     *
     * @param finalRejection whether the caller is asked not to retry elsewhere
     * @param retryAfter how long the caller is asked to wait before it retries; zero if nothing is said about that
     */
    void reject(T request, boolean finalRejection, Duration retryAfter);

    /** Let no duplicate find the request any more. */
    void evict(T request);

    /** Start the run of the request. */
    void start(T request);

    /** Answer the request with the outcome of the request that it duplicates. */
    void shareOutcome(T request);

    /** Make the downstream call that the run waits for, and give it up after the timeout. */
    void callDownstream(T request, Duration timeout);

    /** Let the run continue without the downstream call that it waits for. */
    void skipCall(T request);

    /** Write the event to the log. */
    void log(ControllerEvent event);

    /**
     * Call {@link ControllerDriver#wakeUpFired} and decide again then; always earlier than any wake-up that is still to
     * come.
     */
    void scheduleWakeUp(Duration at);

    /** The controller will not name the request again: forget it. */
    void release(T request);
}
