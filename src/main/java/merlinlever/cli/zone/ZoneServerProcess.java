package merlinlever.cli.zone;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import merlinlever.config.ConfigFile;
import merlinlever.management.ManagementServer;
import merlinlever.management.StatusReport;
import merlinlever.net.EventLoop;
import merlinlever.net.HangupSignal;
import merlinlever.net.MonotonicClock;
import merlinlever.storage.StateDirectories;
import merlinlever.storage.StateDirectory;
import merlinlever.zone.journal.ZoneStore;
import merlinlever.zone.record.DomainNames;
import merlinlever.zone.server.DnsServer;
import merlinlever.zone.server.NotifySender;
import merlinlever.zone.server.RequestProcessor;
import merlinlever.zone.server.ServedZone;
import merlinlever.zone.server.ZoneServerMetrics;
import merlinlever.zone.state.ReplayWindow;
import merlinlever.zone.state.Zone;
import merlinlever.zone.text.ZoneFile;
import merlinlever.zone.wire.Tsig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Puts the front for zones together with its state and runs it. */
final class ZoneServerProcess {

    private static final Logger LOG = LoggerFactory.getLogger("zone");
    private static final Duration COMPARE = Duration.ofSeconds(1);
    private static final Duration ANSWERED = Duration.ofMillis(10);
    /** Of the time between the notice and the stop, this part is grace. */
    private static final int GRACE_PART = 5;

    private final MonotonicClock clock = MonotonicClock.system();
    private final EventLoop loop;
    private final ExecutorService disk = thread("zone-disk");
    private final ExecutorService snapshots = thread("zone-snapshots");
    private final StateDirectory folder;
    /** Each zone with the operator's file. */
    private final Map<ServedZone, Path> zones = new LinkedHashMap<>();

    private final List<ZoneStore> stores = new ArrayList<>();
    private final DnsServer front;
    private final NotifySender notices;
    private final ZoneServerMetrics counts = new ZoneServerMetrics(new SimpleMeterRegistry());
    private final Duration stopAfter;
    private final CountDownLatch over = new CountDownLatch(1);

    ZoneServerProcess(ConfigFile sheet) throws ConfigFile.InvalidConfigFileException {
        try {
            loop = new EventLoop(clock, failure -> LOG.error("failed", failure));
            folder = StateDirectories.open(sheet.path("state", "state"), System.getenv());
        } catch (IOException e) {
            throw new ConfigFile.InvalidConfigFileException(sheet.file() + ": state: " + e.getMessage());
        }
        List<Tsig.TsigKey> keys = new ArrayList<>();
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < sheet.size("keys"); i++) {
            keys.add(ZoneConfigParser.key(sheet, "keys." + i));
            if (!names.add(DomainNames.text(keys.get(i).name()))) {
                throw sheet.fault("keys." + i + ".name", "a key of this name is there already");
            }
        }
        stopAfter = sheet.span("stop", Duration.ofSeconds(5));
        Map<ServedZone, List<InetSocketAddress>> notified = new LinkedHashMap<>();
        for (int i = 0; i < sheet.size("zones"); i++) {
            String at = "zones." + i;
            ServedZone zone = zone(sheet, at, names);
            for (ServedZone other : zones.keySet()) {
                if (other.name().equals(zone.name())) {
                    throw sheet.fault(at + ".origin", "this zone is there already");
                }
            }
            zones.put(zone, sheet.path(at + ".file", ""));
            List<InetSocketAddress> told = new ArrayList<>();
            for (int k = 0; k < sheet.size(at + ".notify"); k++) {
                told.add(ZoneConfigParser.address(sheet, at + ".notify." + k));
            }
            notified.put(zone, told);
        }
        InetSocketAddress listen = ZoneConfigParser.address(sheet, "listen");
        try {
            front = new DnsServer(
                    loop,
                    listen,
                    (int) sheet.number("connections", 256),
                    List.copyOf(zones.keySet()),
                    new Tsig.TsigKeyRing(keys),
                    new RequestProcessor.ProcessorSettings(
                            sheet.number("memory-mb", 256),
                            stopAfter.dividedBy(GRACE_PART),
                            !sheet.text("queries-decided", "true").equals("false"),
                            ZoneConfigParser.seed(sheet)),
                    ZoneServerProcess::unix,
                    LOG::info,
                    counts);
            notices = new NotifySender(loop, ZoneConfigParser.seed(sheet));
            if (sheet.has("manage")) {
                new ManagementServer(
                        loop,
                        ZoneConfigParser.address(sheet, "manage"),
                        () -> StatusReport.of(
                                front.desk().figures().draining(),
                                true,
                                front.desk().inHand(),
                                clock.uptime().toMillis(),
                                front.desk().figures(),
                                null));
            }
        } catch (IOException e) {
            throw new ConfigFile.InvalidConfigFileException(
                    "cannot listen on " + sheet.text("listen", "") + ": " + e.getMessage());
        }
        notified.forEach((zone, servers) -> zone.watch(seen -> notices.tell(seen, servers)));
        loop.every(COMPARE, clock::compare);
    }

    private static ExecutorService thread(String name) {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
    }

    private static long unix() {
        return System.currentTimeMillis() / 1000;
    }

    private ServedZone zone(ConfigFile sheet, String at, Set<String> keys)
            throws ConfigFile.InvalidConfigFileException {
        byte[] origin = ZoneConfigParser.name(sheet, at + ".origin");
        Path file = sheet.path(at + ".file", "");
        Set<String> updaters = allowed(sheet, at + ".update", keys);
        Set<String> transferers = allowed(sheet, at + ".transfer", keys);
        ZoneStore store = new ZoneStore(
                folder,
                origin,
                disk,
                snapshots,
                loop,
                LOG::warn,
                (int) sheet.number("snapshot-after", 10_000),
                RequestProcessor.REPLAY);
        stores.add(store);
        ReplayWindow replays = new ReplayWindow(RequestProcessor.REPLAY);
        try {
            ZoneStore.RecoveredZone recovered = store.recover(origin);
            if (recovered == null) {
                Zone zone = ZoneFile.read(file, origin);
                store.first(zone);
                LOG.info("{}, from {}", ZoneCommands.summary(zone), file);
                return new ServedZone(zone, updaters, transferers, store, replays);
            }
            recovered.marks().forEach(mark -> replays.add(mark.at(), mark.mark()));
            if (!recovered.told().isEmpty()) {
                LOG.warn("{}", recovered.told());
            }
            ServedZone served = new ServedZone(recovered.zone(), updaters, transferers, store, replays);
            recovered.steps().forEach(served.history()::add);
            LOG.info(
                    "{}, from the state, {} updates since the snapshot",
                    ZoneCommands.summary(recovered.zone()),
                    recovered.steps().size());
            reload(served, file, origin);
            return served;
        } catch (ZoneFile.InvalidZoneFileException | ZoneStore.UnusableStateException e) {
            throw new ConfigFile.InvalidConfigFileException(e.getMessage());
        }
    }

    private static Set<String> allowed(ConfigFile sheet, String path, Set<String> keys)
            throws ConfigFile.InvalidConfigFileException {
        Set<String> allowed = new TreeSet<>();
        for (int i = 0; i < sheet.size(path); i++) {
            String name = DomainNames.text(ZoneConfigParser.name(sheet, path + "." + i));
            if (!keys.contains(name)) {
                throw sheet.fault(path + "." + i, "no key of this name is given");
            }
            allowed.add(name);
        }
        return allowed;
    }

    /** Reads the operator's file again. A bad one is told, and what is served stays. */
    private void reload(ServedZone served, Path file, byte[] origin) {
        try {
            LOG.info(served.reload(ZoneFile.read(file, origin), unix()));
        } catch (ZoneFile.InvalidZoneFileException e) {
            rejected(served, e);
        }
    }

    private static void rejected(ServedZone served, ZoneFile.InvalidZoneFileException why) {
        LOG.warn("{}: the file is rejected, what was served before stays", served.name());
        why.faults().forEach(LOG::warn);
    }

    /** The files are read beside the loop, which goes on answering. */
    private void reloadAll() {
        zones.forEach((served, file) -> snapshots.execute(() -> {
            try {
                Zone read = ZoneFile.read(file, served.origin());
                loop.execute(() -> LOG.info(served.reload(read, unix())));
            } catch (ZoneFile.InvalidZoneFileException e) {
                rejected(served, e);
            }
        }));
    }

    void run() {
        HangupSignal.handle(() -> loop.execute(this::reloadAll));
        Thread hook = new Thread(this::leaveAndWait);
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            LOG.info("listening on {}", text(front.address()));
            loop.run();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } finally {
            over.countDown();
        }
    }

    private static String text(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private void leaveAndWait() {
        loop.execute(this::leave);
        try {
            over.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void leave() {
        front.leave(stopAfter);
        loop.in(stopAfter.dividedBy(GRACE_PART), () -> {
            front.close();
            loop.every(ANSWERED, () -> {
                if (front.answered()) {
                    end("all is answered");
                }
            });
        });
        loop.in(stopAfter, () -> end("the stop has come"));
    }

    private void end(String why) {
        LOG.info("{}: {}", why, counts.line());
        front.end();
        loop.stop();
        stores.forEach(ZoneStore::close);
    }
}
