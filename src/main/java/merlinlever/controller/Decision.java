package merlinlever.controller;

import java.time.Duration;

/**
 * One action that an {@link merlinlever.policy.OverloadController} decided on. Within a batch, decisions are carried out
 * in the order in which the kinds are declared here; that order keeps the safety rules, such as recording an idempotency
 * key before its request starts.
 */
public sealed interface Decision {

    /** From now on, send this value with every answer: by the settings a level, a weight or a credit. */
    record SendBackpressure(double value) implements Decision {}

    /** From now on, report this health. */
    record ReportHealth(boolean healthy) implements Decision {}

    /** From now on, close connections that are idle for this long. */
    record CloseIdleConnections(Duration idleTimeout) implements Decision {}

    /** Let duplicates find the request for this long. */
    record Retain(RequestHandle request, Duration retention) implements Decision {}

    /** Answer the request: failed. */
    record Fail(RequestHandle request) implements Decision {}

    /** Stop the run of the request. */
    record Stop(RequestHandle request) implements Decision {}

    /**
     * Answer the request: rejected, never run.
     *
     * @param isFinal whether the caller is asked not to retry elsewhere
     * @param retryAfter how long the caller is asked to wait before it retries; zero: nothing is said about that
     */
    record Reject(RequestHandle request, boolean isFinal, Duration retryAfter) implements Decision {}

    /** Let no duplicate find the request any more. */
    record Evict(RequestHandle request) implements Decision {}

    /** Start the run of the request. */
    record Start(RequestHandle request) implements Decision {}

    /** Answer the request with the outcome of the one that it duplicates. */
    record ShareOutcome(RequestHandle request) implements Decision {}

    /** Make the downstream call that the run waits for, and give it up after the timeout. */
    record CallDownstream(RequestHandle request, Duration timeout) implements Decision {}

    /** Let the run continue without the downstream call that it waits for. */
    record SkipCall(RequestHandle request) implements Decision {}

    /** Write the event to the log. */
    record Log(ControllerEvent event) implements Decision {}

    /** The handle will not be named again: forget the request. */
    record Release(RequestHandle request) implements Decision {}
}
