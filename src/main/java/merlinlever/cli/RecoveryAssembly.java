package merlinlever.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import merlinlever.core.Backend;
import merlinlever.core.SettingsTranslator;
import merlinlever.log.Log;
import merlinlever.membership.MembershipTransport;
import merlinlever.net.EventLoop;
import merlinlever.policy.OverloadController;
import merlinlever.recovery.RecoverySequence;
import merlinlever.recovery.net.RecoveryCoordinator;
import merlinlever.storage.StateDirectories;

/**
 * The return of one backend, where its configuration has {@code recovery}: state on disk, membership with the others.
 * The platform has neither, and there this class is never loaded.
 */
final class RecoveryAssembly implements RecoveryCoordinator.RecoveringService {

    private static final List<String> NAMES = List.of(
            "state",
            "listen",
            "advertise",
            "seeds",
            "secret-file",
            "mark-ms",
            "patience-ms",
            "spread-ms",
            "voters",
            "lease");

    private final EventLoop loop;
    private final Backend backend;
    private final RecoveryCoordinator rejoin;
    /** Null where nothing is decided or shared with the others. */
    private final FleetAssembly together;

    RecoveryAssembly(
            Map<String, String> rest, EventLoop loop, Backend backend, Map<String, String> given, long seed, Log log)
            throws ServeCommand.InvalidConfigurationException, IOException {
        this.loop = loop;
        this.backend = backend;
        for (String name : rest.keySet()) {
            if (name.startsWith("recovery.") && !NAMES.contains(name.substring(9))) {
                throw new ServeCommand.InvalidConfigurationException(
                        "the configuration's " + name + " is not known; recovery has " + String.join(", ", NAMES));
            }
        }
        List<String> seeds = new ArrayList<>();
        for (String seedAt : rest.getOrDefault("recovery.seeds", "").split(",")) {
            if (!seedAt.isEmpty() && MembershipTransport.parseAddress(seedAt) == null) {
                throw new ServeCommand.InvalidConfigurationException(
                        "the configuration's recovery.seeds has '" + seedAt + "', which is no ADDRESS:PORT");
            } else if (!seedAt.isEmpty()) {
                seeds.add(seedAt);
            }
        }
        String advertise = rest.get("recovery.advertise");
        if (advertise != null && MembershipTransport.parseAddress(advertise) == null) {
            throw new ServeCommand.InvalidConfigurationException(
                    "the configuration's recovery.advertise is no ADDRESS:PORT: " + advertise);
        }
        String name = rest.getOrDefault("name", "");
        if (!name.matches("[!-~]{1,40}")) {
            throw new ServeCommand.InvalidConfigurationException(
                    "with recovery the configuration's name has 1 to 40 printable characters");
        }
        RecoverySequence.RecoverySettings usual = RecoverySequence.RecoverySettings.usual(window(given));
        RecoverySequence.RecoverySettings stated = new RecoverySequence.RecoverySettings(
                span(rest, "patience-ms", usual.patience()),
                span(rest, "spread-ms", usual.spread()),
                usual.askAgain(),
                usual.longestAskAgain(),
                usual.window(),
                usual.mostAsked());
        Duration mark = span(rest, "mark-ms", Duration.ofSeconds(1));
        Consumer<String> told = line -> log.info("recovery: " + line);
        rejoin = new RecoveryCoordinator(
                loop,
                StateDirectories.open(Path.of(rest.get("recovery.state")), System.getenv()),
                new RecoveryCoordinator.NodeSettings(
                        name,
                        ServeCommand.address(rest, "recovery.listen"),
                        advertise,
                        rest.getOrDefault("listen", "-"),
                        seeds,
                        secret(rest)),
                stated,
                mark,
                seed,
                System::currentTimeMillis,
                this,
                told);
        together = rest.keySet().stream().anyMatch(each -> each.startsWith("recovery.voters"))
                        || rest.containsKey("budgets.0.name")
                ? new FleetAssembly(rest, loop, rejoin, backend, seed, told)
                : null;
    }

    /** In which a repeat of keyed work may come, the longest of all tariffs. */
    private static Duration window(Map<String, String> given) {
        double longest = 0;
        for (int i = 0; given.containsKey("tariffs." + i + ".name"); i++) {
            if (!"retriable".equals(given.get("tariffs." + i + ".kind"))) {
                longest = Math.max(longest, SettingsTranslator.number(given, "tariffs." + i + ".window", 10_000));
            }
        }
        return Duration.ofNanos((long) (longest * 1e6));
    }

    private static Duration span(Map<String, String> rest, String name, Duration usual)
            throws ServeCommand.InvalidConfigurationException {
        double ms = ServeCommand.number(rest, "recovery." + name, (double) usual.toMillis());
        if (!(ms >= 10 && ms <= 600_000)) {
            throw new ServeCommand.InvalidConfigurationException(
                    "the configuration's recovery." + name + " is to be from 10 to 600000");
        }
        return Duration.ofMillis((long) ms);
    }

    private static String secret(Map<String, String> rest) throws ServeCommand.InvalidConfigurationException {
        String file = rest.get("recovery.secret-file");
        try {
            String secret = file == null ? "" : Files.readString(Path.of(file)).strip();
            if (secret.length() < 16) {
                throw new ServeCommand.InvalidConfigurationException(
                        "the configuration's recovery.secret-file names no file with 16 characters or more");
            }
            return secret;
        } catch (IOException e) {
            throw new ServeCommand.InvalidConfigurationException(
                    "the configuration's recovery.secret-file cannot be read: " + file);
        }
    }

    /** A time since the process began, by the clock that the module's times count on. */
    static Duration ofModule(EventLoop loop, Duration sinceBegin) {
        return loop.clock().now().plus(sinceBegin.minus(loop.clock().uptime()));
    }

    @Override
    public void keyed(Duration from, Duration to) {
        boolean may = together == null || together.mayKeyed();
        backend.permitNonIdempotentStarts(ofModule(loop, from), ofModule(loop, may ? to : Duration.ZERO));
    }

    @Override
    public void guess(double capacity, double completions) {
        backend.setWarmStartEstimate(capacity, completions);
    }

    @Override
    public double capacity() {
        OverloadController.ControllerMetrics figures = backend.metrics().orElse(null);
        return figures == null || !Double.isFinite(figures.capacity()) ? 0 : figures.capacity();
    }

    @Override
    public boolean fullSpeed() {
        OverloadController.ControllerMetrics figures = backend.metrics().orElse(null);
        return figures != null && figures.speedShare() >= 1;
    }

    /** The configuration was read again: what the others share is taken from it, all else stays as it was at the start. */
    void reread(Map<String, String> rest) throws ServeCommand.InvalidConfigurationException {
        if (together != null) {
            together.reread(rest);
        }
    }

    String json() {
        String json = rejoin.json();
        return together == null ? json : json.substring(0, json.length() - 1) + together.json() + "}";
    }

    void leave() {
        rejoin.leave();
    }
}
