package merlinlever.backend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import merlinlever.backend.Backend;
import merlinlever.backend.RecordingDependencies;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.controller.Outcome;
import merlinlever.controller.settings.BackpressureSignal;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.DeploymentProfile;
import merlinlever.controller.settings.DownstreamKind;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.controller.settings.RequestSemantics;
import merlinlever.controller.settings.RunStopping;
import org.junit.jupiter.api.AfterEach;

/**
 * An edge server on loopback sockets, with a real backend and recorded backend dependencies. The event loop runs on its
 * own thread, with a clock that only the test advances.
 */
abstract class EdgeServerFixture extends RecordingDependencies {

    static final int TIMEOUT_MS = 20_000;
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final AtomicLong nanos = new AtomicLong(1_000_000_000L);
    final List<Throwable> failures = new CopyOnWriteArrayList<>();
    /** The commands sent to the agent, in the format "command id". */
    final List<String> agentCommands = commands;

    private final List<Socket> sockets = new ArrayList<>();
    final EventLoop loop = new EventLoop(
            new MonotonicClock(() -> nanos.get() + 1_700_000_000_000_000_000L, nanos::get), failures::add);
    private final ControllerSettings settings = ControllerSettings.builder()
            .cores(16)
            .memoryKb(90_000)
            .runMemoryFactor(4)
            .deployment(new DeploymentProfile(DownstreamKind.NONE, RunStopping.DROP, false, BackpressureSignal.NONE))
            .overloadFactor(8)
            .drainGrace(Duration.ofMillis(100))
            .addPriorityClass(PriorityClassSettings.named("look")
                    .semantics(RequestSemantics.IDEMPOTENT)
                    .latencyObjective(Duration.ofSeconds(20))
                    .clientTimeout(Duration.ofSeconds(40)))
            .build();
    final Backend backend = new Backend(settings, 5, this);
    final EdgeServer edge = new EdgeServer(
            loop,
            backend,
            settings.toBuilder().idleTimeout(Duration.ofSeconds(4)).build());
    private final Thread thread = new Thread(loop::run, "loop");
    private final AtomicLong batchesRun = new AtomicLong();
    private long nextRequestId = 0x9b1f03aa5c7e2d41L;

    EdgeServerFixture() throws IOException {
        super(new CopyOnWriteArrayList<>());
        loop.setAfterBatch(() -> {
            backend.decide(loop.clock().now());
            batchesRun.incrementAndGet();
        });
    }

    /** Starts the server and the loop, with the agent started, and waits until the backend is healthy. */
    void listen(int maxConnections) throws Exception {
        edge.listen(new InetSocketAddress(LOOPBACK, 0), maxConnections);
        backend.agentStarted(loop.clock().now(), false);
        thread.setDaemon(true);
        thread.start();
        await(backend::isHealthy, "backend is not healthy");
    }

    @AfterEach
    void stopLoopAndCloseSockets() throws Exception {
        loop.stop();
        thread.join();
        for (Socket socket : sockets) {
            socket.close();
        }
        loop.group().shutdownNow();
        assertEquals(List.of(), failures);
    }

    /** Runs the task on the loop and waits until the task has finished. */
    void runOnLoop(Runnable task) throws Exception {
        FutureTask<Void> future = new FutureTask<>(task, null);
        loop.execute(future);
        future.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Waits until all ready tasks, the tasks that they submit, and the due timers have run. */
    void runPendingWork() throws Exception {
        // A task submitted during a batch may run in the same batch; timers and writes run after the tasks of a batch.
        for (int i = 0; i < 4; i++) {
            long previousBatches = batchesRun.get();
            runOnLoop(() -> {});
            long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
            while (batchesRun.get() == previousBatches) {
                assertTrue(System.nanoTime() < deadlineNanos, "event loop does not run");
                Thread.onSpinWait();
            }
        }
    }

    /** Advances the clock in steps that are shorter than the interval of the server's sweep. */
    void advance(long ms) throws Exception {
        for (long left = ms; left > 0; left -= 50) {
            long step = Math.min(left, 50);
            runOnLoop(() -> nanos.addAndGet(step * 1_000_000L));
            runPendingWork();
        }
    }

    /** Advances the clock in a single step, like a pause of the process. */
    void advanceAtOnce(long ms) throws Exception {
        runOnLoop(() -> nanos.addAndGet(ms * 1_000_000L));
        runPendingWork();
    }

    Socket connect() throws Exception {
        Socket socket = new Socket();
        sockets.add(socket);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        socket.connect(new InetSocketAddress(LOOPBACK, edge.address().getPort()), TIMEOUT_MS);
        return socket;
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    Socket send(String text) throws Exception {
        Socket socket = connect();
        write(socket, text);
        return socket;
    }

    String request(String headers, String body) {
        return "POST /svc/look HTTP/1.1\r\nHost: api\r\nReq-Id: " + String.format("%016x", nextRequestId++)
                + "\r\nReq-Time: "
                + (nanos.get() / 1_000_000 + 1_700_000_000_000L)
                + "\r\nReq-From: 4\r\nReq-Wait-Ms: 30000\r\nReq-Kb: 24.5\r\n"
                + "Req-Rank: 0.6250\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static final String HEALTH_CHECK = "GET /status/live HTTP/1.1\r\n\r\n";

    /** Reads the next response: its head and its body. */
    static String readResponse(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = in.read();
            assertTrue(next >= 0, "response ends within its head: " + head);
            head.write(next);
        }
        String text = head.toString(StandardCharsets.US_ASCII);
        int valueStart = text.indexOf("Content-Length: ") + 16;
        int length = valueStart < 16 ? 0 : Integer.parseInt(text.substring(valueStart, text.indexOf('\r', valueStart)));
        return text + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    static void assertStatus(int status, Socket socket) throws IOException {
        String response = readResponse(socket);
        assertEquals("" + status, response.substring(9, 12), response);
    }

    static void assertEndOfStream(Socket socket) throws IOException {
        assertEquals(-1, socket.getInputStream().read());
    }

    /** Waits until at least {@code count} commands have been sent to the agent. */
    void awaitAgentCommands(int count) throws Exception {
        await(() -> agentCommands.size() >= count, "too few agent commands: " + agentCommands);
    }

    /** Waits until exactly {@code count} connections are in the state. */
    void await(EdgeConnection.State state, int count) throws Exception {
        await(() -> edge.count(state) == count, "expected " + count + " connections in state " + state);
    }

    /** Waits until the condition holds; the condition is evaluated on the loop. */
    void await(BooleanSupplier condition, String message) throws Exception {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        boolean[] satisfied = new boolean[1];
        while (!satisfied[0]) {
            assertTrue(System.nanoTime() < deadlineNanos, message);
            runOnLoop(() -> satisfied[0] = condition.getAsBoolean());
        }
    }

    /** Ends the run started by the launch command with outcome OK and the result. */
    void completeRun(String launchCommand, byte[] result) throws Exception {
        runOnLoop(() -> backend.runEnded(
                loop.clock().now(), Long.parseUnsignedLong(launchCommand.substring(7), 16), Outcome.OK, result));
        runPendingWork();
    }

    private EventLoop.Timer wakeUpTimer;

    @Override
    public void scheduleWakeUp(Duration at) {
        if (wakeUpTimer != null) {
            wakeUpTimer.cancel();
        }
        wakeUpTimer = loop.schedule(
                at.minus(loop.clock().now()), () -> backend.wakeUp(loop.clock().now()));
    }
}
