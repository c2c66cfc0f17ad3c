package merlinlever.backend;

import java.time.Duration;

/**
 * The components that a backend uses: the agent that runs requests, the downstream service, the connections from edge
 * nodes, a timer and a log. Commands to the agent can be lost if the link to the agent breaks.
 */
public interface BackendDependencies {

    /** Tells the agent to run the request. The agent ignores the command if the request is already running. */
    void launch(TrackedRequest request);

    /** Tells the agent to stop the request's run. */
    void stop(TrackedRequest request);

    /** Sends the agent the reply to the downstream call that the request's run waits for. */
    void deliverReply(TrackedRequest request, byte[] reply);

    /** Tells the agent to continue the request's run without the downstream call. */
    void continueWithoutCall(TrackedRequest request);

    /**
     * Polls the agent's metrics unless a poll is already in flight. The response is passed to
     * {@link Backend#metricsReceived}.
     *
     * @return whether a new poll was sent
     */
    boolean pollMetrics();

    /** Starts a deep health check, whose result is passed to {@link Backend#deepCheckCompleted}. */
    void startDeepCheck();

    /** Returns the downstream service, which reports the end of each call to {@link Backend#callEnded}. */
    DownstreamService downstream();

    /** Sets the idle time after which connections are closed. */
    void closeIdleConnections(Duration idleTimeout);

    /** Schedules a call of {@link Backend#wakeUp} at the time, replacing any wake-up scheduled before. */
    void scheduleWakeUp(Duration at);

    /** Writes a line to the log. */
    void log(String line);
}
