package merlinlever.replication.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
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
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import merlinlever.election.ElectionSettings;
import merlinlever.election.net.ElectionTransport;
import merlinlever.faults.FixedFleetView;
import merlinlever.faults.TestDirectories;
import merlinlever.net.EventLoop;
import merlinlever.net.MonotonicClock;
import merlinlever.recovery.RecoverySequence;
import merlinlever.recovery.net.RecoveryCoordinator;
import merlinlever.replication.ReplicatedStore;
import merlinlever.replication.VersionedEntry;
import merlinlever.replication.disk.EntryFile;
import merlinlever.storage.FileStateDirectory;
import merlinlever.view.FleetView;
import merlinlever.view.QuorumStatus;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** Three that share, on real datagrams and real disks in one process. */
class ReplicationTransportTest {

    private static final FleetView WHOLE = new FixedFleetView(now -> QuorumStatus.FULL);

    private Path root;
    private EventLoop loop;
    private final List<String> log = Collections.synchronizedList(new ArrayList<>());

    @BeforeTry
    void begin() throws IOException {
        root = Files.createTempDirectory("merlinlever-spread");
        loop = new EventLoop(MonotonicClock.system(), failure -> log.add("failed: " + failure));
        Thread thread = new Thread(loop::run, "spread-test");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterTry
    void end() throws InterruptedException {
        loop.stop();
        // What is written now is written to its end; nothing new begins.
        Thread.sleep(500);
        TestDirectories.remove(root);
    }

    private static byte[] octets(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** On the loop, and waits for it. */
    private <T> T on(Supplier<T> what) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        List<T> made = new ArrayList<>();
        loop.execute(() -> {
            try {
                made.add(what.get());
            } finally {
                done.countDown();
            }
        });
        done.await();
        return made.get(0);
    }

    private void until(String what, Supplier<Boolean> so) throws InterruptedException {
        long end = System.nanoTime() + 90_000_000_000L;
        while (!on(so)) {
            assertTrue(System.nanoTime() < end, "not within 90 s: " + what + " " + log);
            Thread.sleep(20);
        }
    }

    private record Replica(RecoveryCoordinator rejoin, ReplicationTransport spread, ElectionTransport leading) {
        String address() {
            return rejoin.members()
                    .memberTable()
                    .find(rejoin.members().memberTable().self())
                    .gossipAddress();
        }
    }

    private Replica make(String name, List<String> seeds) throws Exception {
        return on(() -> {
            try {
                RecoveryCoordinator rejoin = new RecoveryCoordinator(
                        loop,
                        new FileStateDirectory(root.resolve(name)),
                        new RecoveryCoordinator.NodeSettings(
                                name,
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                null,
                                "-",
                                seeds,
                                "a-secret-of-16-or-more"),
                        RecoverySequence.RecoverySettings.usual(Duration.ofSeconds(1)),
                        Duration.ofMillis(100),
                        3,
                        System::currentTimeMillis,
                        RecoveryCoordinator.RecoveringService.NONE,
                        line -> log.add(name + " " + line));
                ElectionTransport leading = new ElectionTransport(
                        loop,
                        rejoin,
                        new ElectionSettings(List.of("a", "b", "c"), Duration.ofSeconds(3), 0.01),
                        name.hashCode(),
                        line -> log.add(name + " " + line));
                return new Replica(
                        rejoin,
                        new ReplicationTransport(
                                loop,
                                rejoin,
                                new FileStateDirectory(root.resolve(name + "-shared")),
                                ReplicatedStore.ReplicationSettings.usual(true),
                                leading.election(),
                                WHOLE,
                                name.hashCode(),
                                line -> log.add(name + " " + line)),
                        leading);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Example
    void wordsReachTheOthersOnceOnTheDiskAndARegisterIsWrittenByWhoLeads() throws Exception {
        Replica a = make("a", List.of());
        Replica b = make("b", List.of(on(a::address)));
        Replica c = make("c", List.of(on(a::address)));
        assertTrue(on(() -> a.spread.words().put(loop.clock().uptime(), "counts", octets("7"))));
        assertTrue(
                on(() -> b.spread.words().put(loop.clock().uptime(), "large", new byte[VersionedEntry.MOST_OCTETS])));
        until("all hold both", () -> List.of(a, b, c).stream()
                .allMatch(each -> each.spread.words().of("a", "counts").isPresent()
                        && each.spread.words().of("b", "large").isPresent()));
        ReplicatedStore.PersistedEntries kept = EntryFile.parsed(
                "a", Files.readAllBytes(root.resolve("a-shared").resolve("words")));
        assertArrayEquals(octets("7"), kept.words().get(0).value());
        until("the end is written everywhere", () -> {
            for (Replica each : List.of(a, b, c)) {
                each.spread
                        .decree()
                        .propose(
                                loop.clock().uptime(),
                                "end",
                                octets("won by "
                                        + each.rejoin.members().memberTable().self()));
            }
            return List.of(a, b, c).stream()
                    .allMatch(each -> each.spread.decree().written("end").isPresent());
        });
        assertEquals(
                1,
                List.of(a, b, c).stream()
                        .map(each -> new String(
                                each.spread.decree().written("end").orElseThrow(), StandardCharsets.US_ASCII))
                        .distinct()
                        .count());
        assertTrue(on(() -> a.spread.json()).startsWith("{\"disk\":true,\"words\":{\"words\":2"), a.spread.json());
    }

    @Example
    void aSpoiltOrCopiedFileOfWordsIsNotTakenForItsOwn() {
        ReplicatedStore.PersistedEntries kept = new ReplicatedStore.PersistedEntries(
                4,
                9,
                List.of(new VersionedEntry("a", "t", 4, 8, octets("x")), new VersionedEntry("a", "gone", 4, 9, null)));
        byte[] file = EntryFile.octets("a", kept);
        ReplicatedStore.PersistedEntries again = EntryFile.parsed("a", file);
        assertArrayEquals(file, EntryFile.octets("a", again));
        ReplicatedStore.PersistedEntries copied = EntryFile.parsed("b", file);
        assertEquals(List.of(), copied.words());
        assertEquals(4, copied.incarnation(), "it serves as a floor");
        for (int i = 0; i < file.length; i++) {
            byte[] spoilt = file.clone();
            spoilt[i] ^= 4;
            assertNull(EntryFile.parsed("a", spoilt));
            assertNull(EntryFile.parsed("a", java.util.Arrays.copyOf(file, i)));
        }
    }
}
