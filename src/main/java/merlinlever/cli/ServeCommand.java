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
 * The {@code serve} command: one real backend in one process. It reads the configuration, assembles the backend with its links to
 * the other programs, warms up, listens, and runs the event loop until a graceful shutdown has finished. SIGHUP has the
 * configuration reloaded ({@link ConfigurationReloader}), SIGTERM starts the shutdown ({@link GracefulShutdown}).
 */
public final class ServeCommand implements ProcessSignals.Subscriber {

    private static final Duration CLOCK_COMPARISON_PERIOD = Duration.ofSeconds(1);
    /** This fraction of the file descriptors is for calls to the downstream service. */
    private static final int DESCRIPTORS_PER_CALL = 8;

    private static final int MIN_CALLS = 4;
    /** File descriptors for neither edge connections nor calls: the other links, files of the runtime. */
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
    /** Whether the service directory lists backends by what they report; elsewhere any report keeps one listed. */
    private final boolean directoryFollowsReports;

    private final LogEvent warmUpReport;

    /** Everything but the listening: no client may connect before it is certain who receives the signals. */
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
            throw new InvalidConfigurationException("cannot be started with: " + e.getMessage(), e);
        } catch (IllegalArgumentException | ArithmeticException e) {
            throw new InvalidConfigurationException("cannot be served: " + e, e);
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
        // Before anything else: a SIGHUP that nobody handles ends the runtime.
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
            // A shutdown hook waits for the event loop, which runs no more.
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

    /** Applies new addresses of the other programs; all other changes wait for the next start. */
    private void apply(ServeConfiguration reloaded) throws InvalidConfigurationException {
        recovery.reload(reloaded.values());
        log.write(LogEvent.info("configuration-reloaded")
                .with("agent", text(reloaded.agentAddress()))
                .with("records", text(reloaded.recordsAddress()))
                .with("lookup", text(reloaded.directoryAddress())));
        if (!reloaded.rawSettings().equals(configuration.rawSettings())) {
            log.write(LogEvent.warn("changed-settings-ignored").with("until", "restart"));
        }
        assembly.agent().setAddress(reloaded.agentAddress());
        assembly.records().setAddress(reloaded.recordsAddress());
        heartbeats.setAddress(reloaded.directoryAddress());
        sendHeartbeat();
    }

    private static String text(InetSocketAddress address) {
        return address == null ? "none" : SocketAddresses.format(address);
    }
}
