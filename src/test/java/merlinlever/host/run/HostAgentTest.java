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

/** The agent with real processes, audited by the process table. */
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
    void describe() throws Exception {
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
        begin(1);
    }

    private void begin(long seed) throws Exception {
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

    /** The agent is gone as by a kill: nothing more is noted. */
    private void killAgent() throws Exception {
        CompletableFuture<Void> over = new CompletableFuture<>();
        loop.execute(() -> {
            server.close();
            loop.stop();
            over.complete(null);
        });
        over.get(2, TimeUnit.SECONDS);
        loopThread.join(2000);
        assertFalse(loopThread.isAlive());
        ledger.close();
    }

    @AfterEach
    void end() throws Exception {
        killAgent();
        for (long pid : table().keySet()) {
            ProcessHandle.of(pid).ifPresent(ProcessHandle::destroyForcibly);
        }
    }

    /** The auditor's own view: pid and name of every process launched for this test, wherever it came from. */
    private Map<Long, String> table() throws Exception {
        Map<Long, String> table = new TreeMap<>();
        try (var all = Files.list(Path.of("/proc"))) {
            for (Path each : all.filter(path -> path.getFileName().toString().matches("[0-9]+"))
                    .toList()) {
                try {
                    String line =
                            Files.readString(each.resolve("cmdline"), java.nio.charset.StandardCharsets.ISO_8859_1);
                    String stat = Files.readString(each.resolve("stat"), java.nio.charset.StandardCharsets.ISO_8859_1);
                    if (line.contains("FakeInstance")
                            && line.contains(folder.toString())
                            && stat.charAt(stat.lastIndexOf(')') + 2) != 'Z') {
                        table.put(
                                Long.parseLong(each.getFileName().toString()),
                                line.substring(line.lastIndexOf("mode"), line.lastIndexOf("mode") + 5));
                    }
                } catch (java.io.IOException e) {
                    // Gone meanwhile.
                }
            }
        }
        return table;
    }

    private <T> T on(Supplier<T> what) throws Exception {
        CompletableFuture<T> got = new CompletableFuture<>();
        loop.execute(() -> got.complete(what.get()));
        return got.get(5, TimeUnit.SECONDS);
    }

    private InstanceSupervisor.InstanceState state(int index) throws Exception {
        return on(() -> agent.supervisor(index).state(loop.clock().now()));
    }

    /** Waits until the condition holds, which is checked on the loop's thread; the time is the bound. */
    private void waitUntil(Duration bound, BooleanSupplier condition) throws Exception {
        CompletableFuture<Void> held = new CompletableFuture<>();
        loop.execute(() -> check(condition, held));
        try {
            held.get(bound.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            // The caller asserts what it waited for.
            held.cancel(false);
        }
    }

    private void check(BooleanSupplier condition, CompletableFuture<Void> held) {
        if (condition.getAsBoolean()) {
            held.complete(null);
        } else if (!held.isDone()) {
            loop.schedule(Duration.ofMillis(20), () -> check(condition, held));
        }
    }

    /** Lets the agent run for a while, in which something must not happen. */
    private void runAgentFor(Duration time) throws Exception {
        CompletableFuture<Void> over = new CompletableFuture<>();
        loop.execute(() -> loop.schedule(time, () -> over.complete(null)));
        over.get(time.toMillis() + 5000, TimeUnit.MILLISECONDS);
    }

    private void await(int index, InstanceSupervisor.InstanceState desired, long ms) throws Exception {
        waitUntil(
                Duration.ofMillis(ms),
                () -> agent.supervisor(index).state(loop.clock().now()) == desired);
        assertEquals(desired, state(index), log.toString());
    }

    private long pid(int index) throws Exception {
        return on(() -> agent.pid(index));
    }

    private static void signal(String name, long pid) throws Exception {
        new ProcessBuilder("kill", "-" + name, "" + pid).start().waitFor();
    }

    @Test
    void instancesAreLaunchedRelaunchedAndTakenOverAndNeverTwice() throws Exception {
        for (int i = 0; i < 3; i++) {
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        assertEquals(3, table().size());
        // One dies: launched again.
        long first = pid(0);
        signal("KILL", first);
        waitUntil(Duration.ofSeconds(5), () -> agent.pid(0) != first && agent.pid(0) != 0);
        assertNotEquals(first, pid(0));
        await(0, InstanceSupervisor.InstanceState.WARM, 10_000);
        // One is stopped: not reached, and not launched beside itself.
        long stopped = pid(1);
        signal("STOP", stopped);
        await(1, InstanceSupervisor.InstanceState.UNREACHABLE, 5_000);
        runAgentFor(Duration.ofMillis(1500));
        assertEquals(3, table().size());
        // The agent dies; one instance dies meanwhile; the next agent finds the others by pid and start.
        killAgent();
        signal("KILL", pid(2, specs));
        begin(2);
        runAgentFor(Duration.ofMillis(300));
        assertEquals(stopped, pid(1));
        assertTrue(table().containsKey(stopped));
        signal("CONT", stopped);
        for (int i = 0; i < 3; i++) {
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        assertEquals(3, table().size());
    }

    private long pid(int index, List<InstanceSpec> of) throws Exception {
        for (Map.Entry<Long, String> entry : table().entrySet()) {
            if (entry.getValue().equals("mode" + index)) {
                return entry.getKey();
            }
        }
        throw new AssertionError("no process of " + of.get(index).name());
    }

    @Test
    void aLaunchThatWasNotNotedAnyMoreIsFoundByItsToken() throws Exception {
        for (int i = 0; i < 3; i++) {
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        long was = pid(0);
        killAgent();
        // As after a kill between the fork and the note of it: the token alone is known.
        try (InstanceLedger edited = new InstanceLedger(folder.resolve("state"))) {
            edited.update(
                    "t-0",
                    new InstanceLedger.InstanceRecord(
                            true, edited.recordOf("t-0").token(), 0, 0));
            // And a pid that now belongs to somebody else.
            edited.update(
                    "t-1",
                    new InstanceLedger.InstanceRecord(
                            true,
                            edited.recordOf("t-1").token(),
                            ProcessHandle.current().pid(),
                            12345));
        }
        begin(3);
        runAgentFor(Duration.ofMillis(300));
        assertEquals(was, pid(0));
        assertNotEquals(ProcessHandle.current().pid(), pid(1));
        await(1, InstanceSupervisor.InstanceState.WARM, 5_000);
        assertEquals(3, table().size());
    }

    @Test
    void stopWaitsForWhatWasReadAndNowDoesNot() throws Exception {
        for (int i = 0; i < 3; i++) {
            Files.writeString(folder.resolve("mode" + i), "1500");
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        for (int i = 0; i < 3; i++) {
            // The mode is read at the start.
            int index = i;
            on(() -> agent.accept("restart-number-" + index, OrderTracker.OrderVerb.RESTART, false, List.of(index)));
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
        long began = System.nanoTime();
        OrderTracker.Order stop =
                on(() -> agent.accept("stop-number-one", OrderTracker.OrderVerb.STOP, false, List.of(0))
                        .orElseThrow());
        await(0, InstanceSupervisor.InstanceState.DRAINING, 2_000);
        assertFalse(on(stop::isFinished));
        await(0, InstanceSupervisor.InstanceState.DOWN, 6_000);
        assertTrue(System.nanoTime() - began > 1_400_000_000L);
        waitUntil(Duration.ofMillis(150), stop::isFinished);
        assertTrue(on(stop::isFinished));
        began = System.nanoTime();
        on(() -> agent.accept("stop-number-two", OrderTracker.OrderVerb.STOP, true, List.of(1)));
        await(1, InstanceSupervisor.InstanceState.DOWN, 2_000);
        assertTrue(System.nanoTime() - began < 1_200_000_000L);
        // What is not wanted stays down for the next agent too.
        killAgent();
        begin(4);
        runAgentFor(Duration.ofMillis(500));
        assertEquals(InstanceSupervisor.InstanceState.DOWN, state(0));
        assertEquals(1, table().size());
    }

    @Test
    void oneThatKeepsDyingIsLeftDownAndTold() throws Exception {
        await(0, InstanceSupervisor.InstanceState.WARM, 15_000);
        Files.writeString(folder.resolve("mode0"), "crash");
        signal("KILL", pid(0));
        await(0, InstanceSupervisor.InstanceState.GIVEN_UP, 20_000);
        int launches = (int) (long) on(() -> agent.supervisor(0).launches());
        runAgentFor(Duration.ofSeconds(1));
        assertEquals(launches, (int) (long) on(() -> agent.supervisor(0).launches()));
        assertTrue(on(() -> agent.supervisor(0).reason(loop.clock().now())).contains("start it manually"));
        Files.writeString(folder.resolve("mode0"), "0");
        on(() -> agent.accept("start-by-hand-1", OrderTracker.OrderVerb.START, false, List.of(0)));
        await(0, InstanceSupervisor.InstanceState.WARM, 15_000);
    }

    @Test
    void aLedgerThatIsSpoiltIsRefusedAndOneThatCannotBeWrittenTakesNoOrder() throws Exception {
        for (int i = 0; i < 3; i++) {
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        // A folder in place of the file that is written first: no note gets to the disk.
        Files.createDirectory(folder.resolve("state/instances.new"));
        assertEquals(
                Optional.empty(),
                on(() -> agent.accept("refused-order", OrderTracker.OrderVerb.STOP, false, List.of(0))));
        runAgentFor(Duration.ofMillis(300));
        assertEquals(InstanceSupervisor.InstanceState.WARM, state(0));
        signal("KILL", pid(0));
        runAgentFor(Duration.ofMillis(2500));
        assertEquals(2, table().size(), "launched without a note");
        Files.delete(folder.resolve("state/instances.new"));
        on(() -> agent.accept("start-order-1", OrderTracker.OrderVerb.START, false, List.of(0)));
        await(0, InstanceSupervisor.InstanceState.WARM, 15_000);
        killAgent();
        byte[] good = Files.readAllBytes(folder.resolve("state/instances"));
        for (int length : new int[] {0, 5, 9, good.length - 1}) {
            Files.write(folder.resolve("state/instances"), java.util.Arrays.copyOf(good, length));
            assertThrows(InstanceLedger.CorruptLedgerException.class, () -> new InstanceLedger(folder.resolve("state"))
                    .close());
        }
        Files.write(folder.resolve("state/instances"), good);
        begin(5);
    }
}
