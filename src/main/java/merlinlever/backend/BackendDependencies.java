package merlinlever.backend;

import java.time.Duration;

/**
 * What a backend needs from the components around it: the agent that runs requests, the downstream service, the
 * connections of the edge nodes, a timer and a log. A command to the agent can be lost with the link to it.
 */
public interface BackendDependencies {

    /** Tells the agent to run the request; for one that runs already nothing happens. */
    void launch(TrackedRequest request);

    /** Tells the agent to stop the run of the request. */
    void stop(TrackedRequest request);

    /** Passes the reply of the downstream call that the run waits for. */
    void deliverReply(TrackedRequest request, byte[] reply);

    /** Tells the agent to let the run continue without its downstream call. */
    void continueWithoutCall(TrackedRequest request);

    /**
     * Polls the agent's metrics unless a poll is already in flight; {@link Backend#metricsReceived} brings them.
     *
     * @return whether a new poll was sent
     */
    boolean pollMetrics();

    /** Starts the work of a deep health check; {@link Backend#deepCheckCompleted} brings the result. */
    void startDeepCheck();

    /** The downstream service, which reports the end of each call to {@link Backend#callEnded}. */
    DownstreamService downstream();

    /** From now on, close connections that are idle for this long. */
    void closeIdleConnections(Duration idleTimeout);

    /** Call {@link Backend#wakeUp} then, in place of any wake-up asked for before. */
    void scheduleWakeUp(Duration at);

    /** Writes a line to the log. */
    void log(String line);
}
