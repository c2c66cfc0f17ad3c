package merlinlever.cli;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import merlinlever.backend.agent.LineDecoder;
import merlinlever.common.json.Json;
import merlinlever.common.json.Json.MalformedJsonException;
import merlinlever.common.log.Log;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;

/**
 * Serves synthetic requests before the first real one, so that the JVM has loaded and compiled the code by then.
 * Otherwise many requests of the first seconds would fail on a fraction of a core. The warm-up has its own backend,
 * event loop, stub peers and in-memory connections, and shares no state with the real backend.
 */
final class WarmUp {

    private static final Duration MAX_TIME = Duration.ofMillis(2500);
    /**
     * Maximum time from the start of the JVM to the end of the warm-up; half of the time allowed for the whole startup.
     */
    private static final Duration MAX_STARTUP_TIME = Duration.ofSeconds(5);
    /**
     * Upper bound on the JVM's startup time before {@code main}, as a multiple of the program's time before the
     * warm-up.
     */
    private static final int JVM_TO_PROGRAM_RATIO = 1;

    private static final int MAX_REQUESTS = 1500;
    private static final int CLIENTS = 6;
    private static final int MAX_CALLS = 64;
    private static final Duration FIRST_REQUEST_DELAY = Duration.ofMillis(5);
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int MAX_QUEUED_BYTES = 8 * BUFFER_BYTES;
    private static final InetSocketAddress AGENT = new InetSocketAddress(1);
    private static final InetSocketAddress RECORDS = new InetSocketAddress(2);

    private final ControllerSettings settings;
    private final EventLoop loop;
    private int requests;

    /** Peer of an in-memory connection; ignores the end of the connection. */
    private abstract static class StubPeer implements Connection.InMemoryPeer {
        private Connection connection;

        @Override
        public void attach(Connection connected) {
            connection = connected;
        }

        void send(String text) {
            connection.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
        }

        @Override
        public void onClosed(CloseReason reason) {}
    }

    /** Completes each run at once, after one downstream call if there is a records service. */
    private static final class StubAgent extends StubPeer {
        private final LineDecoder lines = new LineDecoder(MAX_QUEUED_BYTES);
        private final boolean makesCalls;
        private int offset;

        StubAgent(boolean makesCalls) {
            this.makesCalls = makesCalls;
        }

        @Override
        public void onReceived(ByteBuffer in) {
            lines.decode(in, this::handleCommand);
        }

        private void handleCommand(String line) {
            Map<?, ?> command;
            try {
                command = Json.parseObject(line);
            } catch (MalformedJsonException e) {
                throw new IllegalStateException("the backend sent a malformed command", e);
            }
            String request =
                    "\",\"offset\":" + (offset + 1) + ",\"req\":\"" + command.get("req") + "\",\"payload\":\"AQID\"";
            switch (String.valueOf(command.get("cmd"))) {
                case "subscribe" -> send("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":1.5}\n");
                case "sample" -> send(
                        "{\"cmd\":\"sampled\",\"token\":\"" + command.get("token") + "\",\"load\":[0.1,0,0.1,9]}\n");
                case "launch" -> sendEvent(makesCalls ? "{\"cmd\":\"request" + request : outcome(request));
                case "deliver" -> sendEvent(outcome(request));
                default -> {}
            }
        }

        private static String outcome(String request) {
            return "{\"cmd\":\"outcome" + request + ",\"result\":\"OK\",\"elapsed_ms\":1.25";
        }

        private void sendEvent(String event) {
            offset++;
            send(event + "}\n");
        }
    }

    /** Replies to each call at once. */
    private static final class StubRecordsService extends StubPeer {
        private static final String LINE_END = "\r\n";

        @Override
        public void onReceived(ByteBuffer in) {
            String text = StandardCharsets.ISO_8859_1.decode(in.duplicate()).toString();
            int headEnd = text.indexOf(LINE_END);
            if (headEnd < 0) {
                return;
            }
            int bodyLength = Integer.parseInt(text.substring(text.lastIndexOf(' ', headEnd) + 1, headEnd));
            if (text.length() >= headEnd + LINE_END.length() + bodyLength + LINE_END.length()) {
                in.position(in.limit());
                int idStart = text.indexOf(' ') + 1;
                String requestId = text.substring(idStart, text.indexOf(' ', idStart));
                send(requestId + " DONE 3\r\nabc\r\n");
            }
        }
    }

    /** Sends one request at a time, cycling through the priority classes. */
    private final class StubEdgeClient extends StubPeer {
        @Override
        public void onReceived(ByteBuffer in) {
            // Each response arrives in one piece, and a client has one request in flight.
            in.position(in.limit());
            sendRequest();
        }

        void sendRequest() {
            if (requests++ >= MAX_REQUESTS) {
                loop.stop();
                return;
            }
            List<PriorityClassSettings> classes = settings.priorityClasses();
            PriorityClassSettings priorityClass = classes.get(requests % classes.size());
            String idempotencyKey =
                    priorityClass.isIdempotentByKey() ? "Req-Token: " + String.format("%032x", requests) + "\r\n" : "";
            send("POST /svc/" + priorityClass.name() + " HTTP/1.1\r\nHost: rehearsal\r\nReq-Id: "
                    + String.format("%016x", requests) + "\r\nReq-Time: " + System.currentTimeMillis()
                    + "\r\nReq-From: 1\r\nReq-Wait-Ms: 5000\r\nReq-Cost: 1.25\r\nReq-Kb: 1.5\r\nReq-Rank: 0.5000\r\n"
                    + idempotencyKey
                    + "Content-Length: 3\r\n\r\nabc");
        }
    }

    private WarmUp(ControllerSettings settings, boolean hasRecordsService) {
        this.settings = settings;
        loop = new EventLoop(
                MonotonicClock.system(),
                failure -> {},
                address -> address.equals(AGENT) ? new StubAgent(hasRecordsService) : new StubRecordsService());
        Log discardingLog = new Log(new PrintStream(OutputStream.nullOutputStream()), Instant::now);
        BackendAssembly assembly = new BackendAssembly(loop, settings, 1, AGENT, RECORDS, MAX_CALLS, discardingLog);
        for (int i = 0; i < CLIENTS; i++) {
            StubEdgeClient client = new StubEdgeClient();
            assembly.edge()
                    .addConnection(server -> Connection.inMemory(loop, server, client, BUFFER_BYTES, MAX_QUEUED_BYTES));
            loop.schedule(FIRST_REQUEST_DELAY, client::sendRequest);
        }
    }

    /**
     * Returns the time limit of the warm-up. A long startup indicates a slow processor, since the work before the
     * warm-up is the same on all machines; the limit is then shorter, or zero, so that the program is ready in time.
     *
     * @param elapsed time since the program started
     */
    static Duration timeLimit(Duration elapsed) {
        Duration left = MAX_STARTUP_TIME.minus(elapsed.multipliedBy(1 + JVM_TO_PROGRAM_RATIO));
        if (left.isNegative()) {
            return Duration.ZERO;
        }
        return left.compareTo(MAX_TIME) < 0 ? left : MAX_TIME;
    }

    /**
     * Serves synthetic requests up to the time limit or their maximum number, and returns the number of requests sent.
     */
    static int run(ControllerSettings settings, boolean hasRecordsService, Duration timeLimit) {
        if (timeLimit.isZero()) {
            return 0;
        }
        long startNanos = System.nanoTime();
        WarmUp warmUp = new WarmUp(settings, hasRecordsService);
        // The constructor loads most of the classes, which takes a second or more on a slow processor.
        warmUp.loop.schedule(timeLimit.minusNanos(System.nanoTime() - startNanos), warmUp.loop::stop);
        warmUp.loop.run();
        return Math.min(warmUp.requests, MAX_REQUESTS);
    }
}
