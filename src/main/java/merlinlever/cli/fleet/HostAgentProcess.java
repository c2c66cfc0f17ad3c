package merlinlever.cli.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import merlinlever.config.ConfigFile;
import merlinlever.host.disk.InstanceLedger;
import merlinlever.host.front.HostApiServer;
import merlinlever.host.run.HostAgent;
import merlinlever.host.run.InstanceSpec;
import merlinlever.host.run.PeerAgents;
import merlinlever.host.state.InstanceSupervisor;
import merlinlever.net.EventLoop;
import merlinlever.net.MonotonicClock;
import merlinlever.recovery.RecoverySequence;
import merlinlever.recovery.net.RecoveryCoordinator;
import merlinlever.storage.StateDirectories;
import merlinlever.storage.StateDirectory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Puts the agent of one machine together and runs it. */
final class HostAgentProcess {

    private static final Logger LOG = LoggerFactory.getLogger("host");
    private static final Duration ANSWERED = Duration.ofMillis(20);
    /** After a power loss all machines begin at once: what each launches is spread over so long. */
    private static final Duration SPREAD = Duration.ofMillis(500);

    private final EventLoop loop;
    private final HostAgent agent;
    private final HostApiServer front;
    /** Null where there are no other agents. */
    private final RecoveryCoordinator rejoin;

    private final boolean drain;
    private final Duration stop;
    private final CountDownLatch over = new CountDownLatch(1);

    HostAgentProcess(ConfigFile sheet, boolean drain) throws ConfigFile.InvalidConfigFileException {
        this.drain = drain;
        stop = sheet.span("stop", Duration.ofSeconds(drain ? 60 : 5));
        List<InstanceSpec> hosted = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<InetSocketAddress> places = new HashSet<>();
        Path state = sheet.path("state", "state");
        String secret;
        try {
            secret = Files.readString(sheet.path("secret-file", "")).strip();
        } catch (IOException e) {
            throw sheet.fault("secret-file", "cannot be read: " + sheet.path("secret-file", ""));
        }
        if (secret.length() < 16) {
            throw sheet.fault("secret-file", "the secret has under 16 characters");
        }
        for (int kind = 0; kind < sheet.size("kinds"); kind++) {
            for (int n = 1; n <= sheet.number("kinds." + kind + ".count", 1); n++) {
                InstanceSpec one = hosted(sheet, "kinds." + kind, n, state);
                if (!names.add(one.name())) {
                    throw sheet.fault("kinds." + kind + ".name", "an instance " + one.name() + " is there already");
                }
                if (one.manage() != null && !places.add(one.manage())) {
                    throw sheet.fault(
                            "kinds." + kind + ".manage",
                            "another instance tells of itself at "
                                    + one.manage().getPort());
                }
                hosted.add(one);
            }
        }
        long seed = Long.parseUnsignedLong(sheet.text("seed", Long.toHexString(System.nanoTime())), 16);
        InstanceSupervisor.SupervisorSettings usual = InstanceSupervisor.SupervisorSettings.USUAL;
        InstanceSupervisor.SupervisorSettings stated = new InstanceSupervisor.SupervisorSettings(
                usual.firstPause(),
                usual.longestPause(),
                usual.steadyAfter(),
                (int) sheet.number("deaths", usual.budget()),
                usual.budgetSpan(),
                sheet.span("silent-after", usual.silentAfter()));
        try {
            MonotonicClock clock = MonotonicClock.system();
            loop = new EventLoop(clock, failure -> LOG.error("failed", failure));
            StateDirectory folder = StateDirectories.open(state, System.getenv());
            InstanceLedger ledger = new InstanceLedger(folder);
            String name = sheet.text("name", "");
            PeerAgents neighbours = null;
            if (sheet.has("members")) {
                String api = sheet.text("listen", "");
                if (api.endsWith(":0")) {
                    throw sheet.fault("listen", "with members the port has to be stated, as others are told it");
                }
                // Others send to the address it tells, which is its own unless something stands between (the fault
                // harness).
                RecoveryCoordinator.NodeSettings place = new RecoveryCoordinator.NodeSettings(
                        name,
                        address(sheet.text("members.listen", "")),
                        sheet.has("members.advertise") ? sheet.text("members.advertise", "") : null,
                        api,
                        sheet.texts("members.seeds"),
                        secret);
                rejoin = new RecoveryCoordinator(
                        loop,
                        folder,
                        place,
                        RecoverySequence.RecoverySettings.usual(Duration.ZERO),
                        Duration.ZERO,
                        seed,
                        System::currentTimeMillis,
                        RecoveryCoordinator.RecoveringService.NONE,
                        line -> LOG.info("{}", line));
                neighbours = new PeerAgents(loop, rejoin.members(), secret);
            } else {
                rejoin = null;
            }
            agent = new HostAgent(
                    loop, ledger, hosted, stated, sheet.span("spread", SPREAD), new SplittableRandom(seed), LOG::info);
            front = new HostApiServer(
                    loop,
                    address(sheet.text("listen", "")),
                    name,
                    agent,
                    neighbours,
                    rejoin,
                    secret,
                    stop.dividedBy(5),
                    seed,
                    LOG::info);
        } catch (InstanceLedger.CorruptLedgerException e) {
            throw new ConfigFile.InvalidConfigFileException(e.getMessage());
        } catch (IOException | IllegalArgumentException e) {
            throw new ConfigFile.InvalidConfigFileException(sheet.file() + ": " + e.getMessage());
        }
    }

    private static InetSocketAddress address(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
    }

    private static InstanceSpec hosted(ConfigFile sheet, String at, int n, Path state)
            throws ConfigFile.InvalidConfigFileException {
        String name = sheet.text(at + ".name", "") + "-" + n;
        Path folder = state.resolve(name);
        Map<String, String> words = new LinkedHashMap<>();
        words.put("{n}", "" + n);
        words.put("{name}", name);
        words.put("{folder}", folder.toString());
        words.put("{budgets}", sheet.json("budgets"));
        words.put(
                "{program}",
                new java.io.File(HostAgentProcess.class
                                .getProtectionDomain()
                                .getCodeSource()
                                .getLocation()
                                .getPath())
                        .getPath());
        InetSocketAddress manage = null;
        if (sheet.has(at + ".manage")) {
            String text = sheet.text(at + ".manage", "");
            int port = Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)) + n - 1;
            if (port > 0xffff) {
                throw sheet.fault(at + ".manage", "the ports of " + n + " instances go beyond 65535");
            }
            manage = new InetSocketAddress(text.substring(0, text.lastIndexOf(':')), port);
            words.put("{manage}", manage.getHostString() + ":" + port);
        }
        for (String port : sheet.pairs(at + ".ports").keySet()) {
            words.put("{" + port + "}", "" + (sheet.number(at + ".ports." + port, 0) + n - 1));
        }
        List<String> command = new ArrayList<>();
        if (sheet.has(at + ".limits.sockets")) {
            command.addAll(List.of(
                    "/bin/sh", "-c", "ulimit -n " + sheet.number(at + ".limits.sockets", 0) + " && exec \"$@\"", "sh"));
        }
        sheet.texts(at + ".command").forEach(word -> command.add(filled(word, words)));
        Map<String, String> environment = new LinkedHashMap<>();
        sheet.pairs(at + ".environment").forEach((key, value) -> environment.put(key, filled(value, words)));
        try {
            Files.createDirectories(folder);
            for (Map.Entry<String, String> file : sheet.pairs(at + ".files").entrySet()) {
                Path path = folder.resolve(file.getKey()).normalize();
                if (!path.startsWith(folder)) {
                    throw sheet.fault(at + ".files", file.getKey() + " leaves the instance's folder");
                }
                Files.writeString(path, filled(file.getValue(), words));
            }
        } catch (IOException e) {
            throw new ConfigFile.InvalidConfigFileException(
                    sheet.file() + ": state: " + folder + " cannot be written: " + e.getMessage());
        }
        return new InstanceSpec(
                name,
                sheet.text(at + ".name", ""),
                sheet.pairs(at + ".labels"),
                command,
                environment,
                folder,
                manage,
                !sheet.text(at + ".start", "true").equals("false"),
                sheet.number(at + ".log-mb", 10) << 20);
    }

    private static String filled(String text, Map<String, String> words) {
        for (Map.Entry<String, String> word : words.entrySet()) {
            text = text.replace(word.getKey(), word.getValue());
        }
        return text;
    }

    void run() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            loop.execute(this::leave);
            try {
                over.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        try {
            LOG.info(
                    "listening on {}:{}",
                    front.address().getAddress().getHostAddress(),
                    front.address().getPort());
            loop.run();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } finally {
            over.countDown();
        }
    }

    private void leave() {
        LOG.info(drain ? "leaving with all instances" : "leaving; the instances stay");
        front.leave(stop);
        if (rejoin != null) {
            rejoin.leave();
        }
        if (drain) {
            agent.drainAll();
        }
        loop.in(drain ? ANSWERED : stop.dividedBy(5), () -> {
            if (!drain) {
                front.close();
            }
            loop.every(ANSWERED, () -> {
                if (front.answered() && (!drain || agent.allDown())) {
                    loop.stop();
                }
            });
        });
        loop.in(stop, loop::stop);
    }
}
