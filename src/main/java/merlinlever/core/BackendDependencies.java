package merlinlever.core;

import java.time.Duration;

/** What the real backend asks of the parties around it; each of these may be lost with a link. */
public interface BackendDependencies {

    /** Run it; for one that runs already nothing happens. */
    void launch(TrackedRequest work);

    /** Stop its run. */
    void stop(TrackedRequest work);

    /** The reply to the call that its run waits for. */
    void deliverReply(TrackedRequest work, byte[] reply);

    /** Its run goes on without the call. */
    void continueWithoutCall(TrackedRequest work);

    /** Ask for the gauges, if no such question is open; {@link Backend#metricsReceived} brings them. Says whether it did. */
    boolean pollMetrics();

    /** Do the work of a deep health check; {@link Backend#deepCheckCompleted} says how that went. */
    void startDeepCheck();

    /** What lies below, which ends calls with {@link Backend#callEnded}. */
    DownstreamService downstream();

    void closeIdleConnections(Duration after);

    /** Call {@link Backend#wakeUp} then. */
    void scheduleWakeUp(Duration at);

    void log(String line);
}
