package merlinlever.dns.client;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.storage.FileStateDirectory;
import merlinlever.dns.follow.Follower;
import merlinlever.dns.journal.ZoneStore;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.server.DnsServer;
import merlinlever.dns.server.NotifySender;
import merlinlever.dns.server.RequestProcessor;
import merlinlever.dns.server.ServedZone;
import merlinlever.dns.server.ZoneServerMetrics;
import merlinlever.dns.state.RecordSet;
import merlinlever.dns.state.ReplayWindow;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.state.UpdatePlan;
import merlinlever.dns.state.Zone;
import merlinlever.dns.text.ZoneFile;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.Opcode;
import merlinlever.dns.wire.Tsig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Follower and apply before our own front on loopback sockets. */
class FollowerAndApplyTest {

    private static final byte[] SECRET = "0123456789abcdef0123456789abcdef".getBytes(UTF_8);
    private static final String HEAD = "$ORIGIN example.org.\n$TTL 60\n@ IN SOA ns1 host 7 1h 15m 1w 5m\n@ NS ns1\n";

    @TempDir
    Path folder;

    private EventLoop loop;
    private DnsServer front;
    private ServedZone served;
    private DnsClient asker;
    private Tsig.TsigKey key;
    private Tsig.TsigKey next;
    private ZoneStore store;
    private FileStateDirectory state;
    private final ExecutorService disk = Executors.newSingleThreadExecutor();

    @BeforeEach
    void start() throws Exception {
        loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
        key = new Tsig.TsigKey(name("k."), "hmac-sha256", SECRET);
        next = new Tsig.TsigKey(name("n."), "hmac-sha384", SECRET);
        byte[] origin = name("example.org.");
        state = new FileStateDirectory(folder.resolve("state"));
        store = new ZoneStore(
                state, origin, disk, disk, loop, line -> {}, 1000, RequestProcessor.REPLAY_WINDOW.toSeconds());
        store.recover(origin);
        Zone zone = read(HEAD + "a A 1.1.1.1\nb A 1.1.1.2\nc TXT c\n");
        store.initialize(zone);
        served = new ServedZone(
                zone,
                Set.of("k.", "n."),
                Set.of("k."),
                store,
                new ReplayWindow(RequestProcessor.REPLAY_WINDOW.toSeconds()));
        front = new DnsServer(
                loop,
                new InetSocketAddress("127.0.0.1", 0),
                64,
                List.of(served),
                new Tsig.TsigKeyRing(List.of(key, next)),
                new RequestProcessor.ProcessorSettings(64, Duration.ofSeconds(1), true, 1),
                () -> System.currentTimeMillis() / 1000,
                line -> {},
                new ZoneServerMetrics(new SimpleMeterRegistry()));
        asker = new DnsClient(loop, new SplittableRandom(1), () -> System.currentTimeMillis() / 1000);
        new Thread(loop::run).start();
    }

    @AfterEach
    void stop() throws Exception {
        loop.execute(() -> {
            front.close();
            front.closeSockets();
            loop.stop();
        });
        disk.shutdown();
        disk.awaitTermination(2, TimeUnit.SECONDS);
        store.close();
        state.close();
        asker.close();
    }

    private static byte[] name(String text) {
        try {
            return DomainNames.absolute(text);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private Zone read(String text) throws Exception {
        return ZoneFile.read(Files.writeString(folder.resolve("z"), text), null);
    }

    private <T> T on(java.util.function.Supplier<T> what) throws Exception {
        CompletableFuture<T> got = new CompletableFuture<>();
        loop.execute(() -> got.complete(what.get()));
        return got.get(5, TimeUnit.SECONDS);
    }

    private final List<String> told = new ArrayList<>();

    private String apply(Zone wanted, boolean dryRun, Runnable afterPlan, Runnable afterFirst) throws Exception {
        CompletableFuture<String> ended = new CompletableFuture<>();
        InetSocketAddress to = front.address();
        loop.execute(() -> ZoneApplier.start(
                asker, to, key, Duration.ofSeconds(3), wanted, dryRun, new ZoneApplier.ProgressListener() {
                    @Override
                    public void planned(Zone live, List<UpdatePlan.Batch> batches) {
                        told.add("planned " + batches.size());
                        afterPlan.run();
                    }

                    @Override
                    public void done(int batch) {
                        told.add("done " + batch);
                        if (batch == 0) {
                            afterFirst.run();
                        }
                    }

                    @Override
                    public void ended(int done, String why) {
                        ended.complete(done + " " + why);
                    }
                }));
        return ended.get(20, TimeUnit.SECONDS);
    }

    private void change(String owner, byte[] data) {
        byte[] message = UpdateMessages.message(
                name("example.org."),
                List.of(),
                List.of(
                        new UpdateEntry(name(owner), RecordTypes.A, RecordTypes.CLASS_ANY, 0, null),
                        new UpdateEntry(name(owner), RecordTypes.A, RecordTypes.IN, 60, data)),
                next);
        try {
            // On the loop already: what was put first leaves first.
            asker.exchange(
                    front.address(),
                    message,
                    next,
                    Duration.ofSeconds(3),
                    answered -> told.add("other " + answered.describe()));
        } catch (java.io.IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void applyMakesTheLiveZoneSayWhatTheFileSaysAndTwiceIsNothing() throws Exception {
        Zone wanted = read(HEAD.replace("host 7", "host 8") + "a A 1.1.1.9\nc CNAME a\nd 5 A 1.1.1.3\nd 5 A 1.1.1.4\n");
        assertEquals("0 null", apply(wanted, true, () -> {}, () -> {}));
        assertEquals(7L, on(() -> served.zone().serial()));
        assertEquals("1 null", apply(wanted, false, () -> {}, () -> {}));
        assertEquals("0 null", apply(wanted, false, () -> {}, () -> {}));
        assertEquals("planned 0", told.get(told.size() - 1));
        assertEquals(8L, on(() -> served.zone().serial()));
    }

    @Test
    void anUpdateRefusedHalfWayStopsThereAndIsTold() throws Exception {
        StringBuilder many = new StringBuilder(HEAD);
        for (int i = 0; i < 2500; i++) {
            many.append("n")
                    .append(String.format("%05d", i))
                    .append(" A 10.0.")
                    .append(i / 250)
                    .append('.')
                    .append(i % 250)
                    .append('\n');
        }
        Zone wanted = read(many.toString());
        // Somebody else changes what a later batch is about, after the plan was made.
        String said = apply(wanted, false, () -> change("n02400.example.org.", new byte[] {6, 6, 6, 6}), () -> {});
        assertTrue(
                said.matches(
                        "[1-9] update [0-9]: YXRRSET: what it touches was changed by somebody else since the plan"),
                said + told);
        int done = Integer.parseInt(said.substring(0, 1));
        Zone half = on(() -> served.zone());
        assertTrue(done < 5 && half.records() > done * 400, half.records() + " " + said);
        assertEquals(
                6, half.set(name("n02400.example.org."), RecordTypes.A).data(0)[0], "what somebody else wrote stays");
        assertTrue(apply(wanted, false, () -> {}, () -> {}).endsWith(" null"));
        assertEquals(2502, on(() -> served.zone()).records());
    }

    @Test
    void keysChangeWhileUpdatesAreOnTheirWay() throws Exception {
        InetSocketAddress to = front.address();
        CompletableFuture<int[]> ended = new CompletableFuture<>();
        int[] counts = new int[2];
        loop.execute(() -> {
            for (int i = 0; i < 80; i++) {
                Tsig.TsigKey with = i < 40 ? key : next;
                byte[] message = UpdateMessages.message(
                        name("example.org."),
                        List.of(),
                        List.of(new UpdateEntry(
                                name("k" + i + ".example.org."), RecordTypes.A, RecordTypes.IN, 60, new byte[4])),
                        with);
                asker.exchange(to, message, with, Duration.ofSeconds(5), answered -> {
                    counts[answered.isSuccessful() ? 0 : 1]++;
                    if (counts[0] + counts[1] == 80) {
                        ended.complete(counts);
                    }
                });
            }
        });
        assertEquals(80, ended.get(10, TimeUnit.SECONDS)[0], "not satisfied: " + counts[1]);
        assertEquals(85, on(() -> served.zone()).records());
    }

    private TreeSet<Integer> tickets() throws Exception {
        RecordSet set = on(() -> served.zone().set(name("tickets.example.org."), RecordTypes.A));
        TreeSet<Integer> live = new TreeSet<>();
        for (int i = 0; set != null && i < set.size(); i++) {
            live.add((int) set.data(i)[3]);
        }
        return live;
    }

    private void await(TreeSet<Integer> wanted, long ms) throws Exception {
        long end = System.nanoTime() + ms * 1_000_000;
        while (!tickets().equals(wanted) && System.nanoTime() < end) {
            Thread.sleep(20);
        }
        assertEquals(wanted, tickets());
    }

    @Test
    void aNameFollowsReportsAndStaysWhenNearlyAllAreSilent() throws Exception {
        List<ResourceRecord> records = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            records.add(new ResourceRecord(
                    name("tickets.example.org."), RecordTypes.A, 30, new byte[] {127, 0, 1, (byte) i}));
            names.add("n" + i);
        }
        List<InetSocketAddress> servers = new ArrayList<>();
        try (DatagramSocket silent = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            // The first of the list takes datagrams and says nothing.
            servers.add((InetSocketAddress) silent.getLocalSocketAddress());
            servers.add(front.address());
            FollowerDriver[] link = new FollowerDriver[1];
            loop.execute(() -> link[0] = new FollowerDriver(
                    loop,
                    asker,
                    new Follower(
                            loop.clock().now(),
                            new Follower.FollowerSettings(
                                    name("tickets.example.org."),
                                    records,
                                    30,
                                    Duration.ofMillis(600),
                                    0.5,
                                    "web",
                                    "a",
                                    600,
                                    Duration.ofSeconds(10),
                                    Duration.ofSeconds(2),
                                    2),
                            new SplittableRandom(3),
                            event -> told.add(event.text())),
                    servers,
                    key,
                    name("example.org."),
                    name("tickets.example.org."),
                    names,
                    Duration.ofMillis(300)));
            boolean[] alive = {true, true, true, true};
            loop.execute(() -> loop.runNowAndEvery(Duration.ofMillis(100), () -> {
                for (int i = 0; i < 4; i++) {
                    if (alive[i]) {
                        link[0].receive(("PULSE n" + i + " open").getBytes(UTF_8));
                    }
                }
                link[0].receive("PULSE stranger open".getBytes(UTF_8));
                link[0].receive(new byte[600]);
            }));
            await(new TreeSet<>(List.of(0, 1, 2, 3)), 4000);
            loop.execute(() -> alive[2] = false);
            await(new TreeSet<>(List.of(0, 1, 3)), 3000);
            loop.execute(() -> link[0].receive("PULSE n3 closed".getBytes(UTF_8)));
            loop.execute(() -> alive[3] = false);
            await(new TreeSet<>(List.of(0, 1)), 3000);
            loop.execute(() -> alive[0] = false);
            Thread.sleep(1500);
            assertEquals(new TreeSet<>(List.of(0, 1)), tickets());
            loop.execute(() -> alive[0] = alive[2] = alive[3] = true);
            await(new TreeSet<>(List.of(0, 1, 2, 3)), 4000);
            assertTrue(on(() -> link[0].unknownPulses()) > 10);
        }
    }

    @Test
    void otherServersAreToldOfANewVersionUntilTheySayThatTheyHeard() throws Exception {
        try (DatagramSocket other = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            other.setSoTimeout(3000);
            InetSocketAddress to = (InetSocketAddress) other.getLocalSocketAddress();
            NotifySender notices = new NotifySender(loop, 4);
            loop.execute(() -> {
                served.addListener(zone -> notices.notifyOfChange(zone, List.of(to)));
                change("a.example.org.", new byte[] {5, 5, 5, 5});
            });
            for (int i = 0; i < 2; i++) {
                DatagramPacket got = new DatagramPacket(new byte[1500], 1500);
                other.receive(got);
                DnsMessage notice = DnsMessage.read(java.util.Arrays.copyOf(got.getData(), got.getLength()));
                assertEquals(Opcode.NOTIFY, notice.opcode());
                assertEquals(8, Zone.serial(notice.answers().get(0).data()));
                if (i == 1) {
                    got.getData()[2] |= (byte) 0x80;
                    other.send(got);
                }
            }
            other.setSoTimeout(2500);
            boolean more = true;
            try {
                other.receive(new DatagramPacket(new byte[1500], 1500));
            } catch (java.net.SocketTimeoutException e) {
                more = false;
            }
            assertTrue(!more, "told again after it was heard");
        }
    }
}
