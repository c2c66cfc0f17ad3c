package merlinlever.backend.agent;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.backend.Backend;
import merlinlever.backend.BackendDependencies;
import merlinlever.backend.DownstreamService;
import merlinlever.backend.RecordingResponseSink;
import merlinlever.backend.RequestMetadata.RequestId;
import merlinlever.backend.RequestMetadata.Timing;
import merlinlever.backend.ResponseSink;
import merlinlever.backend.TestRequests;
import merlinlever.backend.TrackedRequest;
import merlinlever.common.json.Json;
import merlinlever.common.log.Log;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.ManualClockLoop;
import merlinlever.controller.Outcome;
import merlinlever.controller.settings.BackpressureSignal;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.DeploymentProfile;
import merlinlever.controller.settings.DownstreamKind;
import merlinlever.controller.settings.Gauge;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.controller.settings.RequestSemantics;
import merlinlever.controller.settings.RunStopping;

/** A real backend with a real link to an agent that the test plays; downstream calls and responses are recorded. */
final class AgentLinkFixture implements BackendDependencies, DownstreamService, AutoCloseable {

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final ControllerSettings SETTINGS = ControllerSettings.builder()
            .cores(64)
            .memoryKb(200_000)
            .runMemoryFactor(4)
            .gauges(List.of(Gauge.RUN_QUEUE))
            .deployment(new DeploymentProfile(DownstreamKind.NONE, RunStopping.DROP, false, BackpressureSignal.NONE))
            .overloadFactor(8)
            .drainGrace(Duration.ofMillis(500))
            .addPriorityClass(PriorityClassSettings.named("look")
                    .semantics(RequestSemantics.IDEMPOTENT)
                    .latencyObjective(Duration.ofSeconds(50))
                    .clientTimeout(Duration.ofSeconds(100)))
            .build();

    final ManualClockLoop loop;
    final Backend backend;
    final AgentLink link;
    /** The log, line by line. */
    final List<String> logLines = Collections.synchronizedList(new ArrayList<>());

    final Map<String, List<String>> answers = new HashMap<>();
    final Map<String, TrackedRequest> admitted = new HashMap<>();
    final List<String> calls = Collections.synchronizedList(new ArrayList<>());
    /** Runs once after a batch, before the batch's writes. */
    Runnable afterBatch;

    private final List<ServerSocket> agentServers = new ArrayList<>();
    private EventLoop.Timer alarm;
    private long lastRequestId = 0x9b1f03aa5c7e2d41L;
    private long seconds;

    /** The agent's end of one connection. */
    final class FakeAgent {
        final Socket socket;
        private final BufferedReader in;
        /** The offset that the link subscribed after. */
        long resumeOffset;

        private FakeAgent(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        }

        /** The next command of any kind; null where the connection was closed. */
        Map<?, ?> nextCommand() throws IOException {
            String line = in.readLine();
            try {
                return line == null ? null : Json.object(line);
            } catch (Json.MalformedJsonException e) {
                throw new IOException(e);
            }
        }

        /** The next command of the kind; requests for gauges before it are answered. */
        Map<?, ?> awaitCommand(String word) throws IOException {
            for (Map<?, ?> next = nextCommand(); next != null; next = nextCommand()) {
                if (next.get("cmd").equals(word)) {
                    return next;
                }
                if (next.get("cmd").equals("sample")) {
                    sendSampled(next.get("token"), "[0]");
                }
            }
            throw new IOException("the link was closed");
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        void sendLine(String line) throws IOException {
            write(line + "\n");
        }

        void sendGreeting() throws IOException {
            sendLine("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000}");
        }

        void sendSampled(Object token, String load) throws IOException {
            sendLine("{\"cmd\":\"sampled\",\"token\":\"" + token + "\",\"load\":" + load + "}");
        }

        void sendOutcome(long offset, String name, String result, String bytes) throws IOException {
            sendLine(AgentLinkFixture.outcomeLine(offset, name, result, bytes));
        }

        void sendCallRequest(long offset, String name) throws IOException {
            sendLine(AgentLinkFixture.callRequestLine(offset, name));
        }

        /** Waits until all that was sent before has been read. */
        void awaitAllRead() throws IOException {
            String mark = "mark" + seconds++;
            sendLine("{\"cmd\":\"" + mark + "\"}");
            loop.awaitCondition(() -> logLines.stream().anyMatch(line -> line.endsWith(mark)), mark);
        }
    }

    static String outcomeLine(long offset, String requestId, String result, String bytes) {
        return "{\"cmd\":\"outcome\",\"offset\":" + offset + ",\"req\":\"" + requestId + "\",\"result\":\"" + result
                + "\",\"elapsed_ms\":3.5,\"payload\":\""
                + Base64.getEncoder().encodeToString(bytes.getBytes(StandardCharsets.UTF_8)) + "\"}";
    }

    static String callRequestLine(long offset, String requestId) {
        return "{\"cmd\":\"request\",\"offset\":" + offset + ",\"req\":\"" + requestId + "\",\"payload\":\"AQI=\"}";
    }

    AgentLinkFixture(ManualClockLoop loop, InetSocketAddress address) {
        this.loop = loop;
        OutputStream lines = new OutputStream() {
            private final StringBuilder line = new StringBuilder();

            @Override
            public void write(int next) {
                if (next == '\n') {
                    logLines.add(line.toString());
                    line.setLength(0);
                } else {
                    line.append((char) next);
                }
            }
        };
        // Each line in a second of its own, so that the rate limit drops none.
        Log log = new Log(new PrintStream(lines), () -> Instant.ofEpochSecond(++seconds));
        backend = new Backend(SETTINGS, 5, this);
        link = new AgentLink(loop.loop, address, backend, log);
        loop.runOnLoop(() -> {
            loop.loop.setAfterBatch(() -> {
                backend.decide(loop.loop.clock().now());
                Runnable once = afterBatch;
                afterBatch = null;
                if (once != null) {
                    once.run();
                }
            });
            link.start();
        });
    }

    /** Opens a server socket for the agent. */
    ServerSocket openAgentServer() throws IOException {
        ServerSocket server = new ServerSocket(0, 50, LOOPBACK);
        server.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
        agentServers.add(server);
        return server;
    }

    static InetSocketAddress addressOf(ServerSocket server) {
        return new InetSocketAddress(LOOPBACK, server.getLocalPort());
    }

    void moveTo(ServerSocket server) {
        loop.runOnLoop(() -> link.setAddress(addressOf(server)));
    }

    /** Accepts the next connection. */
    FakeAgent accept(ServerSocket server) throws IOException {
        FakeAgent agent = new FakeAgent(server.accept());
        Map<?, ?> subscribe = agent.nextCommand();
        if (!subscribe.get("cmd").equals("subscribe")) {
            throw new IOException("not a subscription: " + subscribe);
        }
        agent.resumeOffset = (Long) subscribe.get("offset");
        return agent;
    }

    /** Accepts the next connection, which must subscribe after the offset. */
    FakeAgent accept(ServerSocket server, long offset) throws IOException {
        FakeAgent agent = accept(server);
        if (agent.resumeOffset != offset) {
            throw new IOException("a subscription after " + agent.resumeOffset + ", not " + offset);
        }
        return agent;
    }

    /** Accepts and greets the first connection, and waits until the backend is healthy. */
    FakeAgent connectAndGreet(ServerSocket server) throws IOException {
        FakeAgent agent = accept(server, 0);
        agent.sendGreeting();
        loop.awaitCondition(backend::isHealthy, "good health");
        return agent;
    }

    /** Closes the agent's end, and waits until the link has noticed. */
    void breakLink(FakeAgent agent) throws IOException {
        long before = loop.callOnLoop(this::countLostLinks);
        agent.socket.close();
        loop.awaitCondition(() -> countLostLinks() > before, "the loss of the link");
    }

    private long countLostLinks() {
        return logLines.stream()
                .filter(line -> line.contains("agent-link-lost"))
                .count();
    }

    /** Greets the new connection and answers its catch-up question. */
    void completeTakeover(FakeAgent agent) throws IOException {
        agent.sendGreeting();
        Map<?, ?> question = agent.nextCommand();
        while (!question.get("token").toString().startsWith("up")) {
            question = agent.nextCommand();
        }
        agent.sendSampled(question.get("token"), "[0]");
    }

    /** Has a request received and the decisions about it made, so that no outcome can come before its launch. */
    String admitRequest() {
        String taken = loop.callOnLoop(this::admitRequestOnLoop);
        loop.runBatches(2);
        return taken;
    }

    private String admitRequestOnLoop() {
        String requestId = String.format("%016x", ++lastRequestId);
        List<String> heard = Collections.synchronizedList(new ArrayList<>());
        answers.put(requestId, heard);
        ResponseSink caller = new RecordingResponseSink(heard);
        Duration now = loop.loop.clock().now();
        admitted.put(
                requestId,
                backend.receive(
                                now,
                                TestRequests.metadata(
                                        new RequestId(lastRequestId, requestId),
                                        0,
                                        TestRequests.LOOKUP,
                                        new Timing(now, Optional.of(now.plusSeconds(100))),
                                        null,
                                        null),
                                requestId.getBytes(StandardCharsets.UTF_8),
                                caller)
                        .orElse(null));
        return requestId;
    }

    void disconnectCaller(String requestId) {
        loop.runOnLoop(() -> backend.callerDisconnected(loop.loop.clock().now(), admitted.get(requestId)));
    }

    /** Asserts that the request has been answered once, with this. */
    void assertAnswered(String requestId, String answer) {
        loop.awaitCondition(() -> !answers.get(requestId).isEmpty(), "the answer of " + requestId);
        org.junit.jupiter.api.Assertions.assertEquals(List.of(answer), answers.get(requestId), requestId);
    }

    void completeCall(String requestId, String bytes) {
        loop.runOnLoop(() -> completeCallOnLoop(requestId, bytes));
    }

    void completeCallOnLoop(String requestId, String bytes) {
        backend.callEnded(
                loop.loop.clock().now(),
                Long.parseUnsignedLong(requestId, 16),
                Outcome.OK,
                bytes.getBytes(StandardCharsets.UTF_8));
    }

    void checkHealthDeeply(Consumer<Boolean> asker) {
        loop.runOnLoop(() -> backend.runDeepCheck(asker));
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : agentServers) {
            server.close();
        }
        loop.close();
    }

    @Override
    public void launch(TrackedRequest work) {
        link.launch(work);
    }

    @Override
    public void stop(TrackedRequest work) {
        link.stopRun(work);
    }

    @Override
    public void deliverReply(TrackedRequest work, byte[] reply) {
        link.deliverReply(work, reply);
    }

    @Override
    public void continueWithoutCall(TrackedRequest work) {
        link.continueWithoutCall(work);
    }

    @Override
    public boolean pollMetrics() {
        return link.pollMetrics();
    }

    @Override
    public void startDeepCheck() {
        link.startDeepCheck();
    }

    @Override
    public DownstreamService downstream() {
        return this;
    }

    @Override
    public void call(TrackedRequest operation, byte[] body, Duration within) {
        calls.add("call " + operation.idText());
    }

    @Override
    public void cancel(TrackedRequest operation) {
        calls.add("give up " + operation.idText());
    }

    @Override
    public void closeIdleConnections(Duration after) {}

    @Override
    public void scheduleWakeUp(Duration at) {
        if (alarm != null) {
            alarm.cancel();
        }
        alarm = loop.loop.schedule(
                at.minus(loop.loop.clock().now()),
                () -> backend.wakeUp(loop.loop.clock().now()));
    }

    @Override
    public void log(String line) {}
}
