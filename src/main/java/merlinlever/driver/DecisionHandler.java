package merlinlever.driver;

import java.time.Duration;
import merlinlever.controller.ControllerEvent;

/**
 * Carries out the decisions of one batch. {@link ControllerDriver} calls the methods in the order of the kinds in
 * {@link merlinlever.controller.Decision}, on the thread that called {@link ControllerDriver#decide}. Methods with an
 * empty default concern abilities that not every server has; a server with that ability overrides them.
 *
 * @param <T> how the handler names a request
 */
public interface DecisionHandler<T> {

    /** From now on, send this backpressure level with every response. */
    default void updateBackpressureLevel(double level) {}

    /** From now on, report this health. */
    default void updateHealth(boolean healthy) {}

    /** From now on, close connections that are idle for this long. */
    default void closeIdleConnections(Duration idleTimeout) {}

    /** Keep the request findable for its duplicates for this long. */
    void retain(T request, Duration retention);

    /** Answer the request: failed. */
    void fail(T request);

    /** Stop the run of the request; runs that cannot be stopped continue to their end. */
    default void stop(T request) {}

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

    /** Make the downstream call that the run waits for, and give it up after the timeout; only where runs make calls. */
    default void callDownstream(T request, Duration timeout) {}

    /** Let the run continue without the downstream call that it waits for; only where runs make calls. */
    default void skipCall(T request) {}

    /** Write the event to the log. */
    void log(ControllerEvent event);

    /**
     * Call {@link ControllerDriver#wakeUpFired} and {@link ControllerDriver#decide} at this time, unless events make a
     * decision necessary before; always earlier than any wake-up that is scheduled already.
     */
    void scheduleWakeUp(Duration at);

    /** The controller will not name the request again: forget it. */
    void release(T request);
}
