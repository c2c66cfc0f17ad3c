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
 * Assembles the recovery of one backend after a restart: persisted state on disk, membership with the other backends
 * and, if configured, the other fleet components ({@link FleetAssembly}). Loaded only if the configuration has
 * {@code recovery}. Runs on the event loop.
 */
final class RecoveryAssembly implements RecoveringService, RecoveryParticipation {

    private static final String PREFIX = "recovery.";
    private static final List<String> ALLOWED_NAMES = List.of(
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
    /** Also empty during construction, when the coordinator already calls methods of this object. */
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
                    "with recovery the configuration's name has to have 1 to 40 printable characters");
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
            if (path.startsWith(PREFIX) && !ALLOWED_NAMES.contains(path.substring(PREFIX.length()))) {
                throw new InvalidConfigurationException("the configuration's " + path
                        + " is unknown; allowed in recovery: " + String.join(", ", ALLOWED_NAMES));
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
                        "the configuration's recovery.seeds has '" + seed + "', which is not an ADDRESS:PORT");
            }
            seeds.add(seed);
        }
        return seeds;
    }

    private static Optional<String> advertisedAddress(ConfigurationValues values) throws InvalidConfigurationException {
        String text = values.text(PREFIX + "advertise", null);
        if (text != null && MembershipTransport.parseAddress(text) == null) {
            throw new InvalidConfigurationException(
                    "the configuration's recovery.advertise is not an ADDRESS:PORT: " + text);
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

    /** Returns the longest idempotency window of the priority classes that are not idempotent. */
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
                    "the configuration's recovery." + name + " has to be from 10 to 600000");
        }
        return Duration.ofMillis((long) ms);
    }

    private static String secret(ConfigurationValues values) throws InvalidConfigurationException {
        String file = values.text(PREFIX + "secret-file", null);
        try {
            String secret = file == null ? "" : Files.readString(Path.of(file)).strip();
            if (secret.length() < MIN_SECRET_CHARACTERS) {
                throw new InvalidConfigurationException(
                        "the configuration's recovery.secret-file has to name a file with 16 characters or more");
            }
            return secret;
        } catch (IOException e) {
            throw new InvalidConfigurationException(
                    "the configuration's recovery.secret-file cannot be read: " + file, e);
        }
    }

    /** Converts a time since process start to a time on the controller's clock. */
    static Duration toControllerTime(EventLoop loop, Duration sinceProcessStart) {
        return loop.clock().now().plus(sinceProcessStart.minus(loop.clock().uptime()));
    }

    @Override
    public void admitNonIdempotent(Duration from, Duration to) {
        boolean permitted =
                fleet.map(FleetAssembly::mayStartNonIdempotentRequests).orElse(true);
        backend.permitNonIdempotentStarts(
                toControllerTime(loop, from), toControllerTime(loop, permitted ? to : Duration.ZERO));
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
