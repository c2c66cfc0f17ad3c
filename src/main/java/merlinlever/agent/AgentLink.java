package merlinlever.agent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Base64;
import merlinlever.Outcome;
import merlinlever.core.Backend;
import merlinlever.core.TrackedRequest;
import merlinlever.json.Json;
import merlinlever.log.Log;
import merlinlever.net.CloseReason;
import merlinlever.net.Connection;
import merlinlever.net.EventLoop;

/** The link to the agent: made again when it is lost, with each notice taken once and in its order. */
public final class AgentLink {

    private static final int MAX_LINE_BYTES = 64 * 1024;
    private static final int MAX_QUEUED_BYTES = 8 * 1024 * 1024;
    private static final int MAX_RESULT_BYTES = 4096;
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(20);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(500);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LIVENESS_CHECK_INTERVAL = Duration.ofMillis(500);
    private static final int MAX_UNANSWERED_CHECKS = 6;
    private static final Duration HEALTH_EXERCISE_TIMEOUT = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final Backend backend;
    private final Log log;
    private InetSocketAddress address;
    /** The greeted one that commands go over, or null. */
    private Session active;
    /** The one that is being made and takes its place with the greeting, or null. */
    private Session pending;

    private EventLoop.Timer reconnectTimer;
    private Duration backoff = INITIAL_BACKOFF;
    private long lastOffset, tokens;
    /** What is asked on the link in use and not answered yet, or null: for the gauges, and whether all notices are read. */
    private PendingSample gauges, caughtUp;

    private String exercise;
    private EventLoop.Timer exerciseLimit;
    /** The link in use stood then, and took what had been sent before: a question that was asked then has its answer. */
    private Duration stood = Duration.ZERO;

    private int unanswered;

    private record PendingSample(String token, Duration at) {
        boolean answeredBy(AgentEvent notice) {
            return token.equals(notice.token());
        }
    }

    /** One connection; what comes on one that is neither in use nor coming is passed over. */
    private final class Session implements Connection.Handler {
        private final LineDecoder lines = new LineDecoder(MAX_LINE_BYTES);
        private Connection connection;
        private Duration madeAt;

        @Override
        public void onConnected() {
            madeAt = loop.clock().now();
            send("{\"cmd\":\"subscribe\",\"offset\":" + lastOffset + "}\n");
        }

        @Override
        public void onReceived(ByteBuffer in) {
            if (!lines.decode(in, this::line)) {
                // On a new link it would come again.
                log.warn("passed over a line of the agent that is too long");
                lines.skipLine(in);
            }
        }

        private void line(String line) {
            if (this == active || this == pending) {
                AgentLink.this.line(this, line);
            }
        }

        @Override
        public void onClosed(CloseReason how) {
            if (this == active) {
                log.warn("link to the agent lost: " + how + ", last notice " + lastOffset);
                active = null;
                backend.agentLinkLost(stood);
            } else if (this == pending) {
                pending = null;
            } else {
                return;
            }
            if (pending == null) {
                scheduleReconnect();
            }
        }

        private void send(String line) {
            connection.write(ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8)));
        }
    }

    public AgentLink(EventLoop loop, InetSocketAddress address, Backend backend, Log log) {
        this.loop = loop;
        this.address = address;
        this.backend = backend;
        this.log = log;
    }

    public void start() {
        connect();
        loop.runNowAndEvery(LIVENESS_CHECK_INTERVAL, this::checkLiveness);
    }

    /** The agent is to be reached there from now on; the link in use stays until the new one is greeted. */
    public void setAddress(InetSocketAddress there) {
        if (there.equals(address)) {
            return;
        }
        address = there;
        backoff = INITIAL_BACKOFF;
        Session stale = pending;
        pending = null;
        if (stale != null) {
            stale.connection.close(CloseReason.COMPLETED);
        }
        connect();
    }

    /** A link on which questions stay unanswered for so many checks is made anew; a stall of ours is one check. */
    private void checkLiveness() {
        // Before it is up the agent may take as long for its greeting as it likes.
        boolean waits = pending != null ? backend.isStarted() : active != null && gauges != null;
        unanswered = waits ? unanswered + 1 : 0;
        if (unanswered >= MAX_UNANSWERED_CHECKS) {
            unanswered = 0;
            (pending != null ? pending : active).connection.close(CloseReason.TIMED_OUT);
        }
    }

    private void connect() {
        if (reconnectTimer != null) {
            reconnectTimer.cancel();
            reconnectTimer = null;
        }
        unanswered = 0;
        Session made = new Session();
        try {
            made.connection = Connection.connect(loop, address, made, MAX_LINE_BYTES, MAX_QUEUED_BYTES, CONNECT_TIMEOUT);
            pending = made;
        } catch (IOException e) {
            log.error("no channel for the link to the agent", e);
            scheduleReconnect();
        }
    }

    private void scheduleReconnect() {
        if (reconnectTimer != null) {
            // A link can be lost while one to take its place is about to be made.
            reconnectTimer.cancel();
        }
        reconnectTimer = loop.schedule(backoff, this::connect);
        backoff = backoff.multipliedBy(2).compareTo(MAX_BACKOFF) > 0 ? MAX_BACKOFF : backoff.multipliedBy(2);
    }

    private void line(Session from, String line) {
        if (line.isBlank()) {
            return;
        }
        try {
            notice(from, AgentEvent.parse(line));
        } catch (Json.MalformedJsonException e) {
            log.warn("passed over a line of the agent: " + e.getMessage());
        }
    }

    private void notice(Session from, AgentEvent notice) {
        if (notice.offset() > 0) {
            if (notice.offset() <= lastOffset) {
                return;
            }
            if (notice.offset() > lastOffset + 1) {
                log.warn("notices " + (lastOffset + 1) + " to " + (notice.offset() - 1) + " were missed");
                backend.agentEventsLost(loop.clock().now());
            }
            lastOffset = notice.offset();
        }
        switch (notice.word() == null ? "" : notice.word()) {
            case "greeting" -> {
                if (from == pending) {
                    greeted(notice);
                }
            }
            case "outcome" -> outcome(notice);
            case "request" -> backend.callNeeded(loop.clock().now(), notice.id(), notice.payload());
            case "sampled" -> sampled(notice);
            case "exercised" -> {
                if (notice.token() != null && notice.token().equals(exercise)) {
                    exerciseOver();
                    backend.deepCheckCompleted(notice.ending() == Outcome.OK);
                }
            }
            case "refusal" -> {
                log.warn("the agent would not " + notice.text() + " " + Long.toHexString(notice.id()));
                if ("launch".equals(notice.text())) {
                    backend.runEnded(loop.clock().now(), notice.id(), Outcome.NOT_STARTED, null);
                }
            }
            case "aside" -> {}
            default -> log.warn("unknown word of the agent: " + notice.word());
        }
    }

    private void greeted(AgentEvent notice) {
        Session before = active;
        active = pending;
        pending = null;
        gauges = null;
        unanswered = 0;
        backoff = INITIAL_BACKOFF;
        if (before != null) {
            // It was replaced at some time after the new one had been made.
            backend.agentLinkLost(stood.compareTo(active.madeAt) < 0 ? stood : active.madeAt);
            before.connection.close(CloseReason.COMPLETED);
        }
        stood = active.madeAt;
        if (!backend.isStarted()) {
            loop.clock().setOriginAgo(Duration.ofNanos((long) (notice.elapsedMs() * 1e6)));
            stood = loop.clock().now();
            log.info("the agent is up: " + notice.text() + ", started " + notice.elapsedMs() + " ms ago");
            backend.agentStarted(loop.clock().now(), "COLD".equals(notice.text()));
            return;
        }
        log.info("link to the agent is back");
        backend.agentLinkRestored(loop.clock().now());
        caughtUp = ask("up");
        if (exercise != null) {
            askToExercise();
        }
    }

    private void outcome(AgentEvent notice) {
        Outcome how = notice.ending();
        if (how == null) {
            log.warn("an outcome without a result");
            how = Outcome.ERROR;
        }
        if (how == Outcome.OK && notice.payload().length > MAX_RESULT_BYTES) {
            log.warn("a result of " + notice.payload().length + " bytes is not passed on");
            how = Outcome.ERROR;
        }
        backend.runEnded(loop.clock().now(), notice.id(), how, notice.payload());
    }

    private void sampled(AgentEvent notice) {
        if (caughtUp != null && caughtUp.answeredBy(notice)) {
            stood = caughtUp.at;
            caughtUp = null;
            backend.agentEventsCaughtUp(loop.clock().now());
        } else if (gauges != null && gauges.answeredBy(notice)) {
            stood = gauges.at;
            gauges = null;
            unanswered = 0;
            if (Arrays.stream(notice.row()).allMatch(gauge -> gauge >= 0 && gauge <= Double.MAX_VALUE)) {
                backend.metricsReceived(loop.clock().now(), notice.row());
            } else {
                log.warn("passed over gauges that are out of range");
            }
        } else {
            log.warn("passed over gauges that were not asked for");
        }
    }

    private PendingSample ask(String kind) {
        PendingSample question = new PendingSample(kind + tokens++, loop.clock().now());
        active.send("{\"cmd\":\"sample\",\"token\":\"" + question.token + "\"}\n");
        return question;
    }

    private void exerciseOver() {
        exercise = null;
        if (exerciseLimit != null) {
            exerciseLimit.cancel();
            exerciseLimit = null;
        }
    }

    // ---- commands; without a link they are lost, and the backend sends again what matters

    private void command(String word, TrackedRequest work, String rest) {
        if (active != null) {
            active.send("{\"cmd\":\"" + word + "\",\"req\":\"" + work.idText() + "\"" + rest + "}\n");
        }
    }

    private static String payload(byte[] bytes) {
        return ",\"payload\":\"" + Base64.getEncoder().encodeToString(bytes) + "\"";
    }

    public void launch(TrackedRequest work) {
        command("launch", work, ",\"method\":" + Json.quoted(work.priorityClassName()) + payload(work.body()));
    }

    public void freeze(TrackedRequest work) {
        command("freeze", work, "");
    }

    public void deliver(TrackedRequest work, byte[] reply) {
        command("deliver", work, payload(reply));
    }

    public void forgo(TrackedRequest work) {
        command("forgo", work, "");
    }

    /** One at a time. */
    public boolean sample() {
        boolean asks = active != null && gauges == null;
        if (asks) {
            gauges = ask("s");
        }
        return asks;
    }

    /** One at a time too; without a link it is asked for once there is one, if that is soon. */
    public void requestHealthExercise() {
        exercise = "x" + tokens++;
        exerciseLimit = loop.schedule(HEALTH_EXERCISE_TIMEOUT, () -> {
            exerciseOver();
            backend.deepCheckCompleted(false);
        });
        if (active != null) {
            askToExercise();
        }
    }

    private void askToExercise() {
        active.send("{\"cmd\":\"exercise\",\"token\":\"" + exercise + "\"}\n");
    }
}
