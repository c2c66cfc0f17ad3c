package merlinlever.fleet.recovery.net;

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
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.storage.FileStateDirectory;
import merlinlever.common.storage.StateDirectory;
import merlinlever.fleet.membership.MemberTable;
import merlinlever.fleet.membership.MembershipCodec;
import merlinlever.fleet.membership.net.MembershipTransport;
import merlinlever.fleet.recovery.PersistedState;
import merlinlever.fleet.recovery.RecoverySettings;
import merlinlever.fleet.recovery.RecoveryStage;
import merlinlever.fleet.recovery.disk.RecoveryFile;
import merlinlever.testing.faults.TestDirectories;
import merlinlever.testing.faults.audit.IncarnationAudit;
import merlinlever.testing.faults.link.LinkFaults;
import merlinlever.testing.faults.link.UdpSwitch;
import merlinlever.testing.faults.process.PortAllocator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs several recovering nodes in one process with real datagrams and files; a state directory can block or fail. */
class RecoveryCoordinatorTest {

    private static final String SECRET = "a-secret-of-16-or-more";
    private static final int UNLIMITED = 1_000_000;

    private Path root;
    private EventLoop loop;
    private Thread thread;
    private final List<RecoveryCoordinator> running = new ArrayList<>();
    private final List<BlockingStateDirectory> disks = new ArrayList<>();
    private final AtomicLong clockStepMs = new AtomicLong();
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private volatile Duration admittedUntil = Duration.ZERO;

    /** A state directory in which each write waits for a permit, and fails while {@code failing} is set. */
    private static final class BlockingStateDirectory extends ForwardingStateDirectory {
        final Semaphore permits = new Semaphore(0);
        volatile boolean failing;

        BlockingStateDirectory(StateDirectory inner) {
            super(inner);
        }

        @Override
        public void replace(String name, byte[] bytes) throws IOException {
            permits.acquireUninterruptibly();
            if (failing) {
                throw new IOException("no space left");
            }
            super.replace(name, bytes);
        }
    }

    private final RecoveringService service = new RecoveringService() {
        @Override
        public void admitNonIdempotent(Duration from, Duration until) {
            admittedUntil = until;
        }

        @Override
        public void warmStart(double capacity, double weight) {}

        @Override
        public double learnedCapacity() {
            return 12;
        }

        @Override
        public boolean isWarmedUp() {
            return true;
        }
    };

    @BeforeEach
    void startLoop() throws IOException {
        root = Files.createTempDirectory("merlinlever-recovery");
        loop = new EventLoop(MonotonicClock.system(), failure -> log.add("failed: " + failure));
        thread = new Thread(loop::run, "recovery-test");
        thread.setDaemon(true);
        thread.start();
    }

    /** Removes the directory after all writes have ended. */
    @AfterEach
    void stopAll() throws Exception {
        disks.forEach(disk -> disk.permits.release(UNLIMITED));
        for (RecoveryCoordinator coordinator : List.copyOf(running)) {
            close(coordinator);
        }
        loop.stop();
        thread.join(10_000);
        TestDirectories.remove(root);
    }

    private <T> T callOnLoop(Callable<T> call) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(call.call());
            } catch (Exception | AssertionError e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(15, TimeUnit.SECONDS);
    }

    private void close(RecoveryCoordinator coordinator) throws Exception {
        assertTrue(callOnLoop(() -> coordinator.close(Duration.ofSeconds(10))), "the last write has ended");
        running.remove(coordinator);
    }

    private StateDirectory directory(String name) throws IOException {
        return new FileStateDirectory(root.resolve(name));
    }

    private BlockingStateDirectory blockingDirectory(String name) throws IOException {
        BlockingStateDirectory disk = new BlockingStateDirectory(directory(name));
        disks.add(disk);
        return disk;
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private RecoveryCoordinator start(
            String name, StateDirectory directory, List<String> seedAddresses, RecoveringService service)
            throws Exception {
        return start(
                new NodeSettings(name, loopback(0), Optional.empty(), "-", seedAddresses, SECRET), directory, service);
    }

    private RecoveryCoordinator start(NodeSettings node, StateDirectory directory, RecoveringService service)
            throws Exception {
        RecoverySettings settings = new RecoverySettings(
                Duration.ofMillis(800),
                Duration.ofMillis(100),
                Duration.ofMillis(100),
                Duration.ofMillis(400),
                Duration.ofMillis(600),
                16,
                Duration.ofMillis(100));
        RecoveryCoordinator coordinator = callOnLoop(() -> new RecoveryCoordinator(
                new NodeEnvironment(loop, directory, () -> System.currentTimeMillis() + clockStepMs.get()),
                node,
                settings,
                3,
                service,
                line -> log.add(node.name() + " " + line.text())));
        running.add(coordinator);
        return coordinator;
    }

    private static void await(String condition, BooleanSupplier isMet) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
        while (!isMet.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "not within 15 s: " + condition);
            Thread.sleep(10);
        }
    }

    private boolean isAdmitting() {
        return admittedUntil.compareTo(loop.clock().uptime()) > 0;
    }

    private byte[] fileOf(String directory) throws IOException {
        return Files.readAllBytes(root.resolve(directory).resolve(RecoveryFile.FILE_NAME));
    }

    private PersistedState persistedBy(String directory) {
        try {
            return RecoveryFile.decode(fileOf(directory)).state().orElseThrow();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private boolean isLogged(String part) {
        return List.copyOf(log).stream().anyMatch(line -> line.contains(part));
    }

    private static String addressOf(RecoveryCoordinator coordinator) {
        MemberTable members = coordinator.membership().memberTable();
        return members.ownRecord().gossipAddress();
    }

    private static boolean knows(RecoveryCoordinator coordinator, String name) {
        return coordinator.membership().memberTable().find(name).isPresent();
    }

    private static long incarnationOf(String name, RecoveryCoordinator asSeenBy) {
        return asSeenBy.membership().memberTable().find(name).orElseThrow().incarnation();
    }

    @Test
    void nothingIsSentBeforeTheIncarnationIsOnDisk() throws Exception {
        RecoveryCoordinator first = start("a", directory("a"), List.of(), RecoveringService.NONE);
        BlockingStateDirectory disk = blockingDirectory("b");
        RecoveryCoordinator second = start("b", disk, List.of(addressOf(first)), service);
        Thread.sleep(600);
        assertEquals(1, first.membership().memberTable().size(), "a does not know b while the disk of b blocks");
        assertEquals(Duration.ZERO, admittedUntil, "b starts no non-idempotent requests");
        disk.permits.release(UNLIMITED);
        await("a knows b", () -> knows(first, "b"));
        await("b is warm", () -> second.sequence().stage() == RecoveryStage.WARM);
        // The address is written with the next reservation, so the file is read until the address is present.
        await(
                "the address of a is on disk",
                () -> persistedBy("b").peerAddresses().equals(List.of(addressOf(first))));
        assertTrue(persistedBy("b").reservedIncarnation() >= incarnationOf("b", first));
    }

    @Test
    void aFailingDiskStopsTheAdmissionOfNonIdempotentRequestsUntilAWriteSucceeds() throws Exception {
        BlockingStateDirectory disk = blockingDirectory("b");
        disk.permits.release(UNLIMITED);
        start("b", disk, List.of(), service);
        await("non-idempotent requests are admitted", this::isAdmitting);
        disk.failing = true;
        await(
                "a write has failed",
                () -> isLogged("recovery-state-write-failed error=\"no space left\" "
                        + "effect=\"non-idempotent requests rejected until a write succeeds\""));
        await("the last reservation has expired", () -> !isAdmitting());
        disk.failing = false;
        await("reservations are written again", this::isAdmitting);
        assertTrue(isLogged("recovery-state-write-recovered"));
    }

    @Test
    void settingTheClockRevokesTheReservationImmediately() throws Exception {
        BlockingStateDirectory disk = blockingDirectory("b");
        disk.permits.release(UNLIMITED);
        start("b", disk, List.of(), service);
        await("non-idempotent requests are admitted", this::isAdmitting);
        disk.permits.drainPermits();
        clockStepMs.set(30_000);
        await("the reservation is revoked", () -> admittedUntil.isZero());
        disk.permits.release(UNLIMITED);
        await("the next reservation takes effect", this::isAdmitting);
        assertTrue(isLogged("unix-clock-set step_ms="));
    }

    @Test
    void anotherProcessWithTheSameNameIsDetected() throws Exception {
        RecoveryCoordinator first = start("a", directory("a"), List.of(), RecoveringService.NONE);
        RecoveryCoordinator original = start("b", directory("b1"), List.of(addressOf(first)), RecoveringService.NONE);
        await("b is warm", () -> original.sequence().stage() == RecoveryStage.WARM);
        RecoveryCoordinator duplicate = start("b", directory("b2"), List.of(addressOf(first)), service);
        await("one of the two processes reports the conflict", () -> isLogged("name-conflict-started"));
        assertTrue(original.membership().memberTable().addressConflicts() > 1
                || duplicate.membership().memberTable().addressConflicts() > 1);
    }

    @Test
    void closeWaitsForABlockedWriteUpToTheTimeoutAndPreventsFurtherWrites() throws Exception {
        BlockingStateDirectory disk = blockingDirectory("b");
        RecoveryCoordinator coordinator = start("b", disk, List.of(), service);
        await("a write is in progress", disk.permits::hasQueuedThreads);
        assertEquals(false, callOnLoop(() -> coordinator.close(Duration.ofMillis(200))), "the write is blocked");
        disk.permits.release(UNLIMITED);
        close(coordinator);
        byte[] written = fileOf("b");
        Thread.sleep(400);
        assertArrayEquals(written, fileOf("b"), "no write after four reservation intervals");
        assertEquals(UNLIMITED - 1, disk.permits.availablePermits());
    }

    /**
     * An incarnation that ends before its first write has sent no datagram, so the next one may reuse its number. The
     * audit checks all datagrams that pass the switch for a reused incarnation.
     */
    @Test
    void anIncarnationThatEndsBeforeItsFirstWriteSendsNoDatagramAndIsReused() throws Exception {
        List<InetSocketAddress> addresses = List.of(loopback(PortAllocator.free()), loopback(PortAllocator.free()));
        IncarnationAudit audit = new IncarnationAudit();
        MembershipCodec codec = new MembershipCodec(SECRET.getBytes(StandardCharsets.UTF_8));
        try (UdpSwitch network =
                new UdpSwitch(loop, new LinkFaults(2), addresses, List.of(loopback(0), loopback(0)), 7)) {
            network.setTap((from, to, bytes) -> audit.recordMessage(nodeName(from), nodeName(to), codec.decode(bytes)));
            String proxyAddressOfA = MembershipTransport.formatAddress(network.front(0));
            String proxyAddressOfB = MembershipTransport.formatAddress(network.front(1));
            RecoveryCoordinator a = start(
                    new NodeSettings(
                            "a", addresses.get(0), Optional.of(proxyAddressOfA), "-", List.of(proxyAddressOfB), SECRET),
                    directory("a"),
                    RecoveringService.NONE);
            NodeSettings nodeB = new NodeSettings(
                    "b", addresses.get(1), Optional.of(proxyAddressOfB), "-", List.of(proxyAddressOfA), SECRET);
            runUntilKnown(nodeB, a, 0, network, audit);
            long firstIncarnation = incarnationOf("b", a);
            runWithFailingDisk(nodeB, network, audit);
            runUntilKnown(nodeB, a, firstIncarnation, network, audit);

            List<String> starts = List.copyOf(log).stream()
                    .filter(line -> line.startsWith("b recovery-state-found piece=incarnation ")
                            && line.contains(" continues at "))
                    .toList();
            assertEquals(2, starts.size(), "" + log);
            assertEquals(starts.get(0), starts.get(1), "both processes log the same incarnation");
            callOnLoop(() -> {
                assertEquals(List.of(), audit.violations());
                assertTrue(
                        audit.counts()[0] >= 4 && audit.counts()[1] == 0, "datagrams were sent and all were decoded");
                return null;
            });
        }
    }

    private static String nodeName(int index) {
        return index == 0 ? "a" : "b";
    }

    private BlockingStateDirectory nextIncarnation(UdpSwitch network, IncarnationAudit audit) throws Exception {
        callOnLoop(() -> {
            network.receivePending();
            audit.recordStart("b");
            return null;
        });
        return blockingDirectory("b");
    }

    private void runUntilKnown(
            NodeSettings node,
            RecoveryCoordinator peer,
            long previousIncarnation,
            UdpSwitch network,
            IncarnationAudit audit)
            throws Exception {
        BlockingStateDirectory disk = nextIncarnation(network, audit);
        disk.permits.release(UNLIMITED);
        RecoveryCoordinator coordinator = start(node, disk, service);
        await("a knows this incarnation", () -> knows(peer, "b") && incarnationOf("b", peer) > previousIncarnation);
        close(coordinator);
        disk.close();
    }

    private void runWithFailingDisk(NodeSettings node, UdpSwitch network, IncarnationAudit audit) throws Exception {
        BlockingStateDirectory disk = nextIncarnation(network, audit);
        RecoveryCoordinator coordinator = start(node, disk, service);
        await("the first write is in progress", disk.permits::hasQueuedThreads);
        // During this time the peer sends pings, which the process must not answer before its first write.
        Thread.sleep(1500);
        disk.failing = true;
        disk.permits.release(UNLIMITED);
        close(coordinator);
        disk.close();
    }
}
