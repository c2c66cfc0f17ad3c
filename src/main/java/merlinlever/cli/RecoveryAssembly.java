package merlinlever.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import merlinlever.backend.Backend;
import merlinlever.common.Durations;
import merlinlever.common.log.EventLog;
import merlinlever.common.log.Log;
import merlinlever.common.net.EventLoop;
import merlinlever.common.storage.StateDirectories;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.fleet.membership.net.MembershipTransport;
import merlinlever.fleet.recovery.RecoverySettings;
import merlinlever.fleet.recovery.net.NodeEnvironment;
import merlinlever.fleet.recovery.net.NodeSettings;
import merlinlever.fleet.recovery.net.RecoveringService;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;
import merlinlever.policy.ControllerMetrics;

/**
 * The recovery of one backend after a restart: persisted state on disk and membership with the other backends, and where it is
 * configured the rest of the fleet ({@link FleetAssembly}). Loaded only where the configuration has {@code recovery}; the users'
 * platform has neither. Runs on the event loop.
 */
final class RecoveryAssembly implements RecoveringService, RecoveryParticipation {

    private static final String PREFIX = "recovery.";
    private static final List<String> KNOWN_NAMES = List.of(
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
    private static final int MIN_SECRET_CHARACTERS = 16;
    private static final double MIN_PERIOD_MS = 10;
    private static final double MAX_PERIOD_MS = 600_000;
    private static final Duration DEFAULT_PERSIST_PERIOD = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final Backend backend;
    private final RecoveryCoordinator coordinator;
    /** Empty until the fleet's parts are assembled, too: the coordinator calls back while it is constructed. */
    private Optional<FleetAssembly> fleet = Optional.empty();

    RecoveryAssembly(ServeConfiguration configuration, EventLoop loop, Backend backend, Log log)
            throws InvalidConfigurationException, IOException {
        this.loop = loop;
        this.backend = backend;
        ConfigurationValues values = configuration.values();
        checkNames(values);
        List<String> seeds = seeds(values);
        Optional<String> advertisedAddress = advertisedAddress(values);
        String name = values.text("name", "");
        if (!name.matches("[!-~]{1,40}")) {
            throw new InvalidConfigurationException(
                    "with recovery the configuration's name has 1 to 40 printable characters");
        }
        RecoverySettings settings = settings(values, configuration.settings());
        EventLog recoveryLog = log.withPrefix("recovery: ");
        coordinator = new RecoveryCoordinator(
                new NodeEnvironment(
                        loop,
                        StateDirectories.open(Path.of(values.text(PREFIX + "state", "")), System.getenv()),
                        System::currentTimeMillis),
                new NodeSettings(
                        name,
                        values.address(PREFIX + "listen"),
                        advertisedAddress,
                        values.text("listen", "-"),
                        seeds,
                        secret(values)),
                settings,
                configuration.seed(),
                this,
                recoveryLog);
        boolean hasFleet = values.paths().stream().anyMatch(path -> path.startsWith(PREFIX + "voters"))
                || values.has("budgets.0.name");
        if (hasFleet) {
            fleet = Optional.of(
                    new FleetAssembly(values, loop, coordinator, backend, configuration.seed(), recoveryLog));
        }
    }

    private static void checkNames(ConfigurationValues values) throws InvalidConfigurationException {
        for (String path : values.paths()) {
            if (path.startsWith(PREFIX) && !KNOWN_NAMES.contains(path.substring(PREFIX.length()))) {
                throw new InvalidConfigurationException("the configuration's " + path + " is not known; recovery has "
                        + String.join(", ", KNOWN_NAMES));
            }
        }
    }

    private static List<String> seeds(ConfigurationValues values) throws InvalidConfigurationException {
        List<String> seeds = new ArrayList<>();
        for (String seed : values.text(PREFIX + "seeds", "").split(",")) {
            if (seed.isEmpty()) {
                continue;
            }
            if (MembershipTransport.parseAddress(seed) == null) {
                throw new InvalidConfigurationException(
                        "the configuration's recovery.seeds has '" + seed + "', which is no ADDRESS:PORT");
            }
            seeds.add(seed);
        }
        return seeds;
    }

    private static Optional<String> advertisedAddress(ConfigurationValues values) throws InvalidConfigurationException {
        String text = values.text(PREFIX + "advertise", null);
        if (text != null && MembershipTransport.parseAddress(text) == null) {
            throw new InvalidConfigurationException(
                    "the configuration's recovery.advertise is no ADDRESS:PORT: " + text);
        }
        return Optional.ofNullable(text);
    }

    private static RecoverySettings settings(ConfigurationValues values, ControllerSettings controllerSettings)
            throws InvalidConfigurationException {
        RecoverySettings defaults =
                RecoverySettings.defaults(idempotencyWindow(controllerSettings), DEFAULT_PERSIST_PERIOD);
        return new RecoverySettings(
                period(values, "patience-ms", defaults.answerTimeout()),
                period(values, "spread-ms", defaults.firstQuerySpread()),
                defaults.initialRetryDelay(),
                defaults.maxRetryDelay(),
                defaults.idempotencyWindow(),
                defaults.maxPeersQueried(),
                period(values, "mark-ms", defaults.reservationInterval()));
    }

    /** The time in which a duplicate of a request with an idempotency key may come, the longest of all priority classes. */
    private static Duration idempotencyWindow(ControllerSettings controllerSettings) {
        Duration longest = Duration.ZERO;
        for (PriorityClassSettings priorityClass : controllerSettings.priorityClasses()) {
            if (!priorityClass.isIdempotent()) {
                longest = Durations.later(longest, priorityClass.idempotencyWindow());
            }
        }
        return longest;
    }

    private static Duration period(ConfigurationValues values, String name, Duration defaultValue)
            throws InvalidConfigurationException {
        double ms = values.number(PREFIX + name, (double) defaultValue.toMillis());
        if (!(ms >= MIN_PERIOD_MS && ms <= MAX_PERIOD_MS)) {
            throw new InvalidConfigurationException(
                    "the configuration's recovery." + name + " is to be from 10 to 600000");
        }
        return Duration.ofMillis((long) ms);
    }

    private static String secret(ConfigurationValues values) throws InvalidConfigurationException {
        String file = values.text(PREFIX + "secret-file", null);
        try {
            String secret = file == null ? "" : Files.readString(Path.of(file)).strip();
            if (secret.length() < MIN_SECRET_CHARACTERS) {
                throw new InvalidConfigurationException(
                        "the configuration's recovery.secret-file names no file with 16 characters or more");
            }
            return secret;
        } catch (IOException e) {
            throw new InvalidConfigurationException(
                    "the configuration's recovery.secret-file cannot be read: " + file, e);
        }
    }

    /** A time since the process started, on the clock whose origin the controller counts from. */
    static Duration sinceModuleStart(EventLoop loop, Duration sinceProcessStart) {
        return loop.clock().now().plus(sinceProcessStart.minus(loop.clock().uptime()));
    }

    @Override
    public void admitNonIdempotent(Duration from, Duration to) {
        boolean permitted = fleet.map(FleetAssembly::mayStartKeyedRequests).orElse(true);
        backend.permitNonIdempotentStarts(
                sinceModuleStart(loop, from), sinceModuleStart(loop, permitted ? to : Duration.ZERO));
    }

    @Override
    public void warmStart(double capacity, double completions) {
        backend.setWarmStartEstimate(capacity, completions);
    }

    @Override
    public double learnedCapacity() {
        return backend.metrics()
                .map(ControllerMetrics::queueCapacity)
                .filter(Double::isFinite)
                .orElse(0.0);
    }

    @Override
    public boolean isWarmedUp() {
        return backend.metrics().filter(metrics -> metrics.speedFraction() >= 1).isPresent();
    }

    @Override
    public void reload(ConfigurationValues values) throws InvalidConfigurationException {
        if (fleet.isPresent()) {
            fleet.get().reload(values);
        }
    }

    @Override
    public Optional<String> statusJson() {
        String json = coordinator.statusJson();
        return Optional.of(
                fleet.map(assembly -> json.substring(0, json.length() - 1) + assembly.statusJsonMembers() + "}")
                        .orElse(json));
    }

    @Override
    public void startShutdown() {
        coordinator.announceLeave();
    }
}
