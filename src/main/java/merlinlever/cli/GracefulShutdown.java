package merlinlever.cli;

import java.time.Duration;
import java.util.Map;
import merlinlever.backend.Backend;
import merlinlever.backend.http.EdgeServer;
import merlinlever.common.log.Log;
import merlinlever.common.log.LogEvent;
import merlinlever.common.net.EventLoop;

/**
 * The end of one backend after SIGTERM: it drains, closes its listener once the drain grace is over, answers what is in flight,
 * half-closes connections that are idle still shortly before the stop, and stops the event loop. Runs on the event loop.
 */
final class GracefulShutdown {

    private static final Duration POLL_PERIOD = Duration.ofMillis(10);
    /** Reserved before the stop for the responses of the last moment to be written. */
    private static final Duration LAST_WRITES = Duration.ofMillis(150);
    /** How long half-closed connections are read on, for requests that are on their way; less than the reserve above. */
    private static final Duration HALF_CLOSED_READ = Duration.ofMillis(60);
    /** How long the signal may take to reach the event loop; the grace period counts from the signal. */
    private static final Duration SIGNAL_DELAY = Duration.ofMillis(100);

    private final EventLoop loop;
    private final Backend backend;
    private final EdgeServer edge;
    private final Duration timeToStop;
    private final Duration drainGrace;
    private final Log log;
    private boolean idleHalfClosed;
    private boolean finished;

    /**
     * Does nothing until it is started.
     *
     * @param stopAfter from the signal to the end of the process
     * @param drainGrace how long new requests are accepted after the signal
     */
    GracefulShutdown(EventLoop loop, BackendAssembly assembly, Duration stopAfter, Duration drainGrace, Log log) {
        this.loop = loop;
        this.backend = assembly.backend();
        this.edge = assembly.edge();
        this.timeToStop = stopAfter.minus(LAST_WRITES);
        this.drainGrace = drainGrace;
        this.log = log;
    }

    /** Begins the drain. */
    void start() {
        Duration now = loop.clock().now();
        backend.startDrain(now.minus(SIGNAL_DELAY), now.plus(timeToStop));
        // Requests are still started within the grace period, and none after it.
        Duration openFor = drainGrace.compareTo(timeToStop) < 0 ? drainGrace : timeToStop;
        loop.schedule(openFor, () -> {
            edge.close();
            Duration lastMoment = loop.clock().uptime().plus(timeToStop.minus(openFor));
            // Not in this turn of the loop: a connection accepted in it is not registered with the server yet.
            loop.schedule(POLL_PERIOD, () -> loop.runNowAndEvery(POLL_PERIOD, () -> finishWhenAnswered(lastMoment)));
        });
    }

    /** Not before the last moment while a connection is open: what its client writes as the process ends would be lost. */
    private void finishWhenAnswered(Duration lastMoment) {
        if (backend.unansweredRequests() > 0 || !edge.hasFlushedAllResponses()) {
            return;
        }
        if (edge.hasNoConnections()) {
            finish();
        } else if (!idleHalfClosed && loop.clock().uptime().compareTo(lastMoment) >= 0) {
            // Ending the process with unread bytes would reset the connection and discard responses in transit.
            idleHalfClosed = true;
            log.write(LogEvent.info("idle-connections-half-closed").with("read_on_ms", HALF_CLOSED_READ.toMillis()));
            edge.closeIdleConnections();
            loop.schedule(HALF_CLOSED_READ, this::finish);
        }
    }

    private void finish() {
        if (finished) {
            return;
        }
        finished = true;
        Map<String, Long> differences = backend.shadowDifferences();
        if (!differences.isEmpty()) {
            LogEvent event = LogEvent.info("watched-settings-differences");
            for (Map.Entry<String, Long> setting : differences.entrySet()) {
                event = event.with(setting.getKey(), setting.getValue());
            }
            log.write(event);
        }
        log.info("shutdown-finished");
        loop.stop();
    }
}
