package merlinlever.cli.zone;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import merlinlever.config.ConfigFile;
import merlinlever.net.DatagramEndpoint;
import merlinlever.net.EventLoop;
import merlinlever.net.MonotonicClock;
import merlinlever.zone.client.DnsClient;
import merlinlever.zone.client.FollowerDriver;
import merlinlever.zone.client.UpdateMessages;
import merlinlever.zone.follow.Follower;
import merlinlever.zone.record.DomainNames;
import merlinlever.zone.record.MalformedDnsException;
import merlinlever.zone.record.Rdata;
import merlinlever.zone.record.RecordTypes;
import merlinlever.zone.record.ResourceRecord;
import merlinlever.zone.wire.Tsig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps a name on the live instances until it is told to leave. */
final class ZoneFollowerProcess {

    private static final Logger LOG = LoggerFactory.getLogger("follow");
    private static final Duration COMPARE = Duration.ofSeconds(1);

    private final MonotonicClock clock = MonotonicClock.system();
    private final EventLoop loop;
    private final DatagramEndpoint pulses;
    private final DnsClient asker;
    private final FollowerDriver link;
    private final CountDownLatch over = new CountDownLatch(1);

    ZoneFollowerProcess(ConfigFile sheet) throws ConfigFile.InvalidConfigFileException {
        byte[] zone = ZoneConfigParser.name(sheet, "zone");
        byte[] name = name(sheet, zone);
        boolean srv = sheet.text("type", "address").equals("SRV");
        if (srv && !sheet.has("port")) {
            throw sheet.fault("type", "SRV wants a port");
        }
        long ttl = ttl(sheet);
        List<String> names = new ArrayList<>();
        List<ResourceRecord> records = new ArrayList<>();
        for (Map.Entry<String, String> instance : sheet.pairs("instances").entrySet()) {
            names.add(instance.getKey());
            ResourceRecord record = record(sheet, name, zone, srv, ttl, instance);
            if (records.contains(record)) {
                throw sheet.fault("instances." + instance.getKey(), "another instance has this address");
            }
            records.add(record);
        }
        Tsig.TsigKey key = sheet.has("key") ? ZoneConfigParser.key(sheet, "key") : null;
        List<InetSocketAddress> servers = new ArrayList<>();
        for (int i = 0; i < sheet.size("servers"); i++) {
            servers.add(ZoneConfigParser.address(sheet, "servers." + i));
        }
        SplittableRandom chance = new SplittableRandom(ZoneConfigParser.seed(sheet));
        String holder = sheet.text("holder", "f" + Long.toHexString(chance.nextLong()));
        Follower.FollowerSettings stated = new Follower.FollowerSettings(
                name,
                records,
                ttl,
                sheet.span("lapse", Duration.ofSeconds(3)),
                sheet.share("keep-at-least", 0.5),
                sheet.text("owner", "fleet"),
                holder,
                (int) sheet.number("most-updates", 60),
                sheet.span("damp", Duration.ofSeconds(60)),
                sheet.span("beat", Duration.ofSeconds(20)),
                servers.size());
        try {
            loop = new EventLoop(clock, failure -> LOG.error("failed", failure));
            asker = new DnsClient(loop, chance.split(), () -> System.currentTimeMillis() / 1000);
            Follower follower = new Follower(clock.now(), stated, chance.split(), LOG::info);
            if (UpdateMessages.message(zone, List.of(), follower.largest(), key) == null) {
                throw sheet.fault("instances", records.size() + " records do not fit one update of 65,535 octets");
            }
            link = new FollowerDriver(loop, asker, follower, servers, key, zone, name, names, Duration.ofSeconds(2));
            pulses = sheet.has("pulse")
                    ? new DatagramEndpoint(
                            loop,
                            ZoneConfigParser.address(sheet, "pulse"),
                            1024,
                            (octets, from, waited) -> link.came(octets))
                    : null;
        } catch (IllegalArgumentException e) {
            throw sheet.fault("name", e.getMessage());
        } catch (IOException e) {
            throw new ConfigFile.InvalidConfigFileException(
                    "cannot listen on " + sheet.text("pulse", "") + ": " + e.getMessage());
        }
        loop.every(COMPARE, clock::compare);
    }

    private static byte[] name(ConfigFile sheet, byte[] zone) throws ConfigFile.InvalidConfigFileException {
        try {
            byte[] name = DomainNames.parse(sheet.text("name", ""), zone);
            if (DomainNames.under(name, zone)) {
                return name;
            }
        } catch (MalformedDnsException e) {
            throw sheet.fault("name", e.getMessage());
        }
        throw sheet.fault("name", "it is not in the zone " + DomainNames.text(zone));
    }

    private static long ttl(ConfigFile sheet) throws ConfigFile.InvalidConfigFileException {
        long ttl = Rdata.seconds(sheet.text("ttl", "30"));
        if (ttl < 0) {
            throw sheet.fault("ttl", "expected seconds, or a span such as 30s or 5m");
        }
        return ttl;
    }

    private static ResourceRecord record(
            ConfigFile sheet, byte[] name, byte[] zone, boolean srv, long ttl, Map.Entry<String, String> instance)
            throws ConfigFile.InvalidConfigFileException {
        String value = instance.getValue();
        try {
            if (srv) {
                return new ResourceRecord(
                        name,
                        RecordTypes.SRV,
                        ttl,
                        Rdata.fromText(RecordTypes.SRV, List.of("0", "1", sheet.text("port", ""), value), zone));
            }
            boolean six = value.indexOf(':') >= 0;
            return new ResourceRecord(
                    name,
                    six ? RecordTypes.AAAA : RecordTypes.A,
                    ttl,
                    six ? Rdata.address6(value) : Rdata.address4(value));
        } catch (MalformedDnsException e) {
            throw sheet.fault("instances." + instance.getKey(), e.getMessage());
        }
    }

    void run() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            // What is on its way may be done or not: the next follower finds it by reading.
            loop.execute(loop::stop);
            try {
                over.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        try {
            LOG.info(
                    "following{}",
                    pulses == null
                            ? ""
                            : " on " + pulses.address().getAddress().getHostAddress() + ":"
                                    + pulses.address().getPort());
            loop.run();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } finally {
            LOG.info("ended; {} datagrams were no report of a known instance", link.unknown());
            asker.close();
            over.countDown();
        }
    }
}
