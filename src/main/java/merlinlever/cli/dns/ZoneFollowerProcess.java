package merlinlever.cli.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.cli.service.ServiceRunner;
import merlinlever.cli.service.Slf4jEventLog;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.InvalidConfigFileException;
import merlinlever.common.net.DatagramEndpoint;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.net.SocketAddresses;
import merlinlever.dns.client.DnsClient;
import merlinlever.dns.client.FollowerDriver;
import merlinlever.dns.client.UpdateMessages;
import merlinlever.dns.follow.Follower;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.IpAddresses;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.record.Rdata;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.record.TimeToLive;
import merlinlever.dns.wire.Tsig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The process of {@code zone follow}: assembles the follower that keeps a domain name on the live instances, and runs it. */
final class ZoneFollowerProcess {

    private static final Logger LOG = LoggerFactory.getLogger("follow");
    private static final Duration CLOCK_COMPARISON_PERIOD = Duration.ofSeconds(1);
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_PULSE_BYTES = 1024;
    private static final Duration DEFAULT_LAPSE = Duration.ofSeconds(3);
    private static final Duration DEFAULT_DAMPING_HALF_LIFE = Duration.ofSeconds(60);
    private static final Duration DEFAULT_HEARTBEAT_INTERVAL = Duration.ofSeconds(20);
    private static final double DEFAULT_MIN_ALIVE_FRACTION = 0.5;

    /** Updates a minute, heartbeats included. */
    private static final long DEFAULT_MAX_UPDATES = 60;

    private final MonotonicClock clock = MonotonicClock.system();
    private final EventLoop loop;
    private final DnsClient client;
    private final FollowerDriver driver;
    /** Where the instances report to be alive, for the log; "none" where they are not asked to. */
    private final String pulseAddress;

    /** @throws InvalidConfigFileException if the follower cannot start with the configuration */
    ZoneFollowerProcess(ConfigFile config) throws InvalidConfigFileException {
        byte[] zone = ZoneConfigParser.domainName(config, "zone");
        byte[] name = nameInZone(config, zone);
        boolean isSrv = config.text("type", "address").equals("SRV");
        if (isSrv && !config.has("port")) {
            throw config.invalidValue("type", "SRV wants a port");
        }
        long ttl = ttlSeconds(config);
        List<String> instanceNames = new ArrayList<>();
        List<ResourceRecord> records = new ArrayList<>();
        for (Map.Entry<String, String> instance : config.textMap("instances").entrySet()) {
            ResourceRecord dnsRecord = isSrv
                    ? serviceRecord(config, name, zone, ttl, instance)
                    : addressRecord(config, name, ttl, instance);
            if (records.contains(dnsRecord)) {
                throw config.invalidValue("instances." + instance.getKey(), "another instance has this address");
            }
            instanceNames.add(instance.getKey());
            records.add(dnsRecord);
        }
        Tsig.TsigKey key = config.has("key") ? ZoneConfigParser.key(config, "key") : null;
        List<InetSocketAddress> servers = servers(config);
        SplittableRandom random = new SplittableRandom(ZoneConfigParser.seed(config));
        Follower.FollowerSettings settings = settings(config, name, records, ttl, servers.size(), random);
        try {
            loop = new EventLoop(clock, failure -> LOG.error("event-loop-task-failed", failure));
            client = new DnsClient(loop, random.split(), () -> Instant.now().getEpochSecond());
            Follower follower = new Follower(clock.now(), settings, random.split(), new Slf4jEventLog(LOG));
            requireOneMessage(config, zone, follower, key);
            driver = new FollowerDriver(
                    loop, client, follower, servers, key, zone, name, instanceNames, EXCHANGE_TIMEOUT);
            pulseAddress = config.has("pulse") ? listenForPulses(config) : "none";
        } catch (IllegalArgumentException e) {
            throw config.invalidValue("name", e.getMessage(), e);
        } catch (IOException e) {
            throw new InvalidConfigFileException(
                    "cannot listen on " + config.text("pulse", "") + ": " + e.getMessage(), e);
        }
        loop.runNowAndEvery(CLOCK_COMPARISON_PERIOD, clock::resyncUnixOffset);
    }

    private static List<InetSocketAddress> servers(ConfigFile config) throws InvalidConfigFileException {
        List<InetSocketAddress> servers = new ArrayList<>();
        for (int i = 0; i < config.size("servers"); i++) {
            servers.add(ZoneConfigParser.address(config, "servers." + i));
        }
        return servers;
    }

    /** The records of all instances have to fit one update, since a name changes as a whole. */
    private static void requireOneMessage(ConfigFile config, byte[] zone, Follower follower, Tsig.TsigKey key)
            throws InvalidConfigFileException {
        if (UpdateMessages.message(zone, List.of(), follower.largest(), key) == null) {
            int records = config.textMap("instances").size();
            throw config.invalidValue("instances", records + " records do not fit one update of 65,535 octets");
        }
    }

    private String listenForPulses(ConfigFile config) throws IOException, InvalidConfigFileException {
        DatagramEndpoint pulses = new DatagramEndpoint(
                loop,
                ZoneConfigParser.address(config, "pulse"),
                MAX_PULSE_BYTES,
                (bytes, from, waited) -> driver.receive(bytes));
        return SocketAddresses.format(pulses.address());
    }

    /** Draws the holder's name first where none is configured: later random numbers depend on it. */
    private static Follower.FollowerSettings settings(
            ConfigFile config,
            byte[] name,
            List<ResourceRecord> records,
            long ttl,
            int servers,
            SplittableRandom random) {
        String drawnHolder = "f" + Long.toHexString(random.nextLong());
        return new Follower.FollowerSettings(
                name,
                records,
                ttl,
                config.duration("lapse", DEFAULT_LAPSE),
                config.fraction("keep-at-least", DEFAULT_MIN_ALIVE_FRACTION),
                config.text("owner", "fleet"),
                config.text("holder", drawnHolder),
                (int) config.number("most-updates", DEFAULT_MAX_UPDATES),
                config.duration("damp", DEFAULT_DAMPING_HALF_LIFE),
                config.duration("beat", DEFAULT_HEARTBEAT_INTERVAL),
                servers);
    }

    private static byte[] nameInZone(ConfigFile config, byte[] zone) throws InvalidConfigFileException {
        try {
            byte[] name = DomainNames.parse(config.text("name", ""), zone);
            if (DomainNames.isUnder(name, zone)) {
                return name;
            }
        } catch (MalformedDnsException e) {
            throw config.invalidValue("name", e.getMessage(), e);
        }
        throw config.invalidValue("name", "it is not in the zone " + DomainNames.text(zone));
    }

    private static long ttlSeconds(ConfigFile config) throws InvalidConfigFileException {
        return TimeToLive.parseSeconds(config.text("ttl", "30"))
                .orElseThrow(() -> config.invalidValue("ttl", "expected seconds, or a span such as 30s or 5m"));
    }

    private static ResourceRecord serviceRecord(
            ConfigFile config, byte[] name, byte[] zone, long ttl, Map.Entry<String, String> instance)
            throws InvalidConfigFileException {
        List<String> priorityWeightPortTarget = List.of("0", "1", config.text("port", ""), instance.getValue());
        try {
            return new ResourceRecord(
                    name, RecordTypes.SRV, ttl, Rdata.fromText(RecordTypes.SRV, priorityWeightPortTarget, zone));
        } catch (MalformedDnsException e) {
            throw config.invalidValue("instances." + instance.getKey(), e.getMessage(), e);
        }
    }

    private static ResourceRecord addressRecord(
            ConfigFile config, byte[] name, long ttl, Map.Entry<String, String> instance)
            throws InvalidConfigFileException {
        String address = instance.getValue();
        try {
            return address.indexOf(':') >= 0
                    ? new ResourceRecord(name, RecordTypes.AAAA, ttl, IpAddresses.parseIpv6(address))
                    : new ResourceRecord(name, RecordTypes.A, ttl, IpAddresses.parseIpv4(address));
        } catch (MalformedDnsException e) {
            throw config.invalidValue("instances." + instance.getKey(), e.getMessage(), e);
        }
    }

    /** Runs the follower until SIGTERM. */
    void run() {
        // An update in flight may be done or not: the next follower finds out by reading.
        ServiceRunner runner = ServiceRunner.withShutdownHook(loop, loop::stop);
        LOG.info("following pulse_address={}", pulseAddress);
        runner.run(() -> {
            LOG.info("follower-stopped unknown_pulses={}", driver.unknownPulses());
            client.close();
        });
    }
}
