package merlinlever.cli.dns;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.dns.client.DnsClient;
import merlinlever.dns.client.UpdateMessages;
import merlinlever.dns.client.ZoneFetcher;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.state.RecordSet;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.state.Zone;
import merlinlever.dns.wire.Tsig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The real process, killed under updates again and again; what clients were answered is audited after each start. */
class ZoneServerKillTest {

    private static final int KILLS = Integer.getInteger("zone.kills", 6);
    private static final int CLIENTS = 8;
    private static final int MIN_ANSWERS = 10;
    private static final byte[] SECRET = "0123456789abcdef0123456789abcdef".getBytes(UTF_8);
    private static final byte[] ORIGIN = name("example.org.");

    @TempDir
    Path folder;

    private static byte[] name(String text) {
        try {
            return DomainNames.absolute(text);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private Process process;
    private InetSocketAddress address;
    private BufferedReader log;

    private void launchServer() throws Exception {
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+UseSerialGC",
                        "-Xmx128m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "merlinlever.cli.Main",
                        "zone",
                        "serve",
                        "--config",
                        folder.resolve("c.yaml").toString())
                .redirectErrorStream(true)
                .start();
        log = new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8));
        StringBuilder said = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            said.append(line).append('\n');
            int at = line.indexOf("listening address=");
            if (at >= 0) {
                address =
                        new InetSocketAddress("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
                return;
            }
        }
        throw new AssertionError("did not start: " + said);
    }

    @Test
    void answeredUpdatesSurviveEveryKill() throws Exception {
        writeFilesWithSnapshots();
        SplittableRandom chance = new SplittableRandom(Long.getLong("zone.seed", 8));
        Tsig.TsigKey key = new Tsig.TsigKey(name("k."), "hmac-sha256", SECRET);
        EventLoop loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
        DnsClient asker = new DnsClient(loop, chance.split(), () -> System.currentTimeMillis() / 1000);
        new Thread(loop::run).start();
        int[] sent = new int[CLIENTS];
        int[] answered = new int[CLIENTS];
        int[] before = new int[CLIENTS];
        int all = 0;
        try {
            for (int kill = 0; kill <= KILLS; kill++) {
                launchServer();
                if (kill > 0) {
                    Zone zone = fetch(loop, asker, key);
                    for (int i = 0; i < CLIENTS; i++) {
                        int there = lastUpdate(zone, i);
                        assertTrue(
                                there >= answered[i] && there <= sent[i],
                                "kill " + kill + ": answered " + answered[i] + ", sent " + sent[i] + ", there "
                                        + there);
                        all += there - before[i];
                        before[i] = there;
                        answered[i] = there;
                        sent[i] = there;
                    }
                }
                if (kill == KILLS) {
                    break;
                }
                InetSocketAddress to = address;
                boolean[] over = {false};
                loop.execute(() -> {
                    for (int i = 0; i < CLIENTS; i++) {
                        sendUpdates(asker, to, key, i, sent, answered, over);
                    }
                });
                Thread.sleep(20 + chance.nextInt(400));
                process.destroyForcibly().waitFor();
                endUpdates(loop, over);
            }
            assertTrue(all > 100, "updates were answered: " + all);
            process.destroy();
            assertTrue(process.waitFor(5, TimeUnit.SECONDS));
            assertEquals(143, process.exitValue());
        } finally {
            process.destroyForcibly();
            asker.close();
            loop.stop();
        }
    }

    private void writeFilesWithSnapshots() throws Exception {
        Files.writeString(folder.resolve("k"), Base64.getEncoder().encodeToString(SECRET));
        Files.writeString(
                folder.resolve("z"), "$ORIGIN example.org.\n$TTL 60\n@ IN SOA ns1 host 7 1h 15m 1w 5m\n@ NS ns1\n");
        Files.writeString(
                folder.resolve("c.yaml"),
                """
                listen: 127.0.0.1:0
                state: state
                snapshot-after: 200
                stop: 1s
                keys: [{name: k., secret-file: k}]
                zones: [{origin: example.org., file: z, update: [k.], transfer: [k.]}]
                """);
    }

    /** The number of the last update of the client that the zone holds, 0 for none. */
    private static int lastUpdate(Zone zone, int client) {
        RecordSet texts = zone.set(name("c" + client + ".example.org."), RecordTypes.TXT);
        return texts == null ? 0 : Integer.parseInt(new String(texts.data(0), UTF_8).substring(1));
    }

    private static void endUpdates(EventLoop loop, boolean[] over) throws Exception {
        CompletableFuture<Boolean> ended = new CompletableFuture<>();
        loop.execute(() -> {
            over[0] = true;
            ended.complete(true);
        });
        ended.get(2, TimeUnit.SECONDS);
    }

    private static Zone fetch(EventLoop loop, DnsClient asker, InetSocketAddress address, Tsig.TsigKey key)
            throws Exception {
        CompletableFuture<ZoneFetcher.FetchResult> ended = new CompletableFuture<>();
        loop.execute(() -> ZoneFetcher.zone(asker, address, ORIGIN, key, ended::complete));
        ZoneFetcher.FetchResult fetched = ended.get(9, TimeUnit.SECONDS);
        assertNotNull(fetched.zone(), fetched.failure());
        return fetched.zone();
    }

    private Zone fetch(EventLoop loop, DnsClient asker, Tsig.TsigKey key) throws Exception {
        return fetch(loop, asker, address, key);
    }

    private static void sendUpdates(
            DnsClient asker,
            InetSocketAddress to,
            Tsig.TsigKey key,
            int client,
            int[] sent,
            int[] answered,
            boolean[] over) {
        if (over[0]) {
            return;
        }
        int number = ++sent[client];
        byte[] owner = name("c" + client + ".example.org.");
        byte[] text = (" " + number).getBytes(UTF_8);
        text[0] = (byte) (text.length - 1);
        byte[] message = UpdateMessages.message(
                ORIGIN,
                List.of(),
                List.of(
                        new UpdateEntry(owner, RecordTypes.TXT, RecordTypes.CLASS_ANY, 0, null),
                        new UpdateEntry(owner, RecordTypes.TXT, RecordTypes.IN, 60, text)),
                key);
        asker.exchange(to, message, key, Duration.ofSeconds(1), ended -> {
            if (ended.isSuccessful() && !over[0]) {
                answered[client] = number;
                sendUpdates(asker, to, key, client, sent, answered, over);
            }
        });
    }

    private void awaitLine(String part) throws Exception {
        StringBuilder said = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            said.append(line).append('\n');
            if (line.contains(part)) {
                return;
            }
        }
        throw new AssertionError("not said: " + part + "\n" + said);
    }

    @Test
    void invalidFileUnderLoadChangesNothingAndAValidOneIsTakenWhole() throws Exception {
        String good = "$ORIGIN example.org.\n$TTL 60\n@ IN SOA ns1 host 7 1h 15m 1w 5m\n@ NS ns1\nold TXT a\n";
        Files.writeString(folder.resolve("k"), Base64.getEncoder().encodeToString(SECRET));
        Files.writeString(folder.resolve("z"), good);
        Files.writeString(
                folder.resolve("c.yaml"),
                """
                listen: 127.0.0.1:0
                state: state
                stop: 1s
                keys: [{name: k., secret-file: k}]
                zones: [{origin: example.org., file: z, update: [k.], transfer: [k.]}]
                """);
        Tsig.TsigKey key = new Tsig.TsigKey(name("k."), "hmac-sha256", SECRET);
        EventLoop loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
        DnsClient asker = new DnsClient(loop, new SplittableRandom(1), () -> System.currentTimeMillis() / 1000);
        new Thread(loop::run).start();
        try {
            launchServer();
            int[] sent = new int[CLIENTS];
            int[] answered = new int[CLIENTS];
            boolean[] over = {false};
            InetSocketAddress to = address;
            loop.execute(() -> {
                for (int i = 0; i < CLIENTS; i++) {
                    sendUpdates(asker, to, key, i, sent, answered, over);
                }
            });
            // The load is there before the files change, however slow the machine is.
            awaitAnswers(loop, answered, MIN_ANSWERS);
            Files.writeString(folder.resolve("z"), good.replace("host 7", "host 9000000") + "bad A 1.2.3\n");
            new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor();
            awaitLine("/z:6: not an IPv4 address: 1.2.3");
            Zone zone = fetch(loop, asker, key);
            assertNotNull(zone.set(name("old.example.org."), RecordTypes.TXT));
            assertTrue(zone.serial() < 9_000_000);
            Files.writeString(
                    folder.resolve("z"), good.replace("host 7", "host 9000000").replace("old", "new"));
            new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor();
            awaitLine("zone file loaded: serial 9000000");
            // Seen once it is on the disk.
            for (int i = 0; i < 100 && zone.serial() < 9_000_000; i++) {
                Thread.sleep(20);
                zone = fetch(loop, asker, key);
            }
            assertEquals(null, zone.set(name("old.example.org."), RecordTypes.TXT));
            assertNotNull(zone.set(name("new.example.org."), RecordTypes.TXT));
            loop.execute(() -> over[0] = true);
            assertTrue(countAnswers(loop, answered) > MIN_ANSWERS);
        } finally {
            process.destroyForcibly();
            asker.close();
            loop.stop();
        }
    }

    private static int countAnswers(EventLoop loop, int[] answered) throws Exception {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        loop.execute(() -> count.complete(Arrays.stream(answered).sum()));
        return count.get(2, TimeUnit.SECONDS);
    }

    /** Waits until more than that many updates were answered, for 20 s at most. */
    private static void awaitAnswers(EventLoop loop, int[] answered, int count) throws Exception {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (countAnswers(loop, answered) <= count) {
            assertTrue(System.nanoTime() < end, "updates are not answered under load");
            Thread.sleep(5);
        }
    }
}
