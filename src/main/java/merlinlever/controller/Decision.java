package merlinlever.controller;

import java.time.Duration;

/**
 * Action that an {@link merlinlever.policy.OverloadController} decided on. The decisions of a batch are carried out in
 * the order in which their kinds are declared here. The safety rules depend on this order: for example, an idempotency
 * key is retained before its request starts.
 */
public sealed interface Decision {

    /** Send the value, which is a level, a weight or a credit depending on the settings, with every later answer. */
    record SendBackpressure(double value) implements Decision {}

    /** Change the reported health of the server. */
    record ReportHealth(boolean healthy) implements Decision {}

    /** Change the timeout after which idle connections are closed. */
    record CloseIdleConnections(Duration idleTimeout) implements Decision {}

    /** Retain the request for its duplicates for the given time. */
    record Retain(RequestHandle request, Duration retention) implements Decision {}

    /** Answer the request with a failure. */
    record Fail(RequestHandle request) implements Decision {}

    /** Stop the run of the request. */
    record Stop(RequestHandle request) implements Decision {}

    /** Treat the run of the request as ended by an error: it may never have started, so no end may be reported. */
    record AbandonRun(RequestHandle request) implements Decision {}

    /**
     * Answer the request, which was never run, with a rejection.
     *
     * @param isFinal whether the caller is asked not to retry elsewhere
     * @param retryAfter how long the caller is asked to wait before a retry; zero for no Retry-After
     */
    record Reject(RequestHandle request, boolean isFinal, Duration retryAfter) implements Decision {}

    /** End the retention of the request for its duplicates. */
    record Evict(RequestHandle request) implements Decision {}

    /** Start the run of the request. */
    record Start(RequestHandle request) implements Decision {}

    /** Answer the request with the outcome of its original. */
    record ShareOutcome(RequestHandle request) implements Decision {}

    /** Make the downstream call that the run waits for, with the given timeout. */
    record CallDownstream(RequestHandle request, Duration timeout) implements Decision {}

    /** Continue the run without the downstream call that it waits for. */
    record SkipCall(RequestHandle request) implements Decision {}

    /** Write the event to the log. */
    record Log(ControllerEvent event) implements Decision {}

    /** Discard the request and its handle, which no later decision refers to. */
    record Release(RequestHandle request) implements Decision {}
}
