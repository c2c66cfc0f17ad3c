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
 * The link to the agent. It keeps one connection, reconnects with exponential backoff, and resumes the agent's event log
 * after the last sequence number read ({@code offset} on the wire), so that each event counts once and in order. After a
 * change of the address, the present connection is used until the agent has greeted on the new one. All methods are
 * called on the event loop's thread.
 */
public final class AgentLink {

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(20);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(500);
    private static final Duration LIVENESS_CHECK_INTERVAL = Duration.ofMillis(500);
    private static final int MAX_UNANSWERED_CHECKS = 6;

    private final EventLoop loop;
    private final Backend backend;
    private final Log log;
    private final SampleTracker samples = new SampleTracker();
    private final DeepHealthCheck deepCheck;
    private final EventHandler events = new EventHandler();
    private final AgentConnection.Listener connectionListener = new ConnectionListener();
    private InetSocketAddress address;
    /** The greeted connection, which commands are sent on; null while there is none. */
    private AgentConnection active;
    /** The connection that is being made and replaces the active one with its greeting; null while there is none. */
    private AgentConnection pending;

    private EventLoop.Timer reconnectTimer;
    private Duration backoff = INITIAL_BACKOFF;
    private long lastOffset;
    private long tokensIssued;
    private int unansweredChecks;

    /** Does nothing before {@link #start}. */
    public AgentLink(EventLoop loop, InetSocketAddress address, Backend backend, Log log) {
        this.loop = loop;
        this.address = address;
        this.backend = backend;
        this.log = log;
        deepCheck = new DeepHealthCheck(loop, backend::deepCheckCompleted);
    }

    // ---- the connection

    /** Connects, and checks the liveness of the connection from now on. */
    public void start() {
        connect();
        loop.runNowAndEvery(LIVENESS_CHECK_INTERVAL, this::checkLiveness);
    }

    /** Connects to the agent at the address from now on; the present connection is used until the new one is greeted. */
    public void setAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        backoff = INITIAL_BACKOFF;
        AgentConnection stale = pending;
        pending = null;
        if (stale != null) {
            stale.close(CloseReason.COMPLETED);
        }
        connect();
    }

    /** Closes a connection on which polls stay unanswered; a pause of this process counts as one check only. */
    private void checkLiveness() {
        // Until it has started, the agent may take any time for its greeting.
        boolean awaitsAnswer = pending != null ? backend.isStarted() : active != null && samples.isGaugesPending();
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
        // The active connection can be lost while the next attempt is scheduled already.
        cancelReconnect();
        reconnectTimer = loop.schedule(backoff, this::connect);
        Duration doubled = backoff.multipliedBy(2);
        backoff = doubled.compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : doubled;
    }

    private void cancelReconnect() {
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
            reconnectTimer = null;
        }
    }

    // ---- events

    /** Handles the events of the connections. */
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
                    event.dispatch(source, events);
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
                backend.agentLinkLost(samples.confirmedUntil());
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

    /** Advances in the agent's event log; false for an event that was read before. */
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

    /** Handles each kind of event of the agent. */
    private final class EventHandler implements AgentEvent.Handler {

        private static final int MAX_RESULT_BYTES = 4096;

        @Override
        public void onGreeting(AgentConnection source, AgentEvent.Greeting event) {
            if (source == pending) {
                activatePending();
                if (backend.isStarted()) {
                    resume();
                } else {
                    begin(event);
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
        public void onSampled(AgentEvent.Sampled event) {
            switch (samples.answered(event.token())) {
                case CATCH_UP -> backend.agentEventsCaughtUp(loop.clock().now());
                case GAUGES -> {
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
                // Written so that NaN is out of range.
                if (!(gauge >= 0 && gauge <= Double.MAX_VALUE)) {
                    return false;
                }
            }
            return true;
        }

        @Override
        public void onExercised(AgentEvent.Exercised event) {
            deepCheck.answered(event.token(), event.succeeded());
        }

        @Override
        public void onCommandRefused(AgentEvent.CommandRefused event) {
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

    /** The pending connection has been greeted and takes the place of the active one. */
    private void activatePending() {
        AgentConnection replaced = active;
        active = pending;
        pending = null;
        samples.dropGauges();
        unansweredChecks = 0;
        backoff = INITIAL_BACKOFF;
        Duration connectedAt = active.connectedAt();
        if (replaced != null) {
            // The agent gave it up at some time after the new one was made.
            Duration confirmed = samples.confirmedUntil();
            backend.agentLinkLost(confirmed.compareTo(connectedAt) < 0 ? confirmed : connectedAt);
            replaced.close(CloseReason.COMPLETED);
        }
        samples.setConfirmedUntil(connectedAt);
    }

    /** The agent has greeted for the first time: the clock counts from its start. */
    private void begin(AgentEvent.Greeting greeting) {
        loop.clock().setOriginAgo(Durations.ofMillis(greeting.elapsedMs()));
        samples.setConfirmedUntil(loop.clock().now());
        log.write(LogEvent.info("agent-up")
                .with("mode", greeting.startMode())
                .with("started_ms_ago", greeting.elapsedMs()));
        backend.agentStarted(loop.clock().now(), greeting.isCold());
    }

    /** The agent has greeted again: commands in doubt are resolved once all events of the time between have been read. */
    private void resume() {
        log.info("agent-link-restored");
        backend.agentLinkRestored(loop.clock().now());
        String token = nextToken("up");
        samples.expectCatchUp(token, loop.clock().now());
        active.send(AgentCommands.pollMetrics(token));
        deepCheck.openToken().ifPresent(open -> active.send(AgentCommands.deepHealthCheck(open)));
    }

    private String nextToken(String prefix) {
        return prefix + tokensIssued++;
    }

    // ---- commands; without a connection they are lost, and the backend sends again what matters

    /** Starts the run of a request. */
    public void launch(TrackedRequest request) {
        if (active != null) {
            active.send(AgentCommands.launch(request));
        }
    }

    /** Stops the run of a request. */
    public void stopRun(TrackedRequest request) {
        if (active != null) {
            active.send(AgentCommands.stopRun(request));
        }
    }

    /** Delivers the reply of a run's downstream call. */
    public void deliverReply(TrackedRequest request, byte[] reply) {
        if (active != null) {
            active.send(AgentCommands.deliverReply(request, reply));
        }
    }

    /** Lets a run continue without its downstream call. */
    public void continueWithoutCall(TrackedRequest request) {
        if (active != null) {
            active.send(AgentCommands.continueWithoutCall(request));
        }
    }

    /** Polls the agent's metrics unless a poll is in flight or there is no connection; returns whether it did. */
    public boolean pollMetrics() {
        if (active == null || samples.isGaugesPending()) {
            return false;
        }
        String token = nextToken("s");
        samples.expectGauges(token, loop.clock().now());
        active.send(AgentCommands.pollMetrics(token));
        return true;
    }

    /**
     * Asks for the work of a deep health check, one at a time; {@link Backend#deepCheckCompleted} gets the verdict.
     * Without a connection it is asked for once there is one, within the time limit.
     */
    public void startDeepCheck() {
        String token = nextToken("x");
        deepCheck.open(token);
        if (active != null) {
            active.send(AgentCommands.deepHealthCheck(token));
        }
    }
}
