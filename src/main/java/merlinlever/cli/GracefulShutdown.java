package merlinlever.cli;

import java.time.Duration;
import java.util.Map;
import merlinlever.backend.Backend;
import merlinlever.backend.http.EdgeServer;
import merlinlever.common.log.Log;
import merlinlever.common.log.LogEvent;
import merlinlever.common.net.EventLoop;

/**
 * Shuts one backend down after SIGTERM: drains the backend, closes the listener at the end of the drain grace period,
 * waits for the responses to requests in flight, half-closes idle connections shortly before the stop time, and stops
 * the event loop. Runs on the event loop.
 */
final class GracefulShutdown {

    private static final Duration POLL_PERIOD = Duration.ofMillis(10);
    /** Time reserved before the stop time for writing the last responses. */
    private static final Duration WRITE_RESERVE = Duration.ofMillis(150);
    /**
     * Time for which half-closed connections are still read, for requests in transit; shorter than
     * {@link #WRITE_RESERVE}.
     */
    private static final Duration HALF_CLOSED_READ_TIME = Duration.ofMillis(60);
    /** Maximum time from the signal to its handling on the event loop; the grace period counts from the signal. */
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
     * Creates a shutdown that begins with {@link #start}.
     *
     * @param stopAfter time from the signal to the end of the process
     * @param drainGrace time from the signal during which new requests are accepted
     */
    GracefulShutdown(EventLoop loop, BackendAssembly assembly, Duration stopAfter, Duration drainGrace, Log log) {
        this.loop = loop;
        this.backend = assembly.backend();
        this.edge = assembly.edge();
        this.timeToStop = stopAfter.minus(WRITE_RESERVE);
        this.drainGrace = drainGrace;
        this.log = log;
    }

    /** Starts the drain. */
    void start() {
        Duration now = loop.clock().now();
        backend.startDrain(now.minus(SIGNAL_DELAY), now.plus(timeToStop));
        // New requests are started only within the grace period.
        Duration listenTime = drainGrace.compareTo(timeToStop) < 0 ? drainGrace : timeToStop;
        loop.schedule(listenTime, () -> {
            edge.close();
            Duration halfCloseTime = loop.clock().uptime().plus(timeToStop.minus(listenTime));
            // Starts in a later iteration of the loop: the server does not yet have a connection accepted in this one.
            loop.schedule(POLL_PERIOD, () -> loop.runNowAndEvery(POLL_PERIOD, () -> finishWhenAnswered(halfCloseTime)));
        });
    }

    /**
     * Finishes once all responses are flushed. Waits until the half-close time while connections are open, since
     * requests that clients write when the process ends would be lost.
     */
    private void finishWhenAnswered(Duration halfCloseTime) {
        if (backend.unansweredRequests() > 0 || !edge.hasFlushedAllResponses()) {
            return;
        }
        if (edge.hasNoConnections()) {
            finish();
        } else if (!idleHalfClosed && loop.clock().uptime().compareTo(halfCloseTime) >= 0) {
            // If the process ended with unread bytes, the connection would be reset and responses in transit discarded.
            idleHalfClosed = true;
            log.write(
                    LogEvent.info("idle-connections-half-closed").with("read_on_ms", HALF_CLOSED_READ_TIME.toMillis()));
            edge.closeIdleConnections();
            loop.schedule(HALF_CLOSED_READ_TIME, this::finish);
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
