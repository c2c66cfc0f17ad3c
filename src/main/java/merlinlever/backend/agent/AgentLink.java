package merlinlever.backend.agent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import merlinlever.backend.Backend;
import merlinlever.backend.TrackedRequest;
import merlinlever.common.Durations;
import merlinlever.common.json.Json;
import merlinlever.common.log.Log;
import merlinlever.common.log.LogEvent;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.EventLoop;
import merlinlever.controller.Outcome;

/**
 * The link to the agent. Maintains a connection, reconnects with exponential backoff, and resumes the agent's event log
 * after the last sequence number read ({@code offset} on the wire), so that each event is processed once and in order.
 * After an address change, the active connection remains in use until the agent has sent its greeting on the new one.
 * All methods must be called on the event loop's thread.
 */
public final class AgentLink {

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(20);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(500);
    private static final Duration LIVENESS_CHECK_INTERVAL = Duration.ofMillis(500);
    private static final int MAX_UNANSWERED_CHECKS = 6;

    private final EventLoop loop;
    private final Backend backend;
    private final Log log;
    private final MetricsPollTracker polls = new MetricsPollTracker();
    private final DeepHealthCheck deepCheck;
    private final EventHandler eventHandler = new EventHandler();
    private final AgentConnection.Listener connectionListener = new ConnectionListener();
    private InetSocketAddress address;
    /** The connection on which the agent has sent its greeting, used for commands; null while disconnected. */
    private AgentConnection active;
    /** The connection that becomes the active one when the agent sends its greeting; null if there is none. */
    private AgentConnection pending;

    private EventLoop.Timer reconnectTimer;
    private Duration backoff = INITIAL_BACKOFF;
    private long lastOffset;
    private long tokensIssued;
    private int unansweredChecks;

    /** Creates a link that does not connect before {@link #start}. */
    public AgentLink(EventLoop loop, InetSocketAddress address, Backend backend, Log log) {
        this.loop = loop;
        this.address = address;
        this.backend = backend;
        this.log = log;
        deepCheck = new DeepHealthCheck(loop, backend::deepCheckCompleted);
    }

    // ---- connection management

    /** Connects to the agent and starts the periodic liveness checks. */
    public void start() {
        connect();
        loop.runNowAndEvery(LIVENESS_CHECK_INTERVAL, this::checkLiveness);
    }

    /** Switches to a new address; the active connection remains in use until the new one has received its greeting. */
    public void setAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        backoff = INITIAL_BACKOFF;
        AgentConnection previousPending = pending;
        pending = null;
        if (previousPending != null) {
            previousPending.close(CloseReason.COMPLETED);
        }
        connect();
    }

    /** Closes a connection without an answer for several checks; a pause of this process counts as a single check. */
    private void checkLiveness() {
        // Before the backend has started, there is no time limit for the greeting: the agent may still be starting.
        boolean awaitsAnswer = pending != null ? backend.isStarted() : active != null && polls.isMetricsPollPending();
        unansweredChecks = awaitsAnswer ? unansweredChecks + 1 : 0;
        if (unansweredChecks >= MAX_UNANSWERED_CHECKS) {
            unansweredChecks = 0;
            (pending != null ? pending : active).close(CloseReason.TIMED_OUT);
        }
    }

    private void connect() {
        cancelReconnect();
        unansweredChecks = 0;
        try {
            pending = AgentConnection.connect(loop, address, connectionListener, log);
        } catch (IOException e) {
            log.error("agent-connect-failed", e);
            scheduleReconnect();
        }
    }

    private void scheduleReconnect() {
        // A reconnect may already be scheduled when the active connection is lost.
        cancelReconnect();
        reconnectTimer = loop.schedule(backoff, this::connect);
        Duration nextBackoff = backoff.multipliedBy(2);
        backoff = nextBackoff.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : nextBackoff;
    }

    private void cancelReconnect() {
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
            reconnectTimer = null;
        }
    }

    // ---- events

    /** Handles lines from, and the close of, the active and the pending connection. */
    private final class ConnectionListener implements AgentConnection.Listener {

        @Override
        public long lastOffset() {
            return lastOffset;
        }

        @Override
        public void onLine(AgentConnection source, String line) {
            boolean isCurrent = source == active || source == pending;
            if (!isCurrent || line.isBlank()) {
                return;
            }
            try {
                AgentEvent event = AgentEvent.parse(line);
                if (advanceTo(event.offset())) {
                    event.dispatch(source, eventHandler);
                }
            } catch (Json.MalformedJsonException e) {
                log.warn("agent-line-ignored reason=malformed detail=" + e.getMessage());
            }
        }

        @Override
        public void onClosed(AgentConnection source, CloseReason reason) {
            if (source == active) {
                log.write(
                        LogEvent.warn("agent-link-lost").with("reason", reason).with("last_offset", lastOffset));
                active = null;
                backend.agentLinkLost(polls.confirmedUntil());
            } else if (source == pending) {
                pending = null;
            } else {
                return;
            }
            if (pending == null) {
                scheduleReconnect();
            }
        }
    }

    /** Advances the position in the agent's event log. Returns false if the event has already been read. */
    private boolean advanceTo(long offset) {
        if (offset == 0) {
            return true;
        }
        if (offset <= lastOffset) {
            return false;
        }
        if (offset > lastOffset + 1) {
            log.write(LogEvent.warn("agent-events-missed")
                    .with("first", lastOffset + 1)
                    .with("last", offset - 1));
            backend.agentEventsLost(loop.clock().now());
        }
        lastOffset = offset;
        return true;
    }

    /** Handles the agent's events. */
    private final class EventHandler implements AgentEvent.Handler {

        private static final int MAX_RESULT_BYTES = 4096;

        @Override
        public void onGreeting(AgentConnection source, AgentEvent.Greeting event) {
            if (source == pending) {
                activatePending();
                if (backend.isStarted()) {
                    handleReconnect();
                } else {
                    handleFirstGreeting(event);
                }
            }
        }

        @Override
        public void onRunEnded(AgentEvent.RunEnded event) {
            backend.runEnded(loop.clock().now(), event.requestId(), checkedOutcome(event), event.result());
        }

        private Outcome checkedOutcome(AgentEvent.RunEnded event) {
            Optional<Outcome> outcome = event.outcome();
            if (outcome.isEmpty()) {
                log.write(LogEvent.warn("agent-outcome-missing").with("request", Long.toHexString(event.requestId())));
                return Outcome.ERROR;
            }
            int resultBytes = event.result().length;
            if (outcome.get() == Outcome.OK && resultBytes > MAX_RESULT_BYTES) {
                log.write(LogEvent.warn("agent-result-dropped")
                        .with("request", Long.toHexString(event.requestId()))
                        .with("bytes", resultBytes)
                        .with("max_bytes", MAX_RESULT_BYTES));
                return Outcome.ERROR;
            }
            return outcome.get();
        }

        @Override
        public void onCallRequested(AgentEvent.CallRequested event) {
            backend.callNeeded(loop.clock().now(), event.requestId(), event.body());
        }

        @Override
        public void onMetricsReported(AgentEvent.MetricsReported event) {
            switch (polls.matchAnswer(event.token())) {
                case CATCH_UP -> backend.agentEventsCaughtUp(loop.clock().now());
                case METRICS -> {
                    unansweredChecks = 0;
                    if (areInRange(event.gauges())) {
                        backend.metricsReceived(loop.clock().now(), event.gauges());
                    } else {
                        log.write(LogEvent.warn("agent-gauges-ignored").with("reason", "out-of-range"));
                    }
                }
                case UNEXPECTED -> log.write(
                        LogEvent.warn("agent-gauges-ignored").with("reason", "not-requested"));
            }
        }

        private static boolean areInRange(double[] gauges) {
            for (double gauge : gauges) {
                // The negated comparison also rejects NaN.
                if (!(gauge >= 0 && gauge <= Double.MAX_VALUE)) {
                    return false;
                }
            }
            return true;
        }

        @Override
        public void onDeepCheckCompleted(AgentEvent.DeepCheckCompleted event) {
            deepCheck.complete(event.token(), event.succeeded());
        }

        @Override
        public void onCommandRejected(AgentEvent.CommandRejected event) {
            log.write(LogEvent.warn("agent-command-refused")
                    .with("command", event.command())
                    .with("request", Long.toHexString(event.requestId())));
            if ("launch".equals(event.command())) {
                backend.runEnded(loop.clock().now(), event.requestId(), Outcome.NOT_STARTED, null);
            }
        }

        @Override
        public void onUnknown(AgentEvent.Unknown event) {
            log.write(LogEvent.warn("agent-event-unknown").with("kind", event.kind()));
        }
    }

    /** Makes the pending connection the active one, after the agent has sent its greeting. */
    private void activatePending() {
        AgentConnection previousActive = active;
        active = pending;
        pending = null;
        polls.discardMetricsPoll();
        unansweredChecks = 0;
        backoff = INITIAL_BACKOFF;
        Duration connectedAt = active.connectedAt();
        if (previousActive != null) {
            // The agent stopped reading the previous connection at some time after the new one was established.
            Duration confirmedUntil = polls.confirmedUntil();
            backend.agentLinkLost(confirmedUntil.compareTo(connectedAt) < 0 ? confirmedUntil : connectedAt);
            previousActive.close(CloseReason.COMPLETED);
        }
        polls.setConfirmedUntil(connectedAt);
    }

    /** Handles the first greeting: sets the origin of the clock to the start of the agent. */
    private void handleFirstGreeting(AgentEvent.Greeting greeting) {
        loop.clock().setOriginAgo(Durations.ofMillis(greeting.elapsedMs()));
        polls.setConfirmedUntil(loop.clock().now());
        log.write(LogEvent.info("agent-up")
                .with("mode", greeting.startMode())
                .with("started_ms_ago", greeting.elapsedMs()));
        backend.agentStarted(loop.clock().now(), greeting.isCold());
    }

    /** Handles a later greeting: sends a catch-up poll, after which the backend handles commands in doubt. */
    private void handleReconnect() {
        log.info("agent-link-restored");
        backend.agentLinkRestored(loop.clock().now());
        String token = nextToken("up");
        polls.recordCatchUpPoll(token, loop.clock().now());
        active.send(AgentCommands.pollMetrics(token));
        deepCheck.pendingToken().ifPresent(pendingToken -> active.send(AgentCommands.deepHealthCheck(pendingToken)));
    }

    private String nextToken(String prefix) {
        return prefix + tokensIssued++;
    }

    // ---- commands; a command issued while disconnected is dropped, and the backend sends required commands again

    /** Tells the agent to start the run of the request. */
    public void launch(TrackedRequest request) {
        if (active != null) {
            active.send(AgentCommands.launch(request));
        }
    }

    /** Tells the agent to stop the run of the request. */
    public void stopRun(TrackedRequest request) {
        if (active != null) {
            active.send(AgentCommands.stopRun(request));
        }
    }

    /** Sends the agent the reply to the downstream call that the request's run waits for. */
    public void deliverReply(TrackedRequest request, byte[] reply) {
        if (active != null) {
            active.send(AgentCommands.deliverReply(request, reply));
        }
    }

    /** Tells the agent to let the request's run continue without its downstream call. */
    public void continueWithoutCall(TrackedRequest request) {
        if (active != null) {
            active.send(AgentCommands.continueWithoutCall(request));
        }
    }

    /** Polls the agent's metrics unless a poll is in flight or the link is down; returns whether a poll was sent. */
    public boolean pollMetrics() {
        if (active == null || polls.isMetricsPollPending()) {
            return false;
        }
        String token = nextToken("s");
        polls.recordMetricsPoll(token, loop.clock().now());
        active.send(AgentCommands.pollMetrics(token));
        return true;
    }

    /**
     * Starts a deep health check and reports the result to {@link Backend#deepCheckCompleted}. Only one check may be
     * pending at a time. If the link is down, the command is sent after the reconnect, unless the check has timed out.
     */
    public void startDeepCheck() {
        String token = nextToken("x");
        deepCheck.start(token);
        if (active != null) {
            active.send(AgentCommands.deepHealthCheck(token));
        }
    }
}
