package merlinlever.cli.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import merlinlever.cli.service.ServiceRunner;
import merlinlever.cli.service.Slf4jEventLog;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.InvalidConfigFileException;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.net.SocketAddresses;
import merlinlever.common.storage.StateDirectories;
import merlinlever.common.storage.StateDirectory;
import merlinlever.fleet.recovery.RecoverySettings;
import merlinlever.fleet.recovery.net.NodeEnvironment;
import merlinlever.fleet.recovery.net.NodeSettings;
import merlinlever.fleet.recovery.net.RecoveringService;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;
import merlinlever.host.api.HostApiServer;
import merlinlever.host.disk.InstanceLedger;
import merlinlever.host.run.HostAgent;
import merlinlever.host.run.InstanceSpec;
import merlinlever.host.run.PeerAgents;
import merlinlever.host.state.SupervisorSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The process of {@code host run}: assembles, runs and shuts down the agent of one machine. */
final class HostAgentProcess {

    private static final Logger LOG = LoggerFactory.getLogger("host");
    private static final Duration SHUTDOWN_POLL_PERIOD = Duration.ofMillis(20);
    /** Time over which the launches of instances are spread, because all machines start at once after a power loss. */
    private static final Duration DEFAULT_LAUNCH_SPREAD = Duration.ofMillis(500);

    private static final Duration DEFAULT_SHUTDOWN_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration DEFAULT_SHUTDOWN_TIMEOUT_WITH_DRAIN = Duration.ofSeconds(60);
    /** Ratio of the shutdown timeout to the grace period in which new requests are still accepted. */
    private static final int GRACE_DIVISOR = 5;

    private static final int MIN_SECRET_CHARACTERS = 16;

    private final EventLoop loop;
    private final HostAgent agent;
    private final HostApiServer server;
    private final InetSocketAddress serverAddress;
    /** Empty if no other agents are configured. */
    private final Optional<RecoveryCoordinator> recovery;

    private final boolean drain;
    private final Duration shutdownTimeout;

    /**
     * Opens the listening sockets; instances are launched later, by {@link #run}.
     *
     * @param drain whether the agent drains its instances at shutdown
     * @throws InvalidConfigFileException if the agent cannot start with the configuration
     */
    HostAgentProcess(ConfigFile config, boolean drain) throws InvalidConfigFileException {
        this.drain = drain;
        shutdownTimeout =
                config.duration("stop", drain ? DEFAULT_SHUTDOWN_TIMEOUT_WITH_DRAIN : DEFAULT_SHUTDOWN_TIMEOUT);
        String secret = secret(config);
        Path stateFolder = config.path("state", "state");
        List<InstanceSpec> instances = InstanceSpecParser.parse(config, stateFolder);
        long seed = Long.parseUnsignedLong(config.text("seed", Long.toHexString(System.nanoTime())), 16);
        try {
            loop = new EventLoop(MonotonicClock.system(), failure -> LOG.error("event-loop-task-failed", failure));
            StateDirectory state = StateDirectories.open(stateFolder, System.getenv());
            InstanceLedger ledger = new InstanceLedger(state);
            recovery = config.has("members") ? Optional.of(recovery(config, state, secret, seed)) : Optional.empty();
            Optional<PeerAgents> peers =
                    recovery.map(coordinator -> new PeerAgents(loop, coordinator.membership(), secret));
            agent = new HostAgent(
                    loop,
                    ledger,
                    instances,
                    supervisorSettings(config),
                    config.duration("spread", DEFAULT_LAUNCH_SPREAD),
                    new SplittableRandom(seed),
                    new Slf4jEventLog(LOG));
            server = new HostApiServer(
                    loop,
                    new HostApiServer.Settings(
                            address(config, "listen"), config.text("name", ""), secret, gracePeriod(), seed),
                    agent,
                    peers,
                    recovery,
                    new Slf4jEventLog(LOG));
            serverAddress = server.address();
        } catch (InstanceLedger.CorruptLedgerException e) {
            throw new InvalidConfigFileException(e.getMessage(), e);
        } catch (IOException | IllegalArgumentException e) {
            throw new InvalidConfigFileException(config.file() + ": " + e.getMessage(), e);
        }
    }

    private static String secret(ConfigFile config) throws InvalidConfigFileException {
        Path file = config.path("secret-file", "");
        String secret;
        try {
            secret = Files.readString(file).strip();
        } catch (IOException e) {
            throw config.invalidValue("secret-file", "cannot be read: " + file, e);
        }
        if (secret.length() < MIN_SECRET_CHARACTERS) {
            throw config.invalidValue("secret-file", "the secret has fewer than 16 characters");
        }
        return secret;
    }

    private static SupervisorSettings supervisorSettings(ConfigFile config) {
        SupervisorSettings defaults = SupervisorSettings.DEFAULTS;
        return new SupervisorSettings(
                defaults.initialBackoff(),
                defaults.maxBackoff(),
                defaults.stableAfter(),
                (int) config.number("deaths", defaults.maxRestarts()),
                defaults.restartWindow(),
                config.duration("silent-after", defaults.statusTimeout()));
    }

    private RecoveryCoordinator recovery(ConfigFile config, StateDirectory state, String secret, long seed)
            throws InvalidConfigFileException, IOException {
        String apiAddress = config.text("listen", "");
        if (apiAddress.endsWith(":0")) {
            throw config.invalidValue(
                    "listen", "port 0 is not allowed with members, because other agents are given the port");
        }
        // Other agents send to the advertised address, which differs from the listening address behind a proxy such as
        // the fault harness.
        NodeSettings node = new NodeSettings(
                config.text("name", ""),
                address(config, "members.listen"),
                config.has("members.advertise") ? Optional.of(config.text("members.advertise", "")) : Optional.empty(),
                apiAddress,
                config.textList("members.seeds"),
                secret);
        return new RecoveryCoordinator(
                new NodeEnvironment(loop, state, System::currentTimeMillis),
                node,
                RecoverySettings.defaults(Duration.ZERO, Duration.ZERO),
                seed,
                RecoveringService.NONE,
                new Slf4jEventLog(LOG));
    }

    private static InetSocketAddress address(ConfigFile config, String path) throws InvalidConfigFileException {
        String text = config.text(path, "");
        return SocketAddresses.parse(text)
                .orElseThrow(() -> config.invalidValue(path, "expected ADDRESS:PORT, found " + text));
    }

    private Duration gracePeriod() {
        return shutdownTimeout.dividedBy(GRACE_DIVISOR);
    }

    /** Runs the agent until a shutdown by SIGTERM has completed. */
    void run() {
        ServiceRunner runner = ServiceRunner.withShutdownHook(loop, this::startShutdown);
        LOG.info("listening address={}", SocketAddresses.format(serverAddress));
        runner.run(() -> {});
    }

    private void startShutdown() {
        LOG.info("shutdown-started stop_ms={} drain_instances={}", shutdownTimeout.toMillis(), drain);
        server.startDrain(shutdownTimeout);
        recovery.ifPresent(RecoveryCoordinator::announceLeave);
        if (drain) {
            agent.drainAll();
        }
        loop.schedule(drain ? SHUTDOWN_POLL_PERIOD : gracePeriod(), () -> {
            if (!drain) {
                server.close();
            }
            loop.runNowAndEvery(SHUTDOWN_POLL_PERIOD, this::stopWhenIdle);
        });
        loop.schedule(shutdownTimeout, loop::stop);
    }

    private void stopWhenIdle() {
        if (server.isIdle() && (!drain || agent.areAllDown())) {
            loop.stop();
        }
    }
}
