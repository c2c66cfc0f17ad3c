package merlinlever.dns.server;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.storage.FileStateDirectory;
import merlinlever.dns.journal.ZoneStore;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.state.ReplayWindow;
import merlinlever.dns.text.ZoneFile;
import merlinlever.dns.wire.Tsig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.TSIG;

/** Starts a DNS server on loopback sockets. The client is dnsjava, an independent implementation of the protocol. */
abstract class DnsServerFixture {

    static final String ZONE =
            """
            $ORIGIN example.org.
            $TTL 60
            @ IN SOA ns1 host 7 3600 900 604800 300
              NS ns1
            ns1 A 127.0.0.1
            tickets A 127.0.1.1
            tickets A 127.0.1.2
            *.w TXT wild
            a.b AAAA ::1
            sub NS ns.sub
            ns.sub A 127.0.0.9
            alias CNAME tickets
            """;
    static final byte[] SECRET = "0123456789abcdef0123456789abcdef".getBytes(UTF_8);

    @TempDir
    Path folder;

    EventLoop loop;
    DnsServer server;
    ServedZone zone;
    FileStateDirectory state;
    ZoneStore store;
    final ExecutorService threads = Executors.newCachedThreadPool();
    InetSocketAddress address;
    long clockOffsetSeconds;

    @BeforeEach
    void start() throws Exception {
        Path file = Files.writeString(folder.resolve("z"), ZONE);
        loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
        byte[] origin = DomainNames.absolute("example.org.");
        state = new FileStateDirectory(folder.resolve("state"));
        store = new ZoneStore(
                state,
                origin,
                Executors.newSingleThreadExecutor(),
                threads,
                loop,
                line -> {},
                50,
                RequestProcessor.REPLAY_WINDOW.toSeconds());
        ZoneStore.RecoveredZone recovered = store.recover(origin);
        ReplayWindow replays = new ReplayWindow(RequestProcessor.REPLAY_WINDOW.toSeconds());
        if (recovered == null) {
            store.initialize(ZoneFile.read(file, origin));
        } else {
            recovered.replayKeys().forEach(replayKey -> replays.add(replayKey.unixSeconds(), replayKey.key()));
        }
        zone = new ServedZone(
                recovered == null ? ZoneFile.read(file, origin) : recovered.zone(),
                Set.of("updater.", "next."),
                Set.of("updater."),
                store,
                replays);
        List<Tsig.TsigKey> keys = List.of(
                new Tsig.TsigKey(DomainNames.absolute("updater."), "hmac-sha256", SECRET),
                new Tsig.TsigKey(DomainNames.absolute("next."), "hmac-sha512", new byte[48]),
                new Tsig.TsigKey(DomainNames.absolute("reader."), "hmac-sha256", new byte[48]));
        server = new DnsServer(
                loop,
                new DnsServer.ListenSettings(new InetSocketAddress("127.0.0.1", 0), 8),
                new RequestProcessor.ZonesAndKeys(List.of(zone), new Tsig.TsigKeyRing(keys)),
                new RequestProcessor.ProcessorSettings(64, Duration.ofMillis(200), true, 1),
                () -> System.currentTimeMillis() / 1000 + clockOffsetSeconds,
                line -> {},
                new ZoneServerMetrics(new SimpleMeterRegistry()));
        address = server.address();
        threads.execute(loop::run);
    }

    @AfterEach
    void stop() throws Exception {
        loop.execute(() -> {
            server.close();
            server.closeSockets();
            loop.stop();
        });
        Thread.sleep(50);
        store.close();
        state.close();
    }

    static TSIG key() {
        return new TSIG(TSIG.HMAC_SHA256, Name.fromConstantString("updater."), SECRET);
    }

    SimpleResolver resolver(TSIG key) throws Exception {
        SimpleResolver resolver = new SimpleResolver(address);
        resolver.setTimeout(Duration.ofSeconds(3));
        resolver.setTSIGKey(key);
        return resolver;
    }

    static Message newQuery(String name, int type) throws Exception {
        return Message.newQuery(Record.newRecord(new Name(name), type, DClass.IN));
    }

    Message query(String name, int type) throws Exception {
        return resolver(null).send(newQuery(name, type));
    }
}
