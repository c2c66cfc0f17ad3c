package merlinlever.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import merlinlever.core.Backend;
import merlinlever.core.SettingsTranslator;
import merlinlever.directory.HeartbeatSender;
import merlinlever.http.EdgeServer;
import merlinlever.log.Log;
import merlinlever.management.ManagementServer;
import merlinlever.management.StatusReport;
import merlinlever.net.EventLoop;
import merlinlever.net.MonotonicClock;
import merlinlever.net.ProcessSignals;

/** One real backend: puts the parties round the core and runs until it is told to leave. */
public final class ServeCommand implements ProcessSignals.Subscriber {

    /** So often it is looked at whether all is answered. */
    private static final Duration POLL = Duration.ofMillis(10);

    private static final Duration COMPARE = Duration.ofSeconds(1);
    /** What is answered at the last moment has this long to leave before the stop. */
    private static final Duration LAST_WRITES = Duration.ofMillis(150);
    /** What crosses the end is read for so long; less than that before the stop. */
    private static final Duration CROSSING = Duration.ofMillis(60);
    /** The signal may take so long to get to the loop; the grace counts from the signal. */
    private static final Duration SIGNAL = Duration.ofMillis(100);
    /** So many descriptors, one part of them, are for calls in hand. */
    private static final int CALLS_PART = 8;
    /** Descriptors that are for neither edge nodes nor calls: the other links, files of the runtime. */
    private static final int OTHER_DESCRIPTORS = 24;

    private static final int LEAST_CALLS = 4;
    /** A configuration that cannot be used may be half written still: so often and so much later it is read again. */
    private static final int READINGS = 5;

    private static final Duration READ_AGAIN = Duration.ofMillis(100);

    /** What cannot be started with; its message is for the person at the console. */
    public static final class InvalidConfigurationException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidConfigurationException(String message) {
            super(message);
        }
    }

    private final Map<String, String> environment;
    private final Log log;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final ServeConfiguration started;
    private final BackendAssembly assembly;
    private final Backend backend;
    private final EdgeServer edge;
    private final HeartbeatSender heartbeats;
    /** Null where nobody manages it, as on the platform. */
    private final ManagementServer manage;
    /** Null where it keeps nothing for a return, as on the platform; its class is not loaded then. */
    private final RecoveryAssembly recovering;

    private final boolean listFollows;
    private final String rehearsed;
    /** The next reading of a configuration that could not be used, or null. */
    private EventLoop.Timer readingAgain;

    private boolean shutResting, ended;

    /** All but the listening, so that nobody is taken in before it is known who hears of the notice to leave. */
    private ServeCommand(Map<String, String> environment, Log log, long began) throws InvalidConfigurationException {
        this.environment = environment;
        this.log = log;
        started = ServeConfiguration.read(environment);
        started.remarks().forEach(log::warn);
        Map<String, String> rest = started.rest();
        Map<String, String> given = started.given();
        try {
            long rehearsing = System.nanoTime();
            Duration longest = WarmUp.longest(Duration.ofNanos(rehearsing - began));
            int operations = WarmUp.run(given, started.records() != null, longest);
            rehearsed = "rehearsed with " + operations + " operations in "
                    + (System.nanoTime() - rehearsing) / 1_000_000 + " ms";
            clock = MonotonicClock.system();
            loop = new EventLoop(clock, failure -> log.error("failed", failure));
            assembly =
                    new BackendAssembly(loop, given, started.seed(), started.agent(), started.records(), calls(), log);
            backend = assembly.backend;
            edge = assembly.edge;
            heartbeats = new HeartbeatSender(started.lookup(), started.name());
            recovering = rest.containsKey("recovery.state")
                    ? new RecoveryAssembly(rest, loop, backend, given, started.seed(), log)
                    : null;
            manage = rest.containsKey("manage")
                    ? new ManagementServer(
                            loop,
                            address(rest, "manage"),
                            () -> StatusReport.of(
                                    backend.isDraining(),
                                    backend.isHealthy(),
                                    backend.unansweredRequests(),
                                    clock.uptime().toMillis(),
                                    backend.metrics().orElse(null),
                                    recovering == null ? null : recovering.json()))
                    : null;
        } catch (IOException e) {
            throw new InvalidConfigurationException("cannot be started with: " + e.getMessage());
        } catch (RuntimeException e) {
            throw new InvalidConfigurationException("cannot be served: " + e);
        }
        // Any report keeps a backend listed, but where the list follows what is reported: there one takes it off.
        listFollows = Boolean.parseBoolean(given.get("server.readiness"));
    }

    private int calls() {
        return Math.max(LEAST_CALLS, started.sockets() / CALLS_PART);
    }

    private void listen() throws InvalidConfigurationException {
        try {
            edge.listen(address(started.rest(), "listen"), started.sockets() - OTHER_DESCRIPTORS - calls());
        } catch (IOException e) {
            throw new InvalidConfigurationException(
                    "cannot listen on " + started.rest().get("listen") + ": " + e.getMessage());
        }
        loop.every(HeartbeatSender.PERIOD, this::beat);
        loop.every(COMPARE, clock::compare);
    }

    private void beat() {
        if (!backend.isDraining() || listFollows) {
            heartbeats.beat(!backend.isDraining() && (!backend.isStarted() || backend.isHealthy()));
        }
    }

    static double number(Map<String, String> rest, String name, double absent) throws InvalidConfigurationException {
        try {
            return SettingsTranslator.number(rest, name, absent);
        } catch (NumberFormatException e) {
            throw new InvalidConfigurationException(
                    "the configuration's " + name + " is " + rest.get(name) + "; allowed: a number");
        }
    }

    static InetSocketAddress address(Map<String, String> rest, String name) throws InvalidConfigurationException {
        String text = rest.get(name);
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0
                || !text.substring(colon + 1).matches("[0-9]{1,5}")
                || Integer.parseInt(text.substring(colon + 1)) > 65535) {
            throw new InvalidConfigurationException("the configuration's " + name
                    + (text == null ? " is missing" : " is " + text) + "; allowed: ADDRESS:PORT");
        }
        InetSocketAddress address =
                new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        if (address.isUnresolved()) {
            throw new InvalidConfigurationException("the configuration's " + name + " is not known: " + text);
        }
        return address;
    }

    static int main(Map<String, String> environment) {
        // Before anything else: a SIGHUP that nobody handles ends the runtime.
        return main(environment, ProcessSignals.ofProcess(), new Log(System.out, Instant::now), System.err);
    }

    private static int main(Map<String, String> environment, ProcessSignals signals, Log log, PrintStream console) {
        try {
            ServeCommand serve = new ServeCommand(environment, log, System.nanoTime());
            if (!signals.receive(serve)) {
                return 0;
            }
            serve.listen();
            log.info("listening on " + serve.edge.address());
            log.info(serve.rehearsed);
            serve.loop.run();
            return 0;
        } catch (InvalidConfigurationException | IOException e) {
            console.println(("merlinlever: " + inFile(environment) + e.getMessage()).replaceAll("\\p{Cntrl}", " "));
            return 1;
        } finally {
            // A shutdown hook waits for the loop, which runs no more.
            signals.over();
        }
    }

    private static String inFile(Map<String, String> environment) {
        return environment.containsKey("GW_CONFIG") ? environment.get("GW_CONFIG") + ": " : "";
    }

    @Override
    public void hangUp() {
        loop.execute(() -> reread(READINGS, null));
    }

    @Override
    public void terminate() {
        loop.execute(this::leave);
    }

    /**
     * The configuration was replaced: the parties may be elsewhere now; all else stays as it was at the start.
     *
     * @param said why it could not be used at the first of these readings, or null
     */
    private void reread(int readings, String said) {
        if (readingAgain != null) {
            // That of a signal before, or the one that runs now.
            readingAgain.callOff();
            readingAgain = null;
        }
        try {
            ServeConfiguration read = ServeConfiguration.read(environment);
            if (recovering != null) {
                recovering.reread(read.rest());
            }
            log.info("configuration read again: agent " + read.agent() + ", records " + read.records() + ", lookup "
                    + read.lookup());
            if (!read.given().equals(started.given())) {
                log.warn("other settings than at the start, for the next start");
            }
            assembly.agent.moveTo(read.agent());
            assembly.records.moveTo(read.records());
            heartbeats.moveTo(read.lookup());
            beat();
        } catch (InvalidConfigurationException e) {
            // One line, however often it is read, and one more where it is whole at last and can't be used for another
            // cause.
            boolean last = readings <= 1;
            if (said == null || (last && !said.equals(e.getMessage()))) {
                log.warn("configuration not taken over, the one before stays: " + inFile(environment) + e.getMessage());
            }
            if (!last) {
                String first = said == null ? e.getMessage() : said;
                readingAgain = loop.in(READ_AGAIN, () -> reread(readings - 1, first));
            }
        }
    }

    private void leave() {
        Duration stop = started.stopAfter().minus(LAST_WRITES);
        Duration grace = Duration.ofMillis((long) SettingsTranslator.number(started.given(), "rules.drain-grace", 0));
        if (recovering != null) {
            recovering.leave();
        }
        backend.startDrain(clock.now().minus(SIGNAL), clock.now().plus(stop));
        // Within the grace work goes on; after it nothing new is begun, so nothing new need come.
        loop.in(grace.compareTo(stop) < 0 ? grace : stop, () -> {
            edge.close();
            Duration last = clock.uptime().plus(grace.compareTo(stop) < 0 ? stop.minus(grace) : Duration.ZERO);
            // Not in this turn: a connection that was accepted in it is not with the edge nodes yet.
            loop.in(POLL, () -> loop.every(POLL, () -> endWhenAnswered(last)));
        });
    }

    /** Not before the last moment while a connection is open: what is written to it as it ends here would be lost. */
    private void endWhenAnswered(Duration last) {
        if (backend.unansweredRequests() > 0 || !edge.allWritten()) {
            return;
        }
        if (edge.none()) {
            end();
        } else if (!shutResting && clock.uptime().compareTo(last) >= 0) {
            // An end of the process over unread bytes would be a reset, and take unread answers with it.
            shutResting = true;
            log.info("the stop is near: resting connections are half-closed and read on");
            edge.shutResting();
            loop.in(CROSSING, this::end);
        }
    }

    private void end() {
        if (ended) {
            return;
        }
        ended = true;
        Map<String, Long> watched = backend.shadowDifferences();
        if (!watched.isEmpty()) {
            log.info("watch: the watched settings would have decided otherwise " + watched);
        }
        log.info("all is answered");
        loop.stop();
    }
}
