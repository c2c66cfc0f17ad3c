package merlinlever.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import merlinlever.backend.Backend;
import merlinlever.backend.directory.HeartbeatSender;
import merlinlever.backend.management.ManagementServer;
import merlinlever.backend.management.StatusReport;
import merlinlever.common.log.Log;
import merlinlever.common.log.LogEvent;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.common.net.ProcessSignals;
import merlinlever.common.net.SocketAddresses;
import merlinlever.controller.settings.ControllerSettings;

/**
 * The {@code serve} command, which runs one backend in one process. The command reads the configuration, assembles the
 * backend with its links to other programs, warms up, listens, and runs the event loop until a graceful shutdown has
 * finished. SIGHUP reloads the configuration ({@link ConfigurationReloader}), SIGTERM starts the shutdown
 * ({@link GracefulShutdown}).
 */
public final class ServeCommand implements ProcessSignals.Subscriber {

    private static final Duration CLOCK_COMPARISON_PERIOD = Duration.ofSeconds(1);
    /** One of this many file descriptors is available for a downstream call. */
    private static final int DESCRIPTORS_PER_CALL = 8;

    private static final int MIN_CALLS = 4;
    /** File descriptors that neither edge connections nor calls use: those of the other links and of the JVM. */
    private static final int RESERVED_DESCRIPTORS = 24;

    private final ServeConfiguration configuration;
    private final Log log;
    private final EventLoop loop;
    private final BackendAssembly assembly;
    private final Backend backend;
    private final HeartbeatSender heartbeats;
    private final RecoveryParticipation recovery;
    private final ConfigurationReloader reloader;
    private final GracefulShutdown shutdown;
    /**
     * Whether the service directory lists only backends that report good health; otherwise any report keeps a backend
     * listed.
     */
    private final boolean directoryFollowsReports;

    private final LogEvent warmUpReport;

    /** Prepares everything except the listener, which opens only after this command has subscribed to the signals. */
    private ServeCommand(Map<String, String> environment, Log log, long processStartNanos)
            throws InvalidConfigurationException {
        this.log = log;
        configuration = ServeConfiguration.read(environment);
        configuration.warnings().forEach(log::warn);
        ControllerSettings settings = configuration.settings();
        try {
            warmUpReport = warmUp(processStartNanos);
            loop = new EventLoop(MonotonicClock.system(), failure -> log.error("event-loop-task-failed", failure));
            assembly = new BackendAssembly(
                    loop,
                    settings,
                    configuration.seed(),
                    configuration.agentAddress(),
                    configuration.recordsAddress(),
                    maxCalls(),
                    log);
            backend = assembly.backend();
            heartbeats = new HeartbeatSender(configuration.directoryAddress(), configuration.name());
            recovery = configuration.values().has("recovery.state")
                    ? new RecoveryAssembly(configuration, loop, backend, log)
                    : RecoveryParticipation.NONE;
            if (configuration.values().has("manage")) {
                new ManagementServer(loop, configuration.values().address("manage"), this::statusReport);
            }
        } catch (IOException e) {
            throw new InvalidConfigurationException("the backend cannot be started: " + e.getMessage(), e);
        } catch (IllegalArgumentException | ArithmeticException e) {
            throw new InvalidConfigurationException("the backend cannot be assembled: " + e, e);
        }
        directoryFollowsReports = settings.deployment().endpointListFollowsHealth();
        reloader = new ConfigurationReloader(environment, loop, log, this::apply);
        shutdown = new GracefulShutdown(
                loop,
                assembly,
                configuration.stopAfter(),
                Duration.ofMillis(settings.safety().drainGrace().toMillis()),
                log);
    }

    private LogEvent warmUp(long processStartNanos) {
        long startNanos = System.nanoTime();
        Duration timeLimit = WarmUp.timeLimit(Duration.ofNanos(startNanos - processStartNanos));
        int requests = WarmUp.run(configuration.settings(), configuration.recordsAddress() != null, timeLimit);
        long durationMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        return LogEvent.info("warm-up-finished").with("requests", requests).with("duration_ms", durationMs);
    }

    private String statusReport() {
        return StatusReport.toJson(
                backend.isDraining(),
                backend.isHealthy(),
                backend.unansweredRequests(),
                loop.clock().uptime().toMillis(),
                backend.metrics().orElse(null),
                recovery.statusJson().orElse(null));
    }

    private int maxCalls() {
        return Math.max(MIN_CALLS, configuration.maxDescriptors() / DESCRIPTORS_PER_CALL);
    }

    private void listen() throws InvalidConfigurationException {
        int maxConnections = configuration.maxDescriptors() - RESERVED_DESCRIPTORS - maxCalls();
        try {
            assembly.edge().listen(configuration.values().address("listen"), maxConnections);
        } catch (IOException e) {
            throw new InvalidConfigurationException(
                    "cannot listen on " + configuration.values().text("listen", "") + ": " + e.getMessage(), e);
        }
        loop.runNowAndEvery(HeartbeatSender.PERIOD, this::sendHeartbeat);
        loop.runNowAndEvery(CLOCK_COMPARISON_PERIOD, loop.clock()::resyncUnixOffset);
    }

    private void sendHeartbeat() {
        boolean draining = backend.isDraining();
        if (!draining || directoryFollowsReports) {
            heartbeats.send(!draining && (!backend.isStarted() || backend.isHealthy()));
        }
    }

    /** Runs the command until its shutdown has finished, and returns its exit status. */
    static int main(Map<String, String> environment) {
        // Installs the signal handlers first: a SIGHUP without a handler would terminate the JVM.
        return main(environment, ProcessSignals.ofProcess(), new Log(System.out, Instant::now), System.err);
    }

    private static int main(Map<String, String> environment, ProcessSignals signals, Log log, PrintStream console) {
        try {
            ServeCommand command = new ServeCommand(environment, log, System.nanoTime());
            if (!signals.subscribe(command)) {
                return 0;
            }
            command.listen();
            log.write(LogEvent.info("listening")
                    .with(
                            "address",
                            SocketAddresses.format(command.assembly.edge().address())));
            log.write(command.warmUpReport);
            command.loop.run();
            return 0;
        } catch (InvalidConfigurationException | IOException e) {
            String line = "merlinlever: " + ConfigurationReloader.filePrefix(environment) + e.getMessage();
            console.println(line.replaceAll("\\p{Cntrl}", " "));
            return 1;
        } finally {
            // Releases the shutdown hook, which waits for the event loop to finish.
            signals.completeShutdown();
        }
    }

    @Override
    public void onHangup() {
        loop.execute(reloader::reload);
    }

    @Override
    public void onTerminate() {
        loop.execute(() -> {
            recovery.startShutdown();
            shutdown.start();
        });
    }

    /** Applies new addresses of other programs and new quota sizes; all other changes require a restart. */
    private void apply(ServeConfiguration reloaded) throws InvalidConfigurationException {
        recovery.reload(reloaded.values());
        log.write(LogEvent.info("configuration-reloaded")
                .with("agent", format(reloaded.agentAddress()))
                .with("records", format(reloaded.recordsAddress()))
                .with("lookup", format(reloaded.directoryAddress())));
        if (!reloaded.rawSettings().equals(configuration.rawSettings())) {
            log.write(LogEvent.warn("changed-settings-ignored").with("until", "restart"));
        }
        assembly.agent().setAddress(reloaded.agentAddress());
        assembly.records().setAddress(reloaded.recordsAddress());
        heartbeats.setAddress(reloaded.directoryAddress());
        sendHeartbeat();
    }

    private static String format(InetSocketAddress address) {
        return address == null ? "none" : SocketAddresses.format(address);
    }
}
