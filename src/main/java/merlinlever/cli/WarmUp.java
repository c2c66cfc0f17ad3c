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
 * Serves synthetic requests before the first real one, with a backend, an event loop and stub peers of its own and connections in
 * memory, so that the runtime has loaded and compiled the code that serves: on part of a core the first seconds of cold code would
 * fail many of the requests that arrive in them. The backend that is served later shares no state with it.
 */
final class WarmUp {

    private static final Duration MAX_TIME = Duration.ofMillis(2500);
    /** From the start of the runtime; with what the first responses take the program is ready in twice that. */
    private static final Duration READY_AFTER = Duration.ofSeconds(5);
    /** How much longer than the program up to here its runtime took before it, at the most: a little under once. */
    private static final int RUNTIME_TO_PROGRAM_RATIO = 1;

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

    /** The other end of a connection in memory, which does not mind how the connection ends. */
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

    /** Runs each request at once, with one downstream call where there is a records service. */
    private static final class StubAgent extends StubPeer {
        private final LineDecoder lines = new LineDecoder(MAX_QUEUED_BYTES);
        private final boolean makesCalls;
        private int offset;

        StubAgent(boolean makesCalls) {
            this.makesCalls = makesCalls;
        }

        @Override
        public void onReceived(ByteBuffer in) {
            lines.decode(in, this::command);
        }

        private void command(String line) {
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

    /** Answers each call at once. */
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

    /** Sends one request after the other, through the priority classes in turn. */
    private final class StubEdgeClient extends StubPeer {
        @Override
        public void onReceived(ByteBuffer in) {
            // Responses arrive whole, and a client has one request in flight.
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
        Log discarded = new Log(new PrintStream(OutputStream.nullOutputStream()), Instant::now);
        BackendAssembly assembly = new BackendAssembly(loop, settings, 1, AGENT, RECORDS, MAX_CALLS, discarded);
        for (int i = 0; i < CLIENTS; i++) {
            StubEdgeClient client = new StubEdgeClient();
            assembly.edge()
                    .addConnection(server -> Connection.inMemory(loop, server, client, BUFFER_BYTES, MAX_QUEUED_BYTES));
            loop.schedule(FIRST_REQUEST_DELAY, client::sendRequest);
        }
    }

    /**
     * How long the warm-up may take. What the program did up to here is the same work on any machine, so where it took long the
     * processor is slow, and the warm-up is shortened or left out for the program to be ready in time.
     *
     * @param timeSoFar since the program started
     */
    static Duration timeLimit(Duration timeSoFar) {
        Duration left = READY_AFTER.minus(timeSoFar.multipliedBy(1 + RUNTIME_TO_PROGRAM_RATIO));
        if (left.isNegative()) {
            return Duration.ZERO;
        }
        return left.compareTo(MAX_TIME) < 0 ? left : MAX_TIME;
    }

    /** Serves synthetic requests until the limit of time or of their number, and returns how many were sent. */
    static int run(ControllerSettings settings, boolean hasRecordsService, Duration timeLimit) {
        if (timeLimit.isZero()) {
            return 0;
        }
        long startNanos = System.nanoTime();
        WarmUp warmUp = new WarmUp(settings, hasRecordsService);
        // The construction loads most of the classes: on a slow processor that alone takes a second or more.
        warmUp.loop.schedule(timeLimit.minusNanos(System.nanoTime() - startNanos), warmUp.loop::stop);
        warmUp.loop.run();
        return Math.min(warmUp.requests, MAX_REQUESTS);
    }
}
