package merlinlever.recovery.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import merlinlever.faults.TestDirectories;
import merlinlever.faults.audit.IncarnationAudit;
import merlinlever.faults.link.LinkFaults;
import merlinlever.faults.link.UdpSwitch;
import merlinlever.faults.process.PortAllocator;
import merlinlever.membership.MembershipCodec;
import merlinlever.membership.MembershipTransport;
import merlinlever.net.EventLoop;
import merlinlever.net.MonotonicClock;
import merlinlever.recovery.PersistedState;
import merlinlever.recovery.RecoverySequence;
import merlinlever.recovery.disk.RecoveryFile;
import merlinlever.storage.FileStateDirectory;
import merlinlever.storage.StateDirectory;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** Two that come back, on real datagrams and a real disk in one process; the disk of one may be held or fail. */
class RecoveryCoordinatorTest {

    private static final String SECRET = "a-secret-of-16-or-more";

    private Path root;
    private EventLoop loop;
    private Thread thread;
    private final List<RecoveryCoordinator> lives = new ArrayList<>();
    private final List<BlockingStateDirectory> disks = new ArrayList<>();
    private final AtomicLong set = new AtomicLong();
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private volatile Duration keyedFrom, keyedTo;

    /** A folder whose writes wait for a permit each, and fail where they are told to. */
    private static final class BlockingStateDirectory extends ForwardingStateDirectory {
        final Semaphore permits = new Semaphore(0);
        volatile boolean fails;

        BlockingStateDirectory(StateDirectory inner) {
            super(inner);
        }

        @Override
        public void replace(String name, byte[] octets) throws IOException {
            permits.acquireUninterruptibly();
            if (fails) {
                throw new IOException("no space left");
            }
            super.replace(name, octets);
        }
    }

    private final RecoveryCoordinator.RecoveringService service = new RecoveryCoordinator.RecoveringService() {
        @Override
        public void admitNonIdempotent(Duration from, Duration to) {
            keyedFrom = from;
            keyedTo = to;
        }

        @Override
        public void warmStart(double capacity, double completions) {}

        @Override
        public double learnedCapacity() {
            return 12;
        }

        @Override
        public boolean isAtFullSpeed() {
            return true;
        }
    };

    @BeforeTry
    void begin() throws IOException {
        root = Files.createTempDirectory("merlinlever-rejoin");
        loop = new EventLoop(MonotonicClock.system(), failure -> log.add("failed: " + failure));
        thread = new Thread(loop::run, "rejoin-test");
        thread.setDaemon(true);
        thread.start();
    }

    /** The folder goes when no thread writes in it any more. */
    @AfterTry
    void end() throws Exception {
        disks.forEach(held -> held.permits.release(1_000_000));
        for (RecoveryCoordinator each : List.copyOf(lives)) {
            end(each);
        }
        loop.stop();
        thread.join(10_000);
        TestDirectories.remove(root);
    }

    private void on(Callable<?> what) throws Exception {
        CompletableFuture<Throwable> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                what.call();
                done.complete(null);
            } catch (Exception | AssertionError e) {
                done.complete(e);
            }
        });
        Throwable failed = done.get(15, TimeUnit.SECONDS);
        if (failed != null) {
            throw new AssertionError(failed.getMessage(), failed);
        }
    }

    private void end(RecoveryCoordinator life) throws Exception {
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        loop.execute(() -> ended.complete(life.close(Duration.ofSeconds(10))));
        assertTrue(ended.get(15, TimeUnit.SECONDS), "its last write has ended");
        lives.remove(life);
    }

    private BlockingStateDirectory held(String folder) throws IOException {
        BlockingStateDirectory held = new BlockingStateDirectory(new FileStateDirectory(root.resolve(folder)));
        disks.add(held);
        return held;
    }

    private static InetSocketAddress here(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private RecoveryCoordinator make(
            String name, StateDirectory folder, List<String> seeds, RecoveryCoordinator.RecoveringService its)
            throws Exception {
        return make(new RecoveryCoordinator.NodeSettings(name, here(0), null, "-", seeds, SECRET), folder, its);
    }

    private RecoveryCoordinator make(
            RecoveryCoordinator.NodeSettings place, StateDirectory folder, RecoveryCoordinator.RecoveringService its)
            throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        RecoveryCoordinator[] made = new RecoveryCoordinator[1];
        loop.execute(() -> {
            try {
                made[0] = new RecoveryCoordinator(
                        loop,
                        folder,
                        place,
                        new RecoverySequence.RecoverySettings(
                                Duration.ofMillis(800),
                                Duration.ofMillis(100),
                                Duration.ofMillis(100),
                                Duration.ofMillis(400),
                                Duration.ofMillis(600),
                                16),
                        Duration.ofMillis(100),
                        3,
                        () -> System.currentTimeMillis() + set.get(),
                        its,
                        line -> log.add(place.name() + " " + line));
            } catch (IOException e) {
                log.add("failed: " + e);
            }
            done.countDown();
        });
        done.await();
        lives.add(made[0]);
        return made[0];
    }

    private static void until(String what, BooleanSupplier so) throws InterruptedException {
        long end = System.nanoTime() + 15_000_000_000L;
        while (!so.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "not within 15 s: " + what);
            Thread.sleep(10);
        }
    }

    private PersistedState left(String folder) {
        try {
            return RecoveryFile.decode(Files.readAllBytes(root.resolve(folder).resolve(RecoveryFile.FILE_NAME)))
                    .state();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private boolean logged(String part) {
        return List.copyOf(log).stream().anyMatch(line -> line.contains(part));
    }

    private String address(RecoveryCoordinator one) {
        return one.membership().views().of(one.membership().views().self()).gossip();
    }

    @Example
    void nothingIsToldBeforeTheIncarnationIsOnTheDisk() throws Exception {
        RecoveryCoordinator first = make(
                "a", new FileStateDirectory(root.resolve("a")), List.of(), RecoveryCoordinator.RecoveringService.NONE);
        BlockingStateDirectory held = held("b");
        RecoveryCoordinator second = make("b", held, List.of(address(first)), service);
        Thread.sleep(600);
        assertEquals(1, first.membership().views().size(), "a has heard of nobody while b's disk is held");
        assertEquals(Duration.ZERO, keyedTo, "and b begins no keyed work");
        held.permits.release(1_000_000);
        until("a hears b", () -> first.membership().views().of("b") != null);
        until("b is warm", () -> second.sequence().stage() == RecoverySequence.RecoveryStage.WARM);
        // Noted with the next mark, and read while marks are made.
        until("whom to ask is noted", () -> left("b").peerAddresses().equals(List.of(address(first))));
        assertTrue(left("b").reservedIncarnation() >= first.membership().views().of("b").incarnation());
    }

    @Example
    void aDiskThatFailsEndsKeyedWorkAndOneThatWorksAgainBeginsIt() throws Exception {
        BlockingStateDirectory held = held("b");
        held.permits.release(1_000_000);
        make("b", held, List.of(), service);
        until(
                "keyed work is taken",
                () -> keyedTo != null && keyedTo.compareTo(loop.clock().uptime()) > 0);
        held.fails = true;
        until(
                "a write has failed",
                () -> logged("cannot be written: no space left; keyed work is turned away until it can"));
        until("the last mark has run out", () -> keyedTo.compareTo(loop.clock().uptime()) <= 0);
        held.fails = false;
        until("marks are made again", () -> keyedTo.compareTo(loop.clock().uptime()) > 0);
        assertTrue(logged("it can be written again"));
    }

    @Example
    void aClockThatIsSetEndsTheMarkAtOnce() throws Exception {
        BlockingStateDirectory held = held("b");
        held.permits.release(1_000_000);
        make("b", held, List.of(), service);
        until(
                "keyed work is taken",
                () -> keyedTo != null && keyedTo.compareTo(loop.clock().uptime()) > 0);
        held.permits.drainPermits();
        set.set(30_000);
        until("the mark is not believed", () -> keyedTo.isZero());
        held.permits.release(1_000_000);
        until("the next one is", () -> keyedTo.compareTo(loop.clock().uptime()) > 0);
        assertTrue(logged("the clock was set by "));
    }

    @Example
    void anotherUnderTheSameNameIsFoundOut() throws Exception {
        RecoveryCoordinator first = make(
                "a", new FileStateDirectory(root.resolve("a")), List.of(), RecoveryCoordinator.RecoveringService.NONE);
        RecoveryCoordinator one = make(
                "b",
                new FileStateDirectory(root.resolve("b1")),
                List.of(address(first)),
                RecoveryCoordinator.RecoveringService.NONE);
        until("b is there", () -> one.sequence().stage() == RecoverySequence.RecoveryStage.WARM);
        RecoveryCoordinator two =
                make("b", new FileStateDirectory(root.resolve("b2")), List.of(address(first)), service);
        until("one of them says so", () -> logged("another process lives under this one's name"));
        assertTrue(one.membership().views().rivals() > 1 || two.membership().views().rivals() > 1);
    }

    @Example
    void afterItsEndALifeWritesNothingAndADiskThatHangsHoldsTheEndNoLongerThanStated() throws Exception {
        BlockingStateDirectory held = held("b");
        RecoveryCoordinator life = make("b", held, List.of(), service);
        until("a write is under way", held.permits::hasQueuedThreads);
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        loop.execute(() -> ended.complete(life.close(Duration.ofMillis(200))));
        assertEquals(false, ended.get(5, TimeUnit.SECONDS), "the disk hangs");
        held.permits.release(1_000_000);
        end(life);
        byte[] left = Files.readAllBytes(root.resolve("b").resolve(RecoveryFile.FILE_NAME));
        Thread.sleep(400);
        assertArrayEquals(left, Files.readAllBytes(root.resolve("b").resolve(RecoveryFile.FILE_NAME)), "four marks later");
        assertEquals(999_999, held.permits.availablePermits());
    }

    /**
     * A life that ends between its first line of log and its first force told nobody, so the next may begin at the same
     * incarnation: the audit looks at what passes the switch, and finds the two apart only if the one in between tells.
     */
    @Example
    void aLifeThatEndsBeforeItsForceIsRepeatedByTheNextAndHasToldNobody() throws Exception {
        List<InetSocketAddress> real = List.of(here(PortAllocator.free()), here(PortAllocator.free()));
        IncarnationAudit audit = new IncarnationAudit();
        MembershipCodec wire = new MembershipCodec(SECRET.getBytes(StandardCharsets.UTF_8));
        try (UdpSwitch hub = new UdpSwitch(loop, new LinkFaults(2), real, List.of(here(0), here(0)), 7)) {
            hub.tap((from, to, octets) -> audit.sent(from == 0 ? "a" : "b", to == 0 ? "a" : "b", wire.read(octets)));
            List<String> fronts =
                    List.of(MembershipTransport.text(hub.front(0)), MembershipTransport.text(hub.front(1)));
            RecoveryCoordinator.NodeSettings place = new RecoveryCoordinator.NodeSettings(
                    "b", real.get(1), fronts.get(1), "-", List.of(fronts.get(0)), SECRET);
            RecoveryCoordinator first = make(
                    new RecoveryCoordinator.NodeSettings(
                            "a", real.get(0), fronts.get(0), "-", List.of(fronts.get(1)), SECRET),
                    new FileStateDirectory(root.resolve("a")),
                    RecoveryCoordinator.RecoveringService.NONE);
            long[] heard = new long[1];
            for (int life = 0; life < 3; life++) {
                on(() -> {
                    hub.takeIn();
                    audit.began("b");
                    return null;
                });
                BlockingStateDirectory held = held("b");
                held.permits.release(life == 1 ? 0 : 1_000_000);
                RecoveryCoordinator its = make(place, held, service);
                if (life == 1) {
                    until("its write is under way", held.permits::hasQueuedThreads);
                    // It is pinged meanwhile, and would answer.
                    Thread.sleep(1500);
                    held.fails = true;
                    held.permits.release(1_000_000);
                } else {
                    until(
                            "a hears this life",
                            () -> first.membership().views().of("b") != null
                                    && first.membership().views().of("b").incarnation() > heard[0]);
                    heard[0] = first.membership().views().of("b").incarnation();
                }
                end(its);
                held.close();
            }
            List<String> began = List.copyOf(log).stream()
                    .filter(line -> line.startsWith("b found incarnation: ") && line.contains(" goes on at "))
                    .toList();
            assertEquals(2, began.size(), "" + log);
            assertEquals(began.get(0), began.get(1), "the log tells the same of two lives");
            on(() -> {
                assertEquals(List.of(), audit.breaches());
                assertTrue(audit.counts()[0] >= 4 && audit.counts()[1] == 0, "told and read");
                return null;
            });
        }
    }
}
