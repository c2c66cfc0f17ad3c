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
import merlinlever.durable.Folder;
import merlinlever.durable.Folders;
import merlinlever.manage.Manage;
import merlinlever.manage.Telling;
import merlinlever.net.Clock;
import merlinlever.net.Loop;
import merlinlever.net.SignalHandler;
import merlinlever.sheet.Sheet;
import merlinlever.zone.front.Counts;
import merlinlever.zone.front.Desk;
import merlinlever.zone.front.Front;
import merlinlever.zone.front.Notices;
import merlinlever.zone.front.Served;
import merlinlever.zone.journal.ZoneStore;
import merlinlever.zone.record.Names;
import merlinlever.zone.state.Replays;
import merlinlever.zone.state.Zone;
import merlinlever.zone.text.ZoneFile;
import merlinlever.zone.wire.Tsig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Puts the front for zones together with its state and runs it. */
final class ZoneServer {

    private static final Logger LOG = LoggerFactory.getLogger("zone");
    private static final Duration COMPARE = Duration.ofSeconds(1);
    private static final Duration ANSWERED = Duration.ofMillis(10);
    /** Of the time between the notice and the stop, this part is grace. */
    private static final int GRACE_PART = 5;

    private final Clock clock = Clock.system();
    private final Loop loop;
    private final ExecutorService disk = thread("zone-disk");
    private final ExecutorService snapshots = thread("zone-snapshots");
    private final Folder folder;
    /** Each zone with the operator's file. */
    private final Map<Served, Path> zones = new LinkedHashMap<>();

    private final List<ZoneStore> stores = new ArrayList<>();
    private final Front front;
    private final Notices notices;
    private final Counts counts = new Counts(new SimpleMeterRegistry());
    private final Duration stopAfter;
    private final CountDownLatch over = new CountDownLatch(1);

    ZoneServer(Sheet sheet) throws Sheet.Unusable {
        try {
            loop = new Loop(clock, failure -> LOG.error("failed", failure));
            folder = Folders.open(sheet.path("state", "state"), System.getenv());
        } catch (IOException e) {
            throw new Sheet.Unusable(sheet.file() + ": state: " + e.getMessage());
        }
        List<Tsig.Key> keys = new ArrayList<>();
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < sheet.size("keys"); i++) {
            keys.add(Given.key(sheet, "keys." + i));
            if (!names.add(Names.text(keys.get(i).name()))) {
                throw sheet.fault("keys." + i + ".name", "a key of this name is there already");
            }
        }
        stopAfter = sheet.span("stop", Duration.ofSeconds(5));
        Map<Served, List<InetSocketAddress>> notified = new LinkedHashMap<>();
        for (int i = 0; i < sheet.size("zones"); i++) {
            String at = "zones." + i;
            Served zone = zone(sheet, at, names);
            for (Served other : zones.keySet()) {
                if (other.name().equals(zone.name())) {
                    throw sheet.fault(at + ".origin", "this zone is there already");
                }
            }
            zones.put(zone, sheet.path(at + ".file", ""));
            List<InetSocketAddress> told = new ArrayList<>();
            for (int k = 0; k < sheet.size(at + ".notify"); k++) {
                told.add(Given.address(sheet, at + ".notify." + k));
            }
            notified.put(zone, told);
        }
        InetSocketAddress listen = Given.address(sheet, "listen");
        try {
            front = new Front(
                    loop,
                    listen,
                    (int) sheet.number("connections", 256),
                    List.copyOf(zones.keySet()),
                    new Tsig.Keys(keys),
                    new Desk.Stated(
                            sheet.number("memory-mb", 256),
                            stopAfter.dividedBy(GRACE_PART),
                            !sheet.text("queries-decided", "true").equals("false"),
                            Given.seed(sheet)),
                    ZoneServer::unix,
                    LOG::info,
                    counts);
            notices = new Notices(loop, Given.seed(sheet));
            if (sheet.has("manage")) {
                new Manage(
                        loop,
                        Given.address(sheet, "manage"),
                        () -> Telling.of(
                                front.desk().figures().leaving(),
                                true,
                                front.desk().inHand(),
                                clock.uptime().toMillis(),
                                front.desk().figures(),
                                null));
            }
        } catch (IOException e) {
            throw new Sheet.Unusable("cannot listen on " + sheet.text("listen", "") + ": " + e.getMessage());
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

    private Served zone(Sheet sheet, String at, Set<String> keys) throws Sheet.Unusable {
        byte[] origin = Given.name(sheet, at + ".origin");
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
                Desk.REPLAY);
        stores.add(store);
        Replays replays = new Replays(Desk.REPLAY);
        try {
            ZoneStore.Recovered recovered = store.recover(origin);
            if (recovered == null) {
                Zone zone = ZoneFile.read(file, origin);
                store.first(zone);
                LOG.info("{}, from {}", ZoneCommands.summary(zone), file);
                return new Served(zone, updaters, transferers, store, replays);
            }
            recovered.marks().forEach(mark -> replays.add(mark.at(), mark.mark()));
            if (!recovered.told().isEmpty()) {
                LOG.warn("{}", recovered.told());
            }
            Served served = new Served(recovered.zone(), updaters, transferers, store, replays);
            recovered.steps().forEach(served.history()::add);
            LOG.info(
                    "{}, from the state, {} updates since the snapshot",
                    ZoneCommands.summary(recovered.zone()),
                    recovered.steps().size());
            reload(served, file, origin);
            return served;
        } catch (ZoneFile.Rejected | ZoneStore.Unusable e) {
            throw new Sheet.Unusable(e.getMessage());
        }
    }

    private static Set<String> allowed(Sheet sheet, String path, Set<String> keys) throws Sheet.Unusable {
        Set<String> allowed = new TreeSet<>();
        for (int i = 0; i < sheet.size(path); i++) {
            String name = Names.text(Given.name(sheet, path + "." + i));
            if (!keys.contains(name)) {
                throw sheet.fault(path + "." + i, "no key of this name is given");
            }
            allowed.add(name);
        }
        return allowed;
    }

    /** Reads the operator's file again. A bad one is told, and what is served stays. */
    private void reload(Served served, Path file, byte[] origin) {
        try {
            LOG.info(served.reload(ZoneFile.read(file, origin), unix()));
        } catch (ZoneFile.Rejected e) {
            rejected(served, e);
        }
    }

    private static void rejected(Served served, ZoneFile.Rejected why) {
        LOG.warn("{}: the file is rejected, what was served before stays", served.name());
        why.faults().forEach(LOG::warn);
    }

    /** The files are read beside the loop, which goes on answering. */
    private void reloadAll() {
        zones.forEach((served, file) -> snapshots.execute(() -> {
            try {
                Zone read = ZoneFile.read(file, served.origin());
                loop.execute(() -> LOG.info(served.reload(read, unix())));
            } catch (ZoneFile.Rejected e) {
                rejected(served, e);
            }
        }));
    }

    void run() {
        SignalHandler.handle(() -> loop.execute(this::reloadAll));
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
