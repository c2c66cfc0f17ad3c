package merlinlever.cli.dns;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import merlinlever.backend.management.ManagementServer;
import merlinlever.backend.management.StatusReport;
import merlinlever.cli.service.ServiceRunner;
import merlinlever.cli.service.Slf4jEventLog;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.InvalidConfigFileException;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.HangupSignal;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.net.SocketAddresses;
import merlinlever.common.storage.StateDirectories;
import merlinlever.common.storage.StateDirectory;
import merlinlever.dns.journal.ZoneStore;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.server.DnsServer;
import merlinlever.dns.server.NotifySender;
import merlinlever.dns.server.RequestProcessor;
import merlinlever.dns.server.ServedZone;
import merlinlever.dns.server.ZoneServerMetrics;
import merlinlever.dns.state.ReplayWindow;
import merlinlever.dns.state.Zone;
import merlinlever.dns.text.ZoneFile;
import merlinlever.dns.wire.Tsig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The process of {@code zone serve}: assembles the DNS server with its zones and their state on disk, runs it, reloads the zone
 * files on SIGHUP and shuts it down on SIGTERM. Requests are answered on the event loop; journals and snapshots have a thread each.
 */
final class ZoneServerProcess {

    private static final Logger LOG = LoggerFactory.getLogger("zone");
    private static final Duration CLOCK_COMPARISON_PERIOD = Duration.ofSeconds(1);
    private static final Duration SHUTDOWN_POLL_PERIOD = Duration.ofMillis(10);
    private static final Duration DEFAULT_STOP = Duration.ofSeconds(5);
    /** One part in so many of the time to the stop is the grace, in which new requests are accepted still. */
    private static final int GRACE_DIVISOR = 5;

    private static final long DEFAULT_SNAPSHOT_AFTER = 10_000;
    private static final long DEFAULT_CONNECTIONS = 256;
    private static final long DEFAULT_MEMORY_MB = 256;

    private final MonotonicClock clock = MonotonicClock.system();
    private final EventLoop loop;
    private final ExecutorService journalThread = daemonThread("zone-disk");
    private final ExecutorService snapshotThread = daemonThread("zone-snapshots");
    private final StateDirectory state;
    /** Each zone with the operator's file. */
    private final Map<ServedZone, Path> fileByZone = new LinkedHashMap<>();

    private final List<ZoneStore> stores = new ArrayList<>();
    private final DnsServer server;
    private final InetSocketAddress serverAddress;
    private final NotifySender notifySender;
    private final ZoneServerMetrics metrics = new ZoneServerMetrics(new SimpleMeterRegistry());
    private final Duration stopAfter;

    /** @throws InvalidConfigFileException if the server cannot start with the configuration or the state on disk */
    ZoneServerProcess(ConfigFile config) throws InvalidConfigFileException {
        try {
            loop = new EventLoop(clock, failure -> LOG.error("event-loop-task-failed", failure));
            state = StateDirectories.open(config.path("state", "state"), System.getenv());
        } catch (IOException e) {
            throw new InvalidConfigFileException(config.file() + ": state: " + e.getMessage(), e);
        }
        List<Tsig.TsigKey> keys = keys(config);
        stopAfter = config.duration("stop", DEFAULT_STOP);
        Map<ServedZone, List<InetSocketAddress>> secondaries = addZones(config, keys);
        InetSocketAddress listenAddress = ZoneConfigParser.address(config, "listen");
        try {
            server = new DnsServer(
                    loop,
                    new DnsServer.ListenSettings(
                            listenAddress, (int) config.number("connections", DEFAULT_CONNECTIONS)),
                    new RequestProcessor.ZonesAndKeys(List.copyOf(fileByZone.keySet()), new Tsig.TsigKeyRing(keys)),
                    new RequestProcessor.ProcessorSettings(
                            config.number("memory-mb", DEFAULT_MEMORY_MB),
                            grace(),
                            !config.text("queries-decided", "true").equals("false"),
                            ZoneConfigParser.seed(config)),
                    ZoneServerProcess::unixSeconds,
                    new Slf4jEventLog(LOG),
                    metrics);
            serverAddress = server.address();
            notifySender = new NotifySender(loop, ZoneConfigParser.seed(config));
            if (config.has("manage")) {
                new ManagementServer(loop, ZoneConfigParser.address(config, "manage"), this::statusReport);
            }
        } catch (IOException e) {
            throw new InvalidConfigFileException(
                    "cannot listen on " + config.text("listen", "") + ": " + e.getMessage(), e);
        }
        secondaries.forEach(
                (zone, addresses) -> zone.addListener(changed -> notifySender.notifyOfChange(changed, addresses)));
        loop.runNowAndEvery(CLOCK_COMPARISON_PERIOD, clock::resyncUnixOffset);
    }

    private static ExecutorService daemonThread(String name) {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    private static long unixSeconds() {
        return Instant.now().getEpochSecond();
    }

    private Duration grace() {
        return stopAfter.dividedBy(GRACE_DIVISOR);
    }

    private String statusReport() {
        return StatusReport.toJson(
                server.processor().controllerMetrics().draining(),
                true,
                server.processor().inFlight(),
                clock.uptime().toMillis(),
                server.processor().controllerMetrics(),
                null);
    }

    private static List<Tsig.TsigKey> keys(ConfigFile config) throws InvalidConfigFileException {
        List<Tsig.TsigKey> keys = new ArrayList<>();
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < config.size("keys"); i++) {
            Tsig.TsigKey key = ZoneConfigParser.key(config, "keys." + i);
            if (!names.add(DomainNames.text(key.name()))) {
                throw config.invalidValue("keys." + i + ".name", "a key of this name is there already");
            }
            keys.add(key);
        }
        return keys;
    }

    /** Returns the servers that are notified of each new version of each zone. */
    private Map<ServedZone, List<InetSocketAddress>> addZones(ConfigFile config, List<Tsig.TsigKey> keys)
            throws InvalidConfigFileException {
        Set<String> keyNames = new TreeSet<>();
        keys.forEach(key -> keyNames.add(DomainNames.text(key.name())));
        Map<ServedZone, List<InetSocketAddress>> secondaries = new LinkedHashMap<>();
        for (int i = 0; i < config.size("zones"); i++) {
            String path = "zones." + i;
            ServedZone zone = zone(config, path, keyNames);
            for (ServedZone other : fileByZone.keySet()) {
                if (other.name().equals(zone.name())) {
                    throw config.invalidValue(path + ".origin", "this zone is there already");
                }
            }
            fileByZone.put(zone, config.path(path + ".file", ""));
            secondaries.put(zone, addresses(config, path + ".notify"));
        }
        return secondaries;
    }

    private static List<InetSocketAddress> addresses(ConfigFile config, String path) throws InvalidConfigFileException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < config.size(path); i++) {
            addresses.add(ZoneConfigParser.address(config, path + "." + i));
        }
        return addresses;
    }

    private ServedZone zone(ConfigFile config, String path, Set<String> keyNames) throws InvalidConfigFileException {
        byte[] origin = ZoneConfigParser.domainName(config, path + ".origin");
        Path file = config.path(path + ".file", "");
        Set<String> updaters = permittedKeys(config, path + ".update", keyNames);
        Set<String> transferers = permittedKeys(config, path + ".transfer", keyNames);
        ZoneStore store = new ZoneStore(
                state,
                origin,
                journalThread,
                snapshotThread,
                loop,
                event -> LOG.warn(event.text()),
                (int) config.number("snapshot-after", DEFAULT_SNAPSHOT_AFTER),
                RequestProcessor.REPLAY_WINDOW.toSeconds());
        stores.add(store);
        ReplayWindow replays = new ReplayWindow(RequestProcessor.REPLAY_WINDOW.toSeconds());
        try {
            ZoneStore.RecoveredZone recovered = store.recover(origin);
            if (recovered == null) {
                Zone zone = ZoneFile.read(file, origin);
                store.initialize(zone);
                LOG.info("zone-loaded source={} zone={}", file, ZoneCommands.summary(zone));
                return new ServedZone(zone, updaters, transferers, store, replays);
            }
            recovered.replayKeys().forEach(key -> replays.add(key.unixSeconds(), key.key()));
            if (!recovered.warnings().isEmpty()) {
                LOG.warn("zone-recovered-in-part reason={}", recovered.warnings());
            }
            ServedZone zone = new ServedZone(recovered.zone(), updaters, transferers, store, replays);
            recovered.differences().forEach(zone.history()::add);
            LOG.info(
                    "zone-loaded source=state updates_since_snapshot={} zone={}",
                    recovered.differences().size(),
                    ZoneCommands.summary(recovered.zone()));
            reloadNow(zone, file, origin);
            return zone;
        } catch (ZoneFile.InvalidZoneFileException | ZoneStore.UnusableStateException e) {
            throw new InvalidConfigFileException(e.getMessage(), e);
        }
    }

    private static Set<String> permittedKeys(ConfigFile config, String path, Set<String> keyNames)
            throws InvalidConfigFileException {
        Set<String> permitted = new TreeSet<>();
        for (int i = 0; i < config.size(path); i++) {
            String name = DomainNames.text(ZoneConfigParser.domainName(config, path + "." + i));
            if (!keyNames.contains(name)) {
                throw config.invalidValue(path + "." + i, "no key of this name is given");
            }
            permitted.add(name);
        }
        return permitted;
    }

    /** Takes the operator's file over where it is newer. An invalid one is reported, and the zone served stays. */
    private static void reloadNow(ServedZone zone, Path file, byte[] origin) {
        try {
            LOG.info(zone.reload(ZoneFile.read(file, origin), unixSeconds()));
        } catch (ZoneFile.InvalidZoneFileException e) {
            reportRejected(zone, e);
        }
    }

    private static void reportRejected(ServedZone zone, ZoneFile.InvalidZoneFileException rejection) {
        LOG.warn("zone-file-rejected zone={} current=kept", zone.name());
        rejection.faults().forEach(LOG::warn);
    }

    /** Reads the files off the event loop, which goes on answering. */
    private void reloadAll() {
        fileByZone.forEach((zone, file) -> snapshotThread.execute(() -> {
            try {
                Zone content = ZoneFile.read(file, zone.origin());
                loop.execute(() -> LOG.info(zone.reload(content, unixSeconds())));
            } catch (ZoneFile.InvalidZoneFileException e) {
                reportRejected(zone, e);
            }
        }));
    }

    /** Runs the server until SIGTERM. */
    void run() {
        HangupSignal.onHangup(() -> loop.execute(this::reloadAll));
        ServiceRunner runner = ServiceRunner.withShutdownHook(loop, this::startShutdown);
        LOG.info("listening address={}", SocketAddresses.format(serverAddress));
        runner.run(() -> {});
    }

    private void startShutdown() {
        server.startDrain(stopAfter);
        loop.schedule(grace(), () -> {
            server.close();
            loop.runNowAndEvery(SHUTDOWN_POLL_PERIOD, () -> {
                if (server.isDrained()) {
                    stop("all-answered");
                }
            });
        });
        loop.schedule(stopAfter, () -> stop("stop-time-reached"));
    }

    private void stop(String reason) {
        LOG.info("shutdown-finished reason={} counts={}", reason, metrics.summary());
        server.closeSockets();
        loop.stop();
        stores.forEach(ZoneStore::close);
    }
}
