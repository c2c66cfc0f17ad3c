package merlinlever.host.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import merlinlever.common.log.EventLog;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.host.api.HostApiServer;
import merlinlever.host.disk.InstanceLedger;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.host.state.OrderTracker;
import merlinlever.host.state.SupervisorSettings;
import merlinlever.testing.faults.process.PortAllocator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the agent with real processes and checks them against the process table. */
class HostAgentTest {

    @TempDir
    Path folder;

    private EventLoop loop;
    private InstanceLedger ledger;
    private HostAgent agent;
    private HostApiServer server;
    private Thread loopThread;
    private List<InstanceSpec> specs;
    private final List<String> log = new ArrayList<>();

    @BeforeEach
    void setUp() throws Exception {
        specs = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int port = PortAllocator.free();
            Path mode = Files.writeString(folder.resolve("mode" + i), "0");
            specs.add(new InstanceSpec(
                    "t-" + i,
                    "t",
                    Map.of("zone", i == 0 ? "west" : "east"),
                    List.of(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-XX:TieredStopAtLevel=1",
                            "-XX:+UseSerialGC",
                            "-Xmx32m",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "merlinlever.host.run.FakeInstance",
                            "" + port,
                            mode.toString()),
                    Map.of("WHO", "t-" + i),
                    folder.resolve("t-" + i),
                    Optional.of(new InetSocketAddress("127.0.0.1", port)),
                    true,
                    4096));
        }
        startAgent(1);
    }

    private void startAgent(long seed) throws Exception {
        loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
        ledger = new InstanceLedger(folder.resolve("state"));
        SupervisorSettings defaults = SupervisorSettings.DEFAULTS;
        agent = new HostAgent(
                loop,
                ledger,
                specs,
                new SupervisorSettings(
                        defaults.initialBackoff(),
                        defaults.maxBackoff(),
                        defaults.stableAfter(),
                        4,
                        defaults.restartWindow(),
                        Duration.ofMillis(1500)),
                Duration.ZERO,
                new SplittableRandom(seed),
                event -> log.add(event.text()));
        server = new HostApiServer(
                loop,
                new HostApiServer.Settings(
                        new InetSocketAddress("127.0.0.1", 0),
                        "m1",
                        "a-secret-of-16-or-more",
                        Duration.ofSeconds(1),
                        1),
                agent,
                Optional.empty(),
                Optional.empty(),
                EventLog.NONE);
        loopThread = new Thread(loop::run);
        loopThread.start();
    }

    /** Stops the agent as a kill does: the ledger receives no further update. */
    private void killAgent() throws Exception {
        CompletableFuture<Void> finished = new CompletableFuture<>();
        loop.execute(() -> {
            server.close();
            loop.stop();
            finished.complete(null);
        });
        finished.get(2, TimeUnit.SECONDS);
        loopThread.join(2000);
        assertFalse(loopThread.isAlive());
        ledger.close();
    }

    @AfterEach
    void tearDown() throws Exception {
        killAgent();
        for (long pid : processTable().keySet()) {
            ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
        }
    }

    /**
     * Returns pid and mode file of every process launched for this test, read from /proc independently of the agent.
     */
    private Map<Long, String> processTable() throws Exception {
        Map<Long, String> table = new TreeMap<>();
        try (var entries = Files.list(Path.of("/proc"))) {
            for (Path process : entries.filter(
                            path -> path.getFileName().toString().matches("[0-9]+"))
                    .toList()) {
                try {
                    String line =
                            Files.readString(process.resolve("cmdline"), java.nio.charset.StandardCharsets.ISO_8859_1);
                    String stat =
                            Files.readString(process.resolve("stat"), java.nio.charset.StandardCharsets.ISO_8859_1);
                    if (line.contains("FakeInstance")
                            && line.contains(folder.toString())
                            && stat.charAt(stat.lastIndexOf(')') + 2) != 'Z') {
                        table.put(
                                Long.parseLong(process.getFileName().toString()),
                                line.substring(line.lastIndexOf("mode"), line.lastIndexOf("mode") + 5));
                    }
                } catch (java.io.IOException e) {
                    // The process has exited.
                }
            }
        }
        return table;
    }

    private <T> T callOnLoop(Supplier<T> supplier) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(supplier.get()));
        return result.get(5, TimeUnit.SECONDS);
    }

    private InstanceSupervisor.InstanceState state(int index) throws Exception {
        return callOnLoop(() -> agent.supervisor(index).state(loop.clock().now()));
    }

    /** Waits until the condition, which is checked on the loop thread, is true, or until the timeout. */
    private void waitUntil(Duration timeout, BooleanSupplier condition) throws Exception {
        CompletableFuture<Void> satisfied = new CompletableFuture<>();
        loop.execute(() -> check(condition, satisfied));
        try {
            satisfied.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            // The test asserts the condition itself.
            satisfied.cancel(false);
        }
    }

    private void check(BooleanSupplier condition, CompletableFuture<Void> satisfied) {
        if (condition.getAsBoolean()) {
            satisfied.complete(null);
        } else if (!satisfied.isDone()) {
            loop.schedule(Duration.ofMillis(20), () -> check(condition, satisfied));
        }
    }

    /** Lets the agent run for the given time; the test then asserts that an event has not occurred. */
    private void runAgentFor(Duration time) throws Exception {
        CompletableFuture<Void> finished = new CompletableFuture<>();
        loop.execute(() -> loop.schedule(time, () -> finished.complete(null)));
        finished.get(time.toMillis() + 5000, TimeUnit.MILLISECONDS);
    }

    private void await(int index, InstanceSupervisor.InstanceState desired, long ms) throws Exception {
        waitUntil(
                Duration.ofMillis(ms),
                () -> agent.supervisor(index).state(loop.clock().now()) == desired);
        assertEquals(desired, state(index), log.toString());
    }

    private long pid(int index) throws Exception {
        return callOnLoop(() -> agent.pid(index));
    }

    private static void signal(String name, long pid) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + pid).start().waitFor();
    }

    @Test
    void instancesAreLaunchedRelaunchedAndAdoptedWithoutDuplicates() throws Exception {
        for (int i = 0; i < 3; i++) {
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        assertEquals(3, processTable().size());
        // A killed instance is launched again.
        long first = pid(0);
        signal("KILL", first);
        waitUntil(Duration.ofSeconds(5), () -> agent.pid(0) != first && agent.pid(0) != 0);
        assertNotEquals(first, pid(0));
        await(0, InstanceSupervisor.InstanceState.WARM, 10_000);
        // A suspended instance is unreachable, and no second process is launched.
        long stopped = pid(1);
        signal("STOP", stopped);
        await(1, InstanceSupervisor.InstanceState.UNREACHABLE, 5_000);
        runAgentFor(Duration.ofMillis(1500));
        assertEquals(3, processTable().size());
        // The agent and one instance are killed; the next agent finds the other instances by pid and start time.
        killAgent();
        signal("KILL", pid(2, specs));
        startAgent(2);
        runAgentFor(Duration.ofMillis(300));
        assertEquals(stopped, pid(1));
        assertTrue(processTable().containsKey(stopped));
        signal("CONT", stopped);
        for (int i = 0; i < 3; i++) {
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        assertEquals(3, processTable().size());
    }

    private long pid(int index, List<InstanceSpec> of) throws Exception {
        for (Map.Entry<Long, String> entry : processTable().entrySet()) {
            if (entry.getValue().equals("mode" + index)) {
                return entry.getKey();
            }
        }
        throw new AssertionError("no process of " + of.get(index).name());
    }

    @Test
    void launchWithoutRecordedPidIsFoundByItsToken() throws Exception {
        for (int i = 0; i < 3; i++) {
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        long pidBeforeKill = pid(0);
        killAgent();
        // Simulates a kill between the launch and the update with the pid: only the token is recorded.
        try (InstanceLedger updatedLedger = new InstanceLedger(folder.resolve("state"))) {
            updatedLedger.update(
                    "t-0",
                    new InstanceLedger.InstanceRecord(
                            true, updatedLedger.recordOf("t-0").token(), 0, 0));
            // The recorded pid belongs to an unrelated process.
            updatedLedger.update(
                    "t-1",
                    new InstanceLedger.InstanceRecord(
                            true,
                            updatedLedger.recordOf("t-1").token(),
                            ProcessHandle.current().pid(),
                            12345));
        }
        startAgent(3);
        runAgentFor(Duration.ofMillis(300));
        assertEquals(pidBeforeKill, pid(0));
        assertNotEquals(ProcessHandle.current().pid(), pid(1));
        await(1, InstanceSupervisor.InstanceState.WARM, 5_000);
        assertEquals(3, processTable().size());
    }

    @Test
    void stopWaitsForTheDrainAndImmediateStopDoesNot() throws Exception {
        for (int i = 0; i < 3; i++) {
            Files.writeString(folder.resolve("mode" + i), "1500");
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        for (int i = 0; i < 3; i++) {
            // An instance reads its mode at startup.
            int index = i;
            callOnLoop(() ->
                    agent.accept("restart-number-" + index, OrderTracker.OrderVerb.RESTART, false, List.of(index)));
        }
        for (int i = 0; i < 3; i++) {
            String id = "restart-number-" + i;
            waitUntil(
                    Duration.ofSeconds(15),
                    () -> agent.findOrder(id).orElseThrow().isFinished());
        }
        for (int i = 0; i < 3; i++) {
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        long startNanos = System.nanoTime();
        OrderTracker.Order stop =
                callOnLoop(() -> agent.accept("stop-number-one", OrderTracker.OrderVerb.STOP, false, List.of(0))
                        .orElseThrow());
        await(0, InstanceSupervisor.InstanceState.DRAINING, 2_000);
        assertFalse(callOnLoop(stop::isFinished));
        await(0, InstanceSupervisor.InstanceState.DOWN, 6_000);
        assertTrue(System.nanoTime() - startNanos > 1_400_000_000L);
        waitUntil(Duration.ofMillis(150), stop::isFinished);
        assertTrue(callOnLoop(stop::isFinished));
        startNanos = System.nanoTime();
        callOnLoop(() -> agent.accept("stop-number-two", OrderTracker.OrderVerb.STOP, true, List.of(1)));
        await(1, InstanceSupervisor.InstanceState.DOWN, 2_000);
        assertTrue(System.nanoTime() - startNanos < 1_200_000_000L);
        // The next agent does not launch stopped instances.
        killAgent();
        startAgent(4);
        runAgentFor(Duration.ofMillis(500));
        assertEquals(InstanceSupervisor.InstanceState.DOWN, state(0));
        assertEquals(1, processTable().size());
    }

    @Test
    void crashingInstanceIsGivenUpAndReported() throws Exception {
        await(0, InstanceSupervisor.InstanceState.WARM, 15_000);
        Files.writeString(folder.resolve("mode0"), "crash");
        signal("KILL", pid(0));
        await(0, InstanceSupervisor.InstanceState.GIVEN_UP, 20_000);
        int launches = (int) (long) callOnLoop(() -> agent.supervisor(0).launches());
        runAgentFor(Duration.ofSeconds(1));
        assertEquals(launches, (int) (long) callOnLoop(() -> agent.supervisor(0).launches()));
        assertTrue(
                callOnLoop(() -> agent.supervisor(0).reason(loop.clock().now())).contains("start it manually"));
        Files.writeString(folder.resolve("mode0"), "0");
        callOnLoop(() -> agent.accept("start-by-hand-1", OrderTracker.OrderVerb.START, false, List.of(0)));
        await(0, InstanceSupervisor.InstanceState.WARM, 15_000);
    }

    @Test
    void corruptLedgerIsRefusedAndUnwritableLedgerRejectsOrders() throws Exception {
        for (int i = 0; i < 3; i++) {
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        // A folder in place of the temporary file makes each update of the ledger fail.
        Files.createDirectory(folder.resolve("state/instances.new"));
        assertEquals(
                Optional.empty(),
                callOnLoop(() -> agent.accept("refused-order", OrderTracker.OrderVerb.STOP, false, List.of(0))));
        runAgentFor(Duration.ofMillis(300));
        assertEquals(InstanceSupervisor.InstanceState.WARM, state(0));
        signal("KILL", pid(0));
        runAgentFor(Duration.ofMillis(2500));
        assertEquals(2, processTable().size(), "number of processes while the ledger cannot be written");
        Files.delete(folder.resolve("state/instances.new"));
        callOnLoop(() -> agent.accept("start-order-1", OrderTracker.OrderVerb.START, false, List.of(0)));
        await(0, InstanceSupervisor.InstanceState.WARM, 15_000);
        killAgent();
        byte[] validLedger = Files.readAllBytes(folder.resolve("state/instances"));
        for (int length : new int[] {0, 5, 9, validLedger.length - 1}) {
            Files.write(folder.resolve("state/instances"), java.util.Arrays.copyOf(validLedger, length));
            assertThrows(InstanceLedger.CorruptLedgerException.class, () -> new InstanceLedger(folder.resolve("state"))
                    .close());
        }
        Files.write(folder.resolve("state/instances"), validLedger);
        startAgent(5);
    }
}
