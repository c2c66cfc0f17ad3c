package merlinlever.fleet.replication.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
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
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.storage.FileStateDirectory;
import merlinlever.fleet.election.ElectionSettings;
import merlinlever.fleet.election.net.ElectionTransport;
import merlinlever.fleet.recovery.RecoverySettings;
import merlinlever.fleet.recovery.net.NodeEnvironment;
import merlinlever.fleet.recovery.net.NodeSettings;
import merlinlever.fleet.recovery.net.RecoveringService;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;
import merlinlever.fleet.replication.ReplicatedStore;
import merlinlever.fleet.replication.VersionedEntry;
import merlinlever.fleet.replication.disk.EntryFile;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.QuorumStatus;
import merlinlever.testing.faults.TestDirectories;
import merlinlever.testing.faults.timeline.FixedFleetView;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three replicas in one process, with real datagrams and files. */
class ReplicationTransportTest {

    private static final FleetView FULL_QUORUM = new FixedFleetView(now -> QuorumStatus.FULL);
    private static final long MAX_WAIT_NANOS = 90_000_000_000L;

    private Path root;
    private EventLoop loop;
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());

    @BeforeEach
    void startLoop() throws IOException {
        root = Files.createTempDirectory("merlinlever-replication");
        loop = new EventLoop(MonotonicClock.system(), failure -> log.add("failed: " + failure));
        Thread thread = new Thread(loop::run, "replication-test");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stopLoop() throws InterruptedException {
        loop.stop();
        // Lets a write in progress complete.
        Thread.sleep(500);
        TestDirectories.remove(root);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Runs the action on the event loop and waits for its result. */
    private <T> T onLoop(Supplier<T> action) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        List<T> results = new ArrayList<>();
        loop.execute(() -> {
            try {
                results.add(action.get());
            } finally {
                done.countDown();
            }
        });
        done.await();
        return results.get(0);
    }

    private void await(String description, Supplier<Boolean> condition) throws InterruptedException {
        long deadline = System.nanoTime() + MAX_WAIT_NANOS;
        while (!onLoop(condition)) {
            assertTrue(System.nanoTime() < deadline, "condition not met within 90 s: " + description + " " + log);
            Thread.sleep(20);
        }
    }

    private record Replica(RecoveryCoordinator recovery, ReplicationTransport transport) {
        String name() {
            return recovery.membership().memberTable().self();
        }

        String address() {
            return recovery.membership()
                    .memberTable()
                    .find(name())
                    .orElseThrow()
                    .gossipAddress();
        }
    }

    private Replica start(String name, List<String> seeds) throws InterruptedException {
        return onLoop(() -> {
            try {
                return startNow(name, seeds);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private Replica startNow(String name, List<String> seeds) throws IOException {
        RecoveryCoordinator recovery = new RecoveryCoordinator(
                new NodeEnvironment(loop, new FileStateDirectory(root.resolve(name)), System::currentTimeMillis),
                new NodeSettings(
                        name,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        Optional.empty(),
                        "-",
                        seeds,
                        "a-secret-of-16-or-more"),
                RecoverySettings.defaults(Duration.ofSeconds(1), Duration.ofMillis(100)),
                3,
                RecoveringService.NONE,
                line -> log.add(name + " " + line.text()));
        ElectionTransport election = new ElectionTransport(
                loop,
                recovery,
                new ElectionSettings(List.of("a", "b", "c"), Duration.ofSeconds(3), 0.01),
                name.hashCode(),
                line -> log.add(name + " " + line.text()));
        ReplicationTransport transport = new ReplicationTransport(
                loop,
                recovery,
                new FileStateDirectory(root.resolve(name + "-shared")),
                ReplicatedStore.ReplicationSettings.defaults(true),
                election.election(),
                FULL_QUORUM,
                name.hashCode(),
                line -> log.add(name + " " + line.text()));
        return new Replica(recovery, transport);
    }

    @Test
    void entriesAndRegistersReachAllReplicas() throws InterruptedException, IOException {
        Replica a = start("a", List.of());
        Replica b = start("b", List.of(onLoop(a::address)));
        Replica c = start("c", List.of(onLoop(a::address)));
        List<Replica> replicas = List.of(a, b, c);
        assertTrue(onLoop(() -> a.transport.store().put(loop.clock().uptime(), "counts", bytes("7"))));
        assertTrue(onLoop(() ->
                b.transport.store().put(loop.clock().uptime(), "large", new byte[VersionedEntry.MAX_VALUE_BYTES])));
        await("all replicas hold both entries", () -> replicas.stream()
                .map(replica -> replica.transport.store())
                .allMatch(store -> store.get("a", "counts").isPresent()
                        && store.get("b", "large").isPresent()));
        ReplicatedStore.PersistedEntries persisted = EntryFile.decode(
                        "a", Files.readAllBytes(root.resolve("a-shared").resolve("words")))
                .orElseThrow();
        assertArrayEquals(bytes("7"), persisted.entries().get(0).value());
        await("all replicas have learned the register's value", () -> {
            replicas.forEach(replica -> replica.transport
                    .registers()
                    .propose(loop.clock().uptime(), "end", bytes("won by " + replica.name())));
            return replicas.stream()
                    .allMatch(replica ->
                            replica.transport.registers().chosen("end").isPresent());
        });
        assertEquals(
                1,
                replicas.stream()
                        .map(replica -> new String(
                                replica.transport.registers().chosen("end").orElseThrow(), StandardCharsets.US_ASCII))
                        .distinct()
                        .count());
        assertTrue(
                onLoop(() -> a.transport.statusJson()).startsWith("{\"disk\":true,\"words\":{\"words\":2"),
                a.transport.statusJson());
    }
}
