package merlinlever.driver;

import java.time.Duration;
import merlinlever.controller.ControllerEvent;

/**
 * Carries out decisions. For each batch, {@link ControllerDriver} calls the methods in the order of the kinds in
 * {@link merlinlever.controller.Decision}, on the thread that called {@link ControllerDriver#decide}. Methods with an
 * empty default are for optional capabilities; a server with the capability overrides them.
 *
 * @param <T> the handler's representation of a request
 */
public interface DecisionHandler<T> {

    /** Changes the backpressure level that is sent with every response. */
    default void updateBackpressureLevel(double level) {}

    /** Changes the reported health of the server. */
    default void updateHealth(boolean healthy) {}

    /** Changes the timeout after which idle connections are closed. */
    default void closeIdleConnections(Duration idleTimeout) {}

    /** Retains the request for its duplicates for the given time. */
    void retain(T request, Duration retention);

    /** Answers the request with a failure. */
    void fail(T request);

    /** Stops the run of the request; runs that cannot be stopped continue to their end. */
    default void stop(T request) {}

    /**
     * Treats the run of the request as ended by an error, and reports this end to the request's handle; called only
     * after {@link merlinlever.controller.RequestHandle#runInDoubt}.
     */
    default void abandonRun(T request) {}

    /**
     * Answers the request, which was never run, with a rejection.
     *
     * @param finalRejection whether the caller is asked not to retry elsewhere
     * @param retryAfter how long the caller is asked to wait before a retry; zero for no Retry-After
     */
    void reject(T request, boolean finalRejection, Duration retryAfter);

    /** Ends the retention of the request for its duplicates. */
    void evict(T request);

    /** Starts the run of the request. */
    void start(T request);

    /** Answers the request with the outcome of its original. */
    void shareOutcome(T request);

    /** Makes the downstream call that the run waits for, with a timeout; called only if runs make calls. */
    default void callDownstream(T request, Duration timeout) {}

    /** Continues the run without the downstream call that it waits for; called only if runs make calls. */
    default void skipCall(T request) {}

    /** Writes the event to the log. */
    void log(ControllerEvent event);

    /**
     * Schedules calls of {@link ControllerDriver#wakeUpFired} and {@link ControllerDriver#decide}. The time is always
     * earlier than a wake-up that is already scheduled.
     */
    void scheduleWakeUp(Duration at);

    /** Discards the request; no later decision refers to the request. */
    void release(T request);
}
