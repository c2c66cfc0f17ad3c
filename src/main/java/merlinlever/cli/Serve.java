package merlinlever.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import merlinlever.core.Backend;
import merlinlever.core.Shape;
import merlinlever.core.Stated;
import merlinlever.directory.Reports;
import merlinlever.http.EdgeNodes;
import merlinlever.json.Json;
import merlinlever.log.Log;
import merlinlever.manage.Manage;
import merlinlever.manage.Telling;
import merlinlever.net.Clock;
import merlinlever.net.HangUp;
import merlinlever.net.Loop;

/** One real backend: puts the parties round the core and runs until it is told to leave. */
public final class Serve {

    private static final Duration REPORT = Duration.ofSeconds(1);
    private static final Duration COMPARE = Duration.ofSeconds(1);
    /** What is answered at the last moment has this long to leave before the stop. */
    private static final Duration LAST_WRITES = Duration.ofMillis(150);
    /** The signal may take so long to get to the loop; the grace counts from the signal. */
    private static final Duration SIGNAL = Duration.ofMillis(100);
    /** So many descriptors, one part of them, are for calls in hand. */
    private static final int CALLS_PART = 8;
    /** Descriptors that are for neither edge nodes nor calls: the other links, files of the runtime. */
    private static final int OTHER_DESCRIPTORS = 24;
    /** A configuration that cannot be used may be half written still: so often and so much later it is read again. */
    private static final int READINGS = 5;
    private static final Duration READ_AGAIN = Duration.ofMillis(100);

    /** What cannot be started with; its message is for the person at the console. */
    public static final class Unusable extends Exception {
        private static final long serialVersionUID = 1;

        Unusable(String message) {
            super(message);
        }
    }

    /** Where the parties are. */
    private record Parties(InetSocketAddress agent, InetSocketAddress records, InetSocketAddress lookup) {
        static Parties of(Map<String, String> configuration) throws Unusable {
            return new Parties(address(configuration, "agent"),
                    configuration.containsKey("records") ? address(configuration, "records") : null,
                    address(configuration, "lookup"));
        }
    }

    private final Map<String, String> environment;
    private final Log log;
    private final Clock clock;
    private final Loop loop;
    private final Map<String, String> given;
    private final Assembly assembly;
    private final Backend backend;
    private final EdgeNodes edge;
    private final Reports reports;
    /** Null where nobody manages it, as on the platform. */
    private final Manage manage;
    /** Null where it keeps nothing for a return, as on the platform; its class is not loaded then. */
    private final Recovering recovering;
    private final Duration stopAfter;
    private final boolean listFollows;
    private final String rehearsed;
    private final CountDownLatch over = new CountDownLatch(1);

    public Serve(Map<String, String> environment, Log log) throws Unusable {
        this.environment = environment;
        this.log = log;
        Map<?, ?> configuration = configuration();
        Map<String, String> stated = configuration.get("settings") instanceof Map<?, ?> map ? Json.flat(map) : Map.of();
        List<String> unknown = Stated.unknown(stated);
        if (!unknown.isEmpty()) {
            log.warn("settings that are not known: " + String.join(" ", unknown));
        }
        given = Stated.translate(stated);
        List<String> problems = Shape.problems(given);
        if (!problems.isEmpty()) {
            throw new Unusable(environment.get("GW_CONFIG") + ": " + problems.get(0));
        }
        Map<String, String> rest = Json.flat(configuration);
        InetSocketAddress listen = address(rest, "listen");
        stopAfter = Duration.ofMillis((long) number(rest, "stop_ms", 3000));
        int sockets = (int) number(rest, "limits.sockets", 1024);
        int calls = Math.max(4, sockets / CALLS_PART);
        try {
            Parties parties = Parties.of(rest);
            long began = System.nanoTime();
            int operations = Rehearsal.run(given, parties.records() != null);
            rehearsed = "rehearsed with " + operations + " operations in " + (System.nanoTime() - began) / 1_000_000 + " ms";
            clock = Clock.system();
            loop = new Loop(clock, failure -> log.error("failed", failure));
            assembly = new Assembly(loop, given, seed(rest.get("seed")), parties.agent(), parties.records(), calls, log);
            backend = assembly.backend;
            edge = assembly.edge;
            reports = new Reports(parties.lookup(), rest.getOrDefault("name", ""));
            recovering = rest.containsKey("recovery.state") ? new Recovering(rest, loop, backend, given, seed(rest.get("seed")), log) : null;
            edge.listen(listen, Math.max(16, sockets - OTHER_DESCRIPTORS - calls));
            manage = rest.containsKey("manage") ? new Manage(loop, address(rest, "manage"), () -> Telling.of(backend.leaving(),
                    backend.healthy(), backend.inHand(), clock.uptime().toMillis(), backend.figures(),
                    recovering == null ? null : recovering.json())) : null;
        } catch (IOException e) {
            throw new Unusable("cannot listen on " + rest.get("listen") + ": " + e.getMessage());
        } catch (NumberFormatException e) {
            throw new Unusable("the settings hold what is no number: " + e.getMessage());
        }
        // Any report keeps a backend listed, but where the list follows what is reported: there one takes it off.
        listFollows = Boolean.parseBoolean(given.get("server.readiness"));
        loop.every(REPORT, this::report);
        loop.every(COMPARE, clock::compare);
    }

    private void report() {
        if (!backend.leaving() || listFollows) {
            reports.report(!backend.leaving() && (!backend.started() || backend.healthy()));
        }
    }

    /** Reads the file that the environment names. */
    private Map<?, ?> configuration() throws Unusable {
        String file = environment.get("GW_CONFIG");
        if (file == null) {
            throw new Unusable("GW_CONFIG names no configuration");
        }
        try {
            return Json.object(Files.readString(Path.of(file)));
        } catch (IOException e) {
            throw new Unusable("cannot read " + file + ": " + e.getClass().getSimpleName());
        } catch (Json.Malformed e) {
            throw new Unusable(file + ": " + e.getMessage());
        }
    }

    private static long seed(String hex) {
        return hex != null && hex.matches("[0-9a-fA-F]{1,16}") ? Long.parseUnsignedLong(hex, 16) : 0;
    }

    static double number(Map<String, String> rest, String name, double absent) throws Unusable {
        try {
            return Stated.number(rest, name, absent);
        } catch (NumberFormatException e) {
            throw new Unusable("the configuration's " + name + " is no number");
        }
    }

    static InetSocketAddress address(Map<String, String> rest, String name) throws Unusable {
        String text = rest.get(name);
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(colon + 1).matches("[0-9]{1,5}")
                || Integer.parseInt(text.substring(colon + 1)) > 65535) {
            throw new Unusable("the configuration has no usable address under " + name);
        }
        InetSocketAddress address = new InetSocketAddress(text.substring(0, colon),
                Integer.parseInt(text.substring(colon + 1)));
        if (address.isUnresolved()) {
            throw new Unusable("the address under " + name + " is not known: " + text);
        }
        return address;
    }

    static int main(Map<String, String> environment) {
        Log log = new Log(System.out, Instant::now);
        try {
            Serve serve = new Serve(environment, log);
            HangUp.handle(() -> serve.loop.execute(() -> serve.reread(READINGS)));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> serve.leaveAndWait()));
            log.info("listening on " + serve.edge.address());
            log.info(serve.rehearsed);
            try {
                serve.loop.run();
            } finally {
                serve.over.countDown();
            }
            return 0;
        } catch (Unusable | IOException e) {
            System.err.println("merlinlever: " + e.getMessage());
            return 1;
        }
    }

    /** The configuration was replaced: the parties may be elsewhere now; all else stays as it was at the start. */
    private void reread(int readings) {
        try {
            Map<String, String> rest = Json.flat(configuration());
            Parties parties = Parties.of(rest);
            log.info("configuration read again: " + parties);
            assembly.agent.moveTo(parties.agent());
            assembly.records.moveTo(parties.records());
            reports.moveTo(parties.lookup());
            report();
            if (recovering != null) {
                recovering.reread(rest);
            }
        } catch (Unusable e) {
            log.warn("configuration not taken over: " + e.getMessage());
            if (readings > 1) {
                loop.in(READ_AGAIN, () -> reread(readings - 1));
            }
        }
    }

    /** On the thread that the signal has started. */
    private void leaveAndWait() {
        loop.execute(this::leave);
        try {
            over.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void leave() {
        Duration stop = stopAfter.minus(LAST_WRITES);
        Duration grace = Duration.ofMillis((long) Stated.number(given, "rules.drain-grace", 0));
        if (recovering != null) {
            recovering.leave();
        }
        backend.leave(clock.now().minus(SIGNAL), clock.now().plus(stop));
        // Within the grace work goes on; after it nothing new is begun, so nothing new need come.
        loop.in(grace.compareTo(stop) < 0 ? grace : stop, () -> {
            edge.close();
            Duration last = clock.uptime().plus(grace.compareTo(stop) < 0 ? stop.minus(grace) : Duration.ZERO);
            loop.every(Duration.ofMillis(10), () -> endWhenAnswered(last));
        });
    }

    /** Not before the last moment while a connection is open: what is written to it as it ends here would be lost. */
    private void endWhenAnswered(Duration last) {
        if (backend.inHand() == 0 && edge.allWritten() && (edge.none() || clock.uptime().compareTo(last) >= 0)) {
            Map<String, Long> watched = backend.watched();
            if (!watched.isEmpty()) {
                log.info("watch: the watched settings would have decided otherwise " + watched);
            }
            log.info("all is answered");
            loop.stop();
        }
    }
}
