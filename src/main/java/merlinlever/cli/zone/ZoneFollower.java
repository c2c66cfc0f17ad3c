package merlinlever.cli.zone;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import merlinlever.net.Clock;
import merlinlever.net.Datagrams;
import merlinlever.net.Loop;
import merlinlever.sheet.Sheet;
import merlinlever.zone.client.Asker;
import merlinlever.zone.client.FollowerLink;
import merlinlever.zone.client.Updates;
import merlinlever.zone.follow.Follower;
import merlinlever.zone.record.Malformed;
import merlinlever.zone.record.Names;
import merlinlever.zone.record.Rdata;
import merlinlever.zone.record.Rec;
import merlinlever.zone.record.Types;
import merlinlever.zone.wire.Tsig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps a name on the live instances until it is told to leave. */
final class ZoneFollower {

    private static final Logger LOG = LoggerFactory.getLogger("follow");
    private static final Duration COMPARE = Duration.ofSeconds(1);

    private final Clock clock = Clock.system();
    private final Loop loop;
    private final Datagrams pulses;
    private final Asker asker;
    private final FollowerLink link;
    private final CountDownLatch over = new CountDownLatch(1);

    ZoneFollower(Sheet sheet) throws Sheet.Unusable {
        byte[] zone = Given.name(sheet, "zone");
        byte[] name = name(sheet, zone);
        boolean srv = sheet.text("type", "address").equals("SRV");
        if (srv && !sheet.has("port")) {
            throw sheet.fault("type", "SRV wants a port");
        }
        long ttl = ttl(sheet);
        List<String> names = new ArrayList<>();
        List<Rec> records = new ArrayList<>();
        for (Map.Entry<String, String> instance : sheet.pairs("instances").entrySet()) {
            names.add(instance.getKey());
            Rec record = record(sheet, name, zone, srv, ttl, instance);
            if (records.contains(record)) {
                throw sheet.fault("instances." + instance.getKey(), "another instance has this address");
            }
            records.add(record);
        }
        Tsig.Key key = sheet.has("key") ? Given.key(sheet, "key") : null;
        List<InetSocketAddress> servers = new ArrayList<>();
        for (int i = 0; i < sheet.size("servers"); i++) {
            servers.add(Given.address(sheet, "servers." + i));
        }
        SplittableRandom chance = new SplittableRandom(Given.seed(sheet));
        String holder = sheet.text("holder", "f" + Long.toHexString(chance.nextLong()));
        Follower.Stated stated = new Follower.Stated(
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
            loop = new Loop(clock, failure -> LOG.error("failed", failure));
            asker = new Asker(loop, chance.split(), () -> System.currentTimeMillis() / 1000);
            Follower follower = new Follower(clock.now(), stated, chance.split(), LOG::info);
            if (Updates.message(zone, List.of(), follower.largest(), key) == null) {
                throw sheet.fault("instances", records.size() + " records do not fit one update of 65,535 octets");
            }
            link = new FollowerLink(loop, asker, follower, servers, key, zone, name, names, Duration.ofSeconds(2));
            pulses = sheet.has("pulse")
                    ? new Datagrams(
                            loop, Given.address(sheet, "pulse"), 1024, (octets, from, waited) -> link.came(octets))
                    : null;
        } catch (IllegalArgumentException e) {
            throw sheet.fault("name", e.getMessage());
        } catch (IOException e) {
            throw new Sheet.Unusable("cannot listen on " + sheet.text("pulse", "") + ": " + e.getMessage());
        }
        loop.every(COMPARE, clock::compare);
    }

    private static byte[] name(Sheet sheet, byte[] zone) throws Sheet.Unusable {
        try {
            byte[] name = Names.parse(sheet.text("name", ""), zone);
            if (Names.under(name, zone)) {
                return name;
            }
        } catch (Malformed e) {
            throw sheet.fault("name", e.getMessage());
        }
        throw sheet.fault("name", "it is not in the zone " + Names.text(zone));
    }

    private static long ttl(Sheet sheet) throws Sheet.Unusable {
        long ttl = Rdata.seconds(sheet.text("ttl", "30"));
        if (ttl < 0) {
            throw sheet.fault("ttl", "expected seconds, or a span such as 30s or 5m");
        }
        return ttl;
    }

    private static Rec record(
            Sheet sheet, byte[] name, byte[] zone, boolean srv, long ttl, Map.Entry<String, String> instance)
            throws Sheet.Unusable {
        String value = instance.getValue();
        try {
            if (srv) {
                return new Rec(
                        name,
                        Types.SRV,
                        ttl,
                        Rdata.fromText(Types.SRV, List.of("0", "1", sheet.text("port", ""), value), zone));
            }
            boolean six = value.indexOf(':') >= 0;
            return new Rec(name, six ? Types.AAAA : Types.A, ttl, six ? Rdata.address6(value) : Rdata.address4(value));
        } catch (Malformed e) {
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
