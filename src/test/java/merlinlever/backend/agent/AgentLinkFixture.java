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

/** A real backend and agent link, connected to a fake agent. Downstream calls and responses are recorded. */
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
    /** The lines logged by the link. */
    final List<String> logLines = Collections.synchronizedList(new ArrayList<>());

    /** The responses to each request, by request id. */
    final Map<String, List<String>> responses = new HashMap<>();

    final Map<String, TrackedRequest> admittedRequests = new HashMap<>();
    final List<String> calls = Collections.synchronizedList(new ArrayList<>());
    /** Runs once, after the next batch and before the writes of that batch. */
    Runnable afterBatch;

    private final List<ServerSocket> agentServers = new ArrayList<>();
    private EventLoop.Timer wakeUpTimer;
    private long lastRequestId = 0x9b1f03aa5c7e2d41L;
    /** Used for the timestamps of log lines and for the numbers of markers. */
    private long logSeconds;

    /** The agent's end of a connection. */
    final class FakeAgent {
        final Socket socket;
        private final BufferedReader in;
        /** The offset after which the link subscribed to events. */
        long resumeOffset;

        private FakeAgent(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        }

        /** Returns the next command of any kind, or null if the connection has been closed. */
        Map<?, ?> nextCommand() throws IOException {
            String line = in.readLine();
            try {
                return line == null ? null : Json.parseObject(line);
            } catch (Json.MalformedJsonException e) {
                throw new IOException(e);
            }
        }

        /** Returns the next command with the name; answers the metrics polls and skips other commands before it. */
        Map<?, ?> awaitCommand(String name) throws IOException {
            for (Map<?, ?> command = nextCommand(); command != null; command = nextCommand()) {
                if (command.get("cmd").equals(name)) {
                    return command;
                }
                if (command.get("cmd").equals("sample")) {
                    sendMetrics(command.get("token"), "[0]");
                }
            }
            throw new IOException("link closed before the expected command arrived");
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

        void sendMetrics(Object token, String gauges) throws IOException {
            sendLine("{\"cmd\":\"sampled\",\"token\":\"" + token + "\",\"load\":" + gauges + "}");
        }

        void sendOutcome(long offset, String requestId, String result, String payload) throws IOException {
            sendLine(AgentLinkFixture.outcomeLine(offset, requestId, result, payload));
        }

        void sendCallRequest(long offset, String requestId) throws IOException {
            sendLine(AgentLinkFixture.callRequestLine(offset, requestId));
        }

        /** Waits until the link has read all bytes sent so far. */
        void awaitAllRead() throws IOException {
            String marker = "mark" + logSeconds++;
            sendLine("{\"cmd\":\"" + marker + "\"}");
            loop.awaitCondition(() -> logLines.stream().anyMatch(line -> line.endsWith(marker)), marker);
        }
    }

    static String outcomeLine(long offset, String requestId, String result, String payload) {
        return "{\"cmd\":\"outcome\",\"offset\":" + offset + ",\"req\":\"" + requestId + "\",\"result\":\"" + result
                + "\",\"elapsed_ms\":3.5,\"payload\":\""
                + Base64.getEncoder().encodeToString(payload.getBytes(StandardCharsets.UTF_8)) + "\"}";
    }

    static String callRequestLine(long offset, String requestId) {
        return "{\"cmd\":\"request\",\"offset\":" + offset + ",\"req\":\"" + requestId + "\",\"payload\":\"AQI=\"}";
    }

    AgentLinkFixture(ManualClockLoop loop, InetSocketAddress address) {
        this.loop = loop;
        OutputStream logOutput = new OutputStream() {
            private final StringBuilder line = new StringBuilder();

            @Override
            public void write(int character) {
                if (character == '\n') {
                    logLines.add(line.toString());
                    line.setLength(0);
                } else {
                    line.append((char) character);
                }
            }
        };
        // Each line has a timestamp in a different second, so that the log's rate limit drops no line.
        Log log = new Log(new PrintStream(logOutput), () -> Instant.ofEpochSecond(++logSeconds));
        backend = new Backend(SETTINGS, 5, this);
        link = new AgentLink(loop.loop, address, backend, log);
        loop.runOnLoop(() -> {
            loop.loop.setAfterBatch(() -> {
                backend.decide(loop.loop.clock().now());
                Runnable action = afterBatch;
                afterBatch = null;
                if (action != null) {
                    action.run();
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

    void setAddress(ServerSocket server) {
        loop.runOnLoop(() -> link.setAddress(addressOf(server)));
    }

    /** Accepts the next connection and reads its subscription. */
    FakeAgent accept(ServerSocket server) throws IOException {
        FakeAgent agent = new FakeAgent(server.accept());
        Map<?, ?> subscribe = agent.nextCommand();
        if (!subscribe.get("cmd").equals("subscribe")) {
            throw new IOException("expected a subscription, but received: " + subscribe);
        }
        agent.resumeOffset = (Long) subscribe.get("offset");
        return agent;
    }

    /** Accepts the next connection, and checks that it subscribes to events after the offset. */
    FakeAgent accept(ServerSocket server, long expectedOffset) throws IOException {
        FakeAgent agent = accept(server);
        if (agent.resumeOffset != expectedOffset) {
            throw new IOException("subscribed after offset " + agent.resumeOffset + " instead of " + expectedOffset);
        }
        return agent;
    }

    /** Accepts the first connection, sends the greeting, and waits until the backend is healthy. */
    FakeAgent connectAndGreet(ServerSocket server) throws IOException {
        FakeAgent agent = accept(server, 0);
        agent.sendGreeting();
        loop.awaitCondition(backend::isHealthy, "healthy backend");
        return agent;
    }

    /** Closes the agent's end of the connection, and waits until the link has detected the loss. */
    void disconnect(FakeAgent agent) throws IOException {
        long lossesBefore = loop.callOnLoop(this::countLostLinks);
        agent.socket.close();
        loop.awaitCondition(() -> countLostLinks() > lossesBefore, "loss of the link");
    }

    private long countLostLinks() {
        return logLines.stream()
                .filter(line -> line.contains("agent-link-lost"))
                .count();
    }

    /** Sends the greeting on a new connection, and answers the catch-up poll. */
    void greetAndCatchUp(FakeAgent agent) throws IOException {
        agent.sendGreeting();
        Map<?, ?> poll = agent.nextCommand();
        while (!poll.get("token").toString().startsWith("up")) {
            poll = agent.nextCommand();
        }
        agent.sendMetrics(poll.get("token"), "[0]");
    }

    /** Submits a request and waits until it has been launched, so that its outcome cannot arrive before the launch. */
    String admitRequest() {
        String requestId = loop.callOnLoop(this::admitRequestOnLoop);
        loop.runBatches(2);
        return requestId;
    }

    private String admitRequestOnLoop() {
        String requestId = String.format("%016x", ++lastRequestId);
        List<String> recordedResponses = Collections.synchronizedList(new ArrayList<>());
        responses.put(requestId, recordedResponses);
        ResponseSink caller = new RecordingResponseSink(recordedResponses);
        Duration now = loop.loop.clock().now();
        admittedRequests.put(
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
        loop.runOnLoop(() -> backend.callerDisconnected(loop.loop.clock().now(), admittedRequests.get(requestId)));
    }

    /** Asserts that the request receives exactly one response, with the expected content. */
    void assertAnswered(String requestId, String expectedResponse) {
        loop.awaitCondition(() -> !responses.get(requestId).isEmpty(), "response to request " + requestId);
        org.junit.jupiter.api.Assertions.assertEquals(List.of(expectedResponse), responses.get(requestId), requestId);
    }

    void completeCall(String requestId, String reply) {
        loop.runOnLoop(() -> completeCallOnLoop(requestId, reply));
    }

    void completeCallOnLoop(String requestId, String reply) {
        backend.callEnded(
                loop.loop.clock().now(),
                Long.parseUnsignedLong(requestId, 16),
                Outcome.OK,
                reply.getBytes(StandardCharsets.UTF_8));
    }

    void runDeepCheck(Consumer<Boolean> resultConsumer) {
        loop.runOnLoop(() -> backend.runDeepCheck(resultConsumer));
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : agentServers) {
            server.close();
        }
        loop.close();
    }

    @Override
    public void launch(TrackedRequest request) {
        link.launch(request);
    }

    @Override
    public void stop(TrackedRequest request) {
        link.stopRun(request);
    }

    @Override
    public void deliverReply(TrackedRequest request, byte[] reply) {
        link.deliverReply(request, reply);
    }

    @Override
    public void continueWithoutCall(TrackedRequest request) {
        link.continueWithoutCall(request);
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
    public void call(TrackedRequest request, byte[] body, Duration timeout) {
        calls.add("call " + request.idText());
    }

    @Override
    public void cancel(TrackedRequest request) {
        calls.add("cancel " + request.idText());
    }

    @Override
    public void closeIdleConnections(Duration idleTimeout) {}

    @Override
    public void scheduleWakeUp(Duration at) {
        if (wakeUpTimer != null) {
            wakeUpTimer.cancel();
        }
        wakeUpTimer = loop.loop.schedule(
                at.minus(loop.loop.clock().now()),
                () -> backend.wakeUp(loop.loop.clock().now()));
    }

    @Override
    public void log(String line) {}
}
