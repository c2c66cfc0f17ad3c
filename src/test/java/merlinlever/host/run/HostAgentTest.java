package merlinlever.host.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.host.disk.InstanceLedger;
import merlinlever.host.front.HostApiServer;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.host.state.OrderTracker;
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
    private HostApiServer front;
    private List<InstanceSpec> hosted;
    private final List<String> log = new ArrayList<>();

    @BeforeEach
    void describe() throws Exception {
        hosted = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            int port = PortAllocator.free();
            Path mode = Files.writeString(folder.resolve("mode" + i), "0");
            hosted.add(new InstanceSpec(
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
                    new InetSocketAddress("127.0.0.1", port),
                    true,
                    4096));
        }
        begin(1);
    }

    private void begin(long seed) throws Exception {
        loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
        ledger = new InstanceLedger(folder.resolve("state"));
        InstanceSupervisor.SupervisorSettings usual = InstanceSupervisor.SupervisorSettings.USUAL;
        agent = new HostAgent(
                loop,
                ledger,
                hosted,
                new InstanceSupervisor.SupervisorSettings(
                        usual.firstPause(),
                        usual.longestPause(),
                        usual.steadyAfter(),
                        4,
                        usual.budgetSpan(),
                        Duration.ofMillis(1500)),
                Duration.ZERO,
                new SplittableRandom(seed),
                event -> log.add(event.text()));
        front = new HostApiServer(
                loop,
                new InetSocketAddress("127.0.0.1", 0),
                "m1",
                agent,
                null,
                null,
                "a-secret-of-16-or-more",
                Duration.ofSeconds(1),
                1,
                line -> {});
        new Thread(loop::run).start();
    }

    /** The agent is gone as by a kill: nothing more is noted. */
    private void killAgent() throws Exception {
        CompletableFuture<Void> over = new CompletableFuture<>();
        loop.execute(() -> {
            front.close();
            loop.stop();
            over.complete(null);
        });
        over.get(2, TimeUnit.SECONDS);
        Thread.sleep(50);
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
        return on(() -> agent.keeper(index).state(loop.clock().now()));
    }

    private void await(int index, InstanceSupervisor.InstanceState wanted, long ms) throws Exception {
        long end = System.nanoTime() + ms * 1_000_000;
        while (state(index) != wanted && System.nanoTime() < end) {
            Thread.sleep(20);
        }
        assertEquals(wanted, state(index), log.toString());
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
        for (int i = 0; i < 100 && (pid(0) == first || pid(0) == 0); i++) {
            Thread.sleep(50);
        }
        assertNotEquals(first, pid(0));
        await(0, InstanceSupervisor.InstanceState.WARM, 10_000);
        // One is stopped: not reached, and not launched beside itself.
        long stopped = pid(1);
        signal("STOP", stopped);
        await(1, InstanceSupervisor.InstanceState.UNREACHED, 5_000);
        Thread.sleep(1500);
        assertEquals(3, table().size());
        // The agent dies; one instance dies meanwhile; the next agent finds the others by pid and start.
        killAgent();
        signal("KILL", pid(2, hosted));
        begin(2);
        Thread.sleep(300);
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
            edited.note(
                    "t-0",
                    new InstanceLedger.InstanceRecord(true, edited.of("t-0").token(), 0, 0));
            // And a pid that now belongs to somebody else.
            edited.note(
                    "t-1",
                    new InstanceLedger.InstanceRecord(
                            true,
                            edited.of("t-1").token(),
                            ProcessHandle.current().pid(),
                            12345));
        }
        begin(3);
        Thread.sleep(300);
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
            on(() -> agent.order("restart-number-" + index, OrderTracker.OrderVerb.RESTART, false, List.of(index)));
        }
        Thread.sleep(500);
        for (int i = 0; i < 3; i++) {
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        long began = System.nanoTime();
        OrderTracker.Order stop =
                on(() -> agent.order("stop-number-one", OrderTracker.OrderVerb.STOP, false, List.of(0)));
        await(0, InstanceSupervisor.InstanceState.DRAINING, 2_000);
        assertFalse(on(stop::over));
        await(0, InstanceSupervisor.InstanceState.DOWN, 6_000);
        assertTrue(System.nanoTime() - began > 1_400_000_000L);
        Thread.sleep(150);
        assertTrue(on(stop::over));
        began = System.nanoTime();
        on(() -> agent.order("stop-number-two", OrderTracker.OrderVerb.STOP, true, List.of(1)));
        await(1, InstanceSupervisor.InstanceState.DOWN, 2_000);
        assertTrue(System.nanoTime() - began < 1_200_000_000L);
        // What is not wanted stays down for the next agent too.
        killAgent();
        begin(4);
        Thread.sleep(500);
        assertEquals(InstanceSupervisor.InstanceState.DOWN, state(0));
        assertEquals(1, table().size());
    }

    @Test
    void oneThatKeepsDyingIsLeftDownAndTold() throws Exception {
        await(0, InstanceSupervisor.InstanceState.WARM, 15_000);
        Files.writeString(folder.resolve("mode0"), "crash");
        signal("KILL", pid(0));
        await(0, InstanceSupervisor.InstanceState.GIVEN_UP, 20_000);
        int launches = (int) (long) on(() -> agent.keeper(0).launches());
        Thread.sleep(1000);
        assertEquals(launches, (int) (long) on(() -> agent.keeper(0).launches()));
        assertTrue(on(() -> agent.keeper(0).why(loop.clock().now())).contains("start it by hand"));
        Files.writeString(folder.resolve("mode0"), "0");
        on(() -> agent.order("start-by-hand-1", OrderTracker.OrderVerb.START, false, List.of(0)));
        await(0, InstanceSupervisor.InstanceState.WARM, 15_000);
    }

    @Test
    void aLedgerThatIsSpoiltIsRefusedAndOneThatCannotBeWrittenTakesNoOrder() throws Exception {
        for (int i = 0; i < 3; i++) {
            await(i, InstanceSupervisor.InstanceState.WARM, 15_000);
        }
        // A folder in place of the file that is written first: no note gets to the disk.
        Files.createDirectory(folder.resolve("state/instances.new"));
        assertNull(on(() -> agent.order("refused-order", OrderTracker.OrderVerb.STOP, false, List.of(0))));
        Thread.sleep(300);
        assertEquals(InstanceSupervisor.InstanceState.WARM, state(0));
        signal("KILL", pid(0));
        Thread.sleep(2500);
        assertEquals(2, table().size(), "launched without a note");
        Files.delete(folder.resolve("state/instances.new"));
        on(() -> agent.order("start-order-1", OrderTracker.OrderVerb.START, false, List.of(0)));
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
