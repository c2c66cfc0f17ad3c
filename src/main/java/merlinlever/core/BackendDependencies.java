package merlinlever.core;

import java.time.Duration;

/** What the real backend asks of the parties around it; each of these may be lost with a link. */
public interface BackendDependencies {

    /** Run it; for one that runs already nothing happens. */
    void launch(TrackedRequest work);

    /** Stop its run. */
    void freeze(TrackedRequest work);

    /** The reply to the call that its run waits for. */
    void deliver(TrackedRequest work, byte[] reply);

    /** Its run goes on without the call. */
    void forgo(TrackedRequest work);

    /** Ask for the gauges, if no such question is open; {@link Backend#gauges} brings them. Says whether it did. */
    boolean sample();

    /** Do the work of a deep health check; {@link Backend#exercised} says how that went. */
    void exercise();

    /** What lies below, which ends calls with {@link Backend#callEnded}. */
    DownstreamService calls();

    void closeIdle(Duration after);

    /** Call {@link Backend#alarmed} then. */
    void alarm(Duration at);

    void log(String line);
}
