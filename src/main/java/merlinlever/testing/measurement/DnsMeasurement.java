package merlinlever.testing.measurement;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.BufferedWriter;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.storage.FileStateDirectory;
import merlinlever.dns.client.DnsClient;
import merlinlever.dns.client.UpdateMessages;
import merlinlever.dns.follow.Follower;
import merlinlever.dns.follow.ObservedRecords;
import merlinlever.dns.journal.ZoneStore;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.server.DnsServer;
import merlinlever.dns.server.RequestProcessor;
import merlinlever.dns.server.ServedZone;
import merlinlever.dns.server.ZoneServerMetrics;
import merlinlever.dns.state.CopyOnWriteBTree;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.ReplayWindow;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.state.Zone;
import merlinlever.dns.text.ZoneFile;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.MessageWriter;
import merlinlever.dns.wire.Tsig;
import org.HdrHistogram.Histogram;
import org.xbill.DNS.Master;
import org.xbill.DNS.Name;

/** The measurements of docs/measurements/dns. */
public final class DnsMeasurement {

    private static final byte[] SECRET =
            "0123456789abcdef0123456789abcdef".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    private static final String HEAD =
            "$ORIGIN example.org.\n$TTL 60\n@ IN SOA ns1 host 1 3600 900 604800 300\n@ NS ns1\nns1 A 127.0.0.1\n";

    private final Path out;
    private final Path scratch;
    private final boolean quick;
    private final StringBuilder page = new StringBuilder();

    public DnsMeasurement(Path out, boolean quick) throws IOException {
        this.out = out;
        this.quick = quick;
        scratch = Files.createTempDirectory("measure");
    }

    public void run() throws Exception {
        page.append(
                        "# DNS: measurements\n\nMade by `java -Xmx6g -jar target/merlinlever.jar measure dns --out docs/measurements/dns")
                .append(quick ? " --quick" : "")
                .append("` on ")
                .append(Runtime.getRuntime().availableProcessors())
                .append(
                        " cores, loopback, state on the machine's own disk. Figures of one table come from one run on one machine;\n")
                .append("compare them with each other, not with other machines.\n\n");
        try {
            reading();
            index();
            updates();
            queries();
            truth();
        } finally {
            try (Stream<Path> left = Files.walk(scratch)) {
                left.sorted(Comparator.reverseOrder())
                        .forEach(path -> path.toFile().delete());
            }
        }
        Files.writeString(out.resolve("README.md"), page);
    }

    private static byte[] name(String text) {
        try {
            return DomainNames.absolute(text);
        } catch (MalformedDnsException e) {
            throw new IllegalStateException(e);
        }
    }

    private Path file(int records) throws IOException {
        Path file = scratch.resolve("zone-" + records);
        try (BufferedWriter to = Files.newBufferedWriter(file)) {
            to.write(HEAD);
            for (int i = 0; i < records - 3; i++) {
                switch (i % 4) {
                    case 0 -> to.write(
                            "host" + i + " A 10." + (i >> 16 & 255) + "." + (i >> 8 & 255) + "." + (i & 255) + "\n");
                    case 1 -> to.write("host" + i + ".sub" + i % 100 + " 300 IN AAAA 2001:db8::"
                            + Integer.toHexString(i & 0xffff) + "\n");
                    case 2 -> to.write("mail" + i + " MX 10 host" + (i - 2) + "\n");
                    default -> to.write("text" + i + " TXT \"value " + i + "\"\n");
                }
            }
        }
        return file;
    }

    private static long used() {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 4; i++) {
            System.gc();
            least = Math.min(
                    least,
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return least;
    }

    private static double seconds(long since) {
        return (System.nanoTime() - since) / 1e9;
    }

    // ---- reading

    private void reading() throws Exception {
        System.out.println("reading zone files");
        ResultTable table = new ResultTable(
                "reading",
                "Reading a zone file: ours, with all checks and the index, against the library's reader",
                "records",
                "ours s",
                "library s",
                "ratio of times",
                "ours bytes a record",
                "library bytes a record");
        for (int records : quick ? new int[] {10_000} : new int[] {10_000, 100_000, 1_000_000}) {
            Path file = file(records);
            double ours = Double.MAX_VALUE;
            double theirs = Double.MAX_VALUE;
            long oursBytes = 0;
            long theirBytes = 0;
            for (int round = 0; round < (records > 500_000 ? 3 : 5); round++) {
                long before = used();
                long began = System.nanoTime();
                Zone zone = ZoneFile.read(file, null);
                ours = Math.min(ours, seconds(began));
                oursBytes = used() - before;
                keep(zone.records());
                zone = null;
                before = used();
                began = System.nanoTime();
                List<org.xbill.DNS.Record> list = new ArrayList<>();
                try (Master master = new Master(file.toString(), Name.root)) {
                    for (org.xbill.DNS.Record record = master.nextRecord();
                            record != null;
                            record = master.nextRecord()) {
                        list.add(record);
                    }
                }
                theirs = Math.min(theirs, seconds(began));
                theirBytes = used() - before;
                keep(list.size());
            }
            table.row(
                    records, ours, theirs, ours / theirs, (double) oursBytes / records, (double) theirBytes / records);
            Files.delete(file);
        }
        page.append(table.write(out, "seconds", List.of(0), List.of(1, 2), true));
    }

    /** Written only, so that the measured calls are not optimised away. */
    @SuppressWarnings("UnusedVariable")
    private static volatile long kept;

    private static void keep(long value) {
        kept = value;
    }

    // ---- index

    private void index() throws IOException {
        System.out.println("index against a sorted map");
        ResultTable table = new ResultTable(
                "index",
                "Index against the plain sorted map of octets: microseconds",
                "names",
                "ours look",
                "map look",
                "ours neighbours",
                "map neighbours",
                "ours new version",
                "map new version (copy)",
                "ours bytes a name",
                "map bytes a name");
        for (int names : quick ? new int[] {10_000} : new int[] {10_000, 100_000, 1_000_000}) {
            List<byte[]> keys = new ArrayList<>();
            for (int i = 0; i < names; i++) {
                keys.add(DomainNames.key(name("host" + i * 7919L % names + ".example.org.")));
            }
            byte[][] asked = keys.toArray(new byte[0][]);
            keys.sort(Arrays::compareUnsigned);
            Integer value = 1;
            // Several of each, so that what else lies on the heap does not show.
            int copiesOf = Math.max(1, 1_000_000 / names);
            List<Integer> values = java.util.Collections.nCopies(names, value);
            List<CopyOnWriteBTree<Integer>> indices = new ArrayList<>();
            long before = used();
            for (int i = 0; i < copiesOf; i++) {
                indices.add(CopyOnWriteBTree.of(keys, values));
            }
            long oursBytes = (used() - before) / copiesOf;
            CopyOnWriteBTree<Integer> index = indices.get(0);
            keep(indices.size());
            indices = null;
            List<TreeMap<byte[], Integer>> maps = new ArrayList<>();
            before = used();
            for (int i = 0; i < copiesOf; i++) {
                TreeMap<byte[], Integer> one = new TreeMap<>(Arrays::compareUnsigned);
                keys.forEach(key -> one.put(key, value));
                maps.add(one);
            }
            long mapBytes = (used() - before) / copiesOf;
            TreeMap<byte[], Integer> map = maps.get(0);
            keep(maps.size());
            maps = null;
            int looks = 1_000_000;
            double[] micros = new double[6];
            Arrays.fill(micros, Double.MAX_VALUE);
            for (int round = 0; round < 3; round++) {
                long began = System.nanoTime();
                for (int i = 0; i < looks; i++) {
                    keep(index.get(asked[(int) (i * 31L % names)]));
                }
                micros[0] = Math.min(micros[0], seconds(began) / looks * 1e6);
                began = System.nanoTime();
                for (int i = 0; i < looks; i++) {
                    keep(map.get(asked[(int) (i * 31L % names)]));
                }
                micros[1] = Math.min(micros[1], seconds(began) / looks * 1e6);
                began = System.nanoTime();
                for (int i = 0; i < looks; i++) {
                    byte[] key = asked[(int) (i * 31L % names)];
                    keep(index.floor(key).value() + index.ceiling(key).value());
                }
                micros[2] = Math.min(micros[2], seconds(began) / looks * 1e6);
                began = System.nanoTime();
                for (int i = 0; i < looks; i++) {
                    byte[] key = asked[(int) (i * 31L % names)];
                    keep(map.floorEntry(key).getValue() + map.ceilingEntry(key).getValue());
                }
                micros[3] = Math.min(micros[3], seconds(began) / looks * 1e6);
                began = System.nanoTime();
                int changes = 100_000;
                for (int i = 0; i < changes; i++) {
                    index = index.with(asked[(int) (i * 31L % names)], value);
                }
                micros[4] = Math.min(micros[4], seconds(began) / changes * 1e6);
                began = System.nanoTime();
                int copies = names > 500_000 ? 2 : 5;
                for (int i = 0; i < copies; i++) {
                    TreeMap<byte[], Integer> copy = new TreeMap<>(map);
                    copy.put(asked[i], value);
                    keep(copy.size());
                }
                micros[5] = Math.min(micros[5], seconds(began) / copies * 1e6);
            }
            table.row(
                    names,
                    micros[0],
                    micros[1],
                    micros[2],
                    micros[3],
                    micros[4],
                    micros[5],
                    (double) oursBytes / names,
                    (double) mapBytes / names);
        }
        page.append(table.write(out, "microseconds", List.of(0), List.of(1, 2, 3, 4, 5, 6), true));
    }

    // ---- a front in this process

    private final class RunningServer implements java.io.Closeable {
        final EventLoop loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
        final FileStateDirectory folder;
        final ZoneStore store;
        final DnsServer front;
        final ExecutorService disk = Executors.newSingleThreadExecutor();
        final ExecutorService snapshots = Executors.newSingleThreadExecutor();
        final InetSocketAddress address;
        final Thread thread;

        RunningServer(Path file, boolean decided, int mostAWrite) throws Exception {
            folder = new FileStateDirectory(Files.createTempDirectory(scratch, "state"));
            byte[] origin = name("example.org.");
            store = new ZoneStore(
                    folder,
                    origin,
                    disk,
                    snapshots,
                    loop,
                    System.err::println,
                    1_000_000,
                    RequestProcessor.REPLAY_WINDOW.toSeconds());
            store.limitUpdatesPerWrite(mostAWrite);
            store.recover(origin);
            Zone zone = ZoneFile.read(file, origin);
            store.initialize(zone);
            ServedZone served = new ServedZone(
                    zone,
                    Set.of("k."),
                    Set.of("k."),
                    store,
                    new ReplayWindow(RequestProcessor.REPLAY_WINDOW.toSeconds()));
            Tsig.TsigKey key = new Tsig.TsigKey(name("k."), "hmac-sha256", SECRET);
            front = new DnsServer(
                    loop,
                    new InetSocketAddress("127.0.0.1", 0),
                    64,
                    List.of(served),
                    new Tsig.TsigKeyRing(List.of(key)),
                    new RequestProcessor.ProcessorSettings(1024, Duration.ofSeconds(1), decided, 1),
                    () -> System.currentTimeMillis() / 1000,
                    line -> {},
                    new ZoneServerMetrics(new SimpleMeterRegistry()));
            address = front.address();
            thread = new Thread(loop::run);
            thread.start();
        }

        @Override
        public void close() throws IOException {
            loop.execute(() -> {
                front.close();
                front.closeSockets();
                loop.stop();
            });
            try {
                thread.join();
                disk.shutdown();
                disk.awaitTermination(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            snapshots.shutdown();
            store.close();
            folder.close();
        }
    }

    // ---- updates

    private void updates() throws Exception {
        System.out.println("updates a second");
        ResultTable table = new ResultTable(
                "updates",
                "Signed updates a second, each on the disk before its answer",
                "clients",
                "one a force",
                "many a force",
                "ratio",
                "p99 ms one a force",
                "p99 ms many a force");
        Path file = file(10_000);
        // The first play of anything is one of cold code.
        updates(file, 16, Integer.MAX_VALUE);
        for (int clients : quick ? new int[] {1, 16} : new int[] {1, 4, 16, 64, 256}) {
            double[] one = updates(file, clients, 1);
            double[] many = updates(file, clients, Integer.MAX_VALUE);
            table.row(clients, one[0], many[0], many[0] / one[0], one[1], many[1]);
        }
        page.append(table.write(out, "updates a second", List.of(0), List.of(1, 2), true));
    }

    private double[] updates(Path file, int clients, int mostAWrite) throws Exception {
        Duration span = Duration.ofSeconds(quick ? 1 : 4);
        try (RunningServer server = new RunningServer(file, true, mostAWrite)) {
            EventLoop loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
            DnsClient asker = new DnsClient(loop, new SplittableRandom(1), () -> System.currentTimeMillis() / 1000);
            Tsig.TsigKey key = new Tsig.TsigKey(name("k."), "hmac-sha256", SECRET);
            Histogram times = new Histogram(60_000_000L, 3);
            int[] counts = new int[2];
            long begin = System.nanoTime();
            long end = begin + span.toNanos();
            class Client {
                int turn;

                void go(int number) {
                    if (System.nanoTime() > end) {
                        return;
                    }
                    byte[] owner = name("u" + number + "-" + turn++ % 50 + ".example.org.");
                    byte[] message = UpdateMessages.message(
                            name("example.org."),
                            List.of(),
                            List.of(
                                    new UpdateEntry(owner, RecordTypes.A, RecordTypes.CLASS_ANY, 0, null),
                                    new UpdateEntry(owner, RecordTypes.A, RecordTypes.IN, 60, new byte[] {
                                        10, (byte) number, (byte) (turn >> 8), (byte) turn
                                    })),
                            key);
                    long asked = System.nanoTime();
                    asker.exchange(server.address, message, key, Duration.ofSeconds(5), answered -> {
                        if (answered.isSuccessful()) {
                            counts[0]++;
                            times.recordValue(Math.min(60_000_000L, (System.nanoTime() - asked) / 1000));
                        } else {
                            counts[1]++;
                        }
                        go(number);
                    });
                }
            }
            for (int i = 0; i < clients; i++) {
                int number = i;
                loop.execute(() -> new Client().go(number));
            }
            loop.schedule(span.plusMillis(500), loop::stop);
            loop.run();
            asker.close();
            if (counts[1] > counts[0] / 10) {
                System.out.println("  (" + counts[1] + " of " + (counts[0] + counts[1]) + " not satisfied)");
            }
            return new double[] {counts[0] / (span.toMillis() / 1000.0), times.getValueAtPercentile(99) / 1000.0};
        }
    }

    // ---- queries

    private void queries() throws Exception {
        System.out.println("queries a second");
        ResultTable table = new ResultTable(
                "queries",
                "Queries over UDP, zone of 100,000 records, with and without the decision module",
                "clients",
                "in hand each",
                "decided a s",
                "undecided a s",
                "ratio",
                "p99 ms decided",
                "p99 ms undecided");
        Path file = file(quick ? 10_000 : 100_000);
        queries(file, 4, 8, true);
        queries(file, 4, 8, false);
        for (int[] load : quick ? new int[][] {{1, 1}, {4, 8}} : new int[][] {{1, 1}, {2, 4}, {4, 8}, {4, 32}}) {
            double[][] best = new double[2][];
            for (int round = 0; round < 2; round++) {
                for (int decided = 0; decided < 2; decided++) {
                    double[] got = queries(file, load[0], load[1], decided == 0);
                    best[decided] = best[decided] == null || got[0] > best[decided][0] ? got : best[decided];
                }
            }
            table.row(load[0], load[1], best[0][0], best[1][0], best[0][0] / best[1][0], best[0][1], best[1][1]);
        }
        page.append(table.write(out, "queries a second", List.of(0, 1), List.of(2, 3), false));
    }

    private double[] queries(Path file, int clients, int each, boolean decided) throws Exception {
        try (RunningServer server = new RunningServer(file, decided, Integer.MAX_VALUE)) {
            List<CompletableFuture<Histogram>> all = new ArrayList<>();
            long end = System.nanoTime() + (quick ? 1_000_000_000L : 3_000_000_000L);
            ExecutorService threads = Executors.newCachedThreadPool();
            for (int i = 0; i < clients; i++) {
                int client = i;
                all.add(CompletableFuture.supplyAsync(() -> ask(server.address, each, client, end), threads));
            }
            Histogram sum = new Histogram(60_000_000L, 3);
            for (CompletableFuture<Histogram> one : all) {
                sum.add(one.get());
            }
            threads.shutdown();
            return new double[] {sum.getTotalCount() / (quick ? 1.0 : 3.0), sum.getValueAtPercentile(99) / 1000.0};
        }
    }

    private static Histogram ask(InetSocketAddress server, int inHand, int client, long end) {
        Histogram times = new Histogram(60_000_000L, 3);
        SplittableRandom chance = new SplittableRandom(client);
        long[] sentAt = new long[0x10000];
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.connect(server);
            socket.setSoTimeout(200);
            int id = 0;
            DatagramPacket got = new DatagramPacket(new byte[2048], 2048);
            int open = 0;
            while (System.nanoTime() < end) {
                while (open < inHand) {
                    id = id + 1 & 0xffff;
                    int host = chance.nextInt(2500) * 4;
                    byte[] question = new MessageWriter(id, DnsMessage.RECURSION_DESIRED, 512)
                            .question(name("host" + host + ".example.org."), RecordTypes.A, RecordTypes.IN)
                            .toBytes();
                    sentAt[id] = System.nanoTime();
                    socket.send(new DatagramPacket(question, question.length));
                    open++;
                }
                try {
                    got.setLength(2048);
                    socket.receive(got);
                    byte[] data = got.getData();
                    int answered = (data[0] & 0xff) << 8 | (data[1] & 0xff);
                    if ((data[3] & 15) == 0) {
                        times.recordValue(Math.min(60_000_000L, (System.nanoTime() - sentAt[answered]) / 1000));
                    }
                    open--;
                } catch (SocketTimeoutException e) {
                    open = 0;
                }
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return times;
    }

    // ---- truth, in virtual time

    private void truth() throws IOException {
        System.out.println("time until the name tells the truth (virtual time)");
        ResultTable table = new ResultTable(
                "truth",
                "Simulated seconds until the name tells the truth after instances die at once (lapse 3 s, reports each second)",
                "instances",
                "die %",
                "datagrams lost %",
                "median s",
                "worst s",
                "wrong removals a minute before");
        for (int instances : quick ? new int[] {40} : new int[] {40, 300, 3000}) {
            for (int share : new int[] {1, 20, 50}) {
                for (int loss : new int[] {0, 25}) {
                    List<Double> times = new ArrayList<>();
                    double wrong = 0;
                    int rounds = quick ? 3 : instances > 1000 ? 5 : 15;
                    for (int round = 0; round < rounds; round++) {
                        double[] got = truth(instances, share, loss, 100 + round);
                        times.add(got[0]);
                        wrong += got[1];
                    }
                    times.sort(null);
                    table.row(
                            instances,
                            share,
                            loss,
                            times.get(times.size() / 2),
                            times.get(times.size() - 1),
                            wrong / rounds);
                }
            }
        }
        page.append(table.write(out, "seconds", List.of(0, 1, 2), List.of(3, 4), false));
    }

    private static double[] truth(int instances, int share, int loss, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        byte[] at = name("tickets.example.org.");
        byte[] claim = name("_merlinlever.tickets.example.org.");
        List<ResourceRecord> records = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            records.add(new ResourceRecord(at, RecordTypes.A, 30, new byte[] {10, 0, (byte) (i >> 8), (byte) i}));
        }
        byte[] soa = new byte[22];
        Zone[] zone = {
            Zone.of(
                    name("example.org."),
                    List.of(
                            new ResourceRecord(name("example.org."), RecordTypes.SOA, 60, soa),
                            new ResourceRecord(name("example.org."), RecordTypes.NS, 60, at)))
        };
        // With a share that half of the fleet does not go under: what is measured is the time, not the guard.
        Follower follower = new Follower(
                Duration.ZERO,
                new Follower.FollowerSettings(
                        at,
                        records,
                        30,
                        Duration.ofSeconds(3),
                        0.4,
                        "web",
                        "a",
                        60,
                        Duration.ofSeconds(60),
                        Duration.ofSeconds(20),
                        1),
                chance.split(),
                line -> {});
        boolean[] alive = new boolean[instances];
        Arrays.fill(alive, true);
        int[] phase = new int[instances];
        Arrays.setAll(phase, i -> chance.nextInt(1000) / 50 * 50);
        long dies = 90_000;
        int dead = Math.max(1, instances * share / 100);
        TreeMap<Long, List<Runnable>> later = new TreeMap<>();
        double wrong = 0;
        for (long ms = 0; ms < dies + 60_000; ms += 50) {
            Duration now = Duration.ofMillis(ms);
            while (!later.isEmpty() && later.firstKey() <= ms) {
                later.pollFirstEntry().getValue().forEach(Runnable::run);
            }
            if (ms == dies) {
                for (int i = 0; i < dead; i++) {
                    alive[i] = false;
                }
            }
            for (int i = 0; i < instances; i++) {
                if (alive[i] && ms % 1000 == phase[i] && chance.nextInt(100) >= loss) {
                    follower.heard(now, i, true);
                }
            }
            Follower.Step step = follower.settle(now);
            long back = ms + 5 + chance.nextInt(10);
            if (step instanceof Follower.ReadStep read) {
                later.computeIfAbsent(back, k -> new ArrayList<>())
                        .add(() -> read.answered(
                                Duration.ofMillis(back),
                                new ObservedRecords(
                                        zone[0].serial(),
                                        set(zone[0], claim, RecordTypes.TXT),
                                        set(zone[0], at, RecordTypes.A))));
            } else if (step instanceof Follower.WriteStep write) {
                DynamicUpdate.UpdateResult outcome =
                        DynamicUpdate.apply(zone[0], write.prerequisites(), write.changes());
                if (ms < dies && ms > 30_000 && outcome.difference() != null) {
                    wrong += outcome.difference().removed().stream()
                            .filter(rec -> rec.type() == RecordTypes.A)
                            .count();
                }
                zone[0] = outcome.zone();
                later.computeIfAbsent(back, k -> new ArrayList<>())
                        .add(() -> write.answered(Duration.ofMillis(back), outcome.code()));
            }
            if (ms > dies
                    && set(zone[0], at, RecordTypes.A).stream()
                            .noneMatch(rec -> ((rec.data()[2] & 0xff) << 8 | (rec.data()[3] & 0xff)) < dead)) {
                return new double[] {(ms - dies) / 1000.0, wrong};
            }
        }
        return new double[] {60, wrong};
    }

    private static List<ResourceRecord> set(Zone zone, byte[] owner, int type) {
        List<ResourceRecord> records = new ArrayList<>();
        if (zone.set(owner, type) != null) {
            zone.set(owner, type).forEachRecord(owner, records::add);
        }
        return records;
    }
}
