package review;

import static review.Support.note;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Backends under load whose links to the render farm agent break now and then. The third argument says what is judged:
 * the replies to calls, or the runs of a keyed class.
 */
public final class LinkBreaks {
    private static final int BACKENDS = 4;
    private static final long LOAD_MS = 75_000;
    private static final int MEAN_BREAK_MS = 2000;
    /** One line in four is written in two pieces, up to 10 ms apart. */
    private static final double PIECES = 0.25;

    private static final int PIECE_MS = 10;
    /** A second run counts if its edge node was answered later than this after the run began, or never. */
    private static final long CLEARLY_BEFORE_NANOS = 1_000_000;

    /** A class of requests, how its runs go and how many requests of it come to each backend in a second. */
    private record Load(String service, String semantics, Platform.Kind kind, String settings, double perSecond) {}

    private static final Load CALLS = new Load(
            "season-view",
            "repeatable",
            new Platform.Kind(2, 15, 75),
            "\"aim\":2200,\"hard-limit\":5500,\"gain\":2,\"late-value\":0,\"window\":5000",
            45);
    private static final Load KEYED = new Load(
            "price-check",
            "by_key",
            new Platform.Kind(0, 20, 110),
            "\"aim\":1400,\"hard-limit\":3400,\"gain\":1,\"late-value\":0,\"window\":5000",
            70);

    private LinkBreaks() {}

    public static void main(String[] arguments) throws Exception {
        Support.begin(arguments[0], arguments[1], 115);
        try {
            run(arguments[2].equals("keyed") ? KEYED : CALLS);
        } catch (Exception e) {
            Support.end(Support.COULD_NOT_RUN, e.toString());
        }
    }

    private static void run(Load load) throws Exception {
        String command = Platform.runCommand();
        boolean keyed = load == KEYED;
        Map<String, Long> over = new ConcurrentHashMap<>();
        Platform.Records records = new Platform.Records(10, 30, 7);
        int directory = Platform.directory();
        Platform.AgentCounts counts = new Platform.AgentCounts();
        List<Platform.Agent> agents = new ArrayList<>();
        List<Platform.EdgeNode> edges = new ArrayList<>();
        List<Process> processes = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            Platform.Agent agent = new Platform.Agent(
                    "n" + i, Map.of(load.service, load.kind), counts, 100 + i, PIECES, PIECE_MS, over::containsKey);
            agents.add(agent);
            int port = Support.freePort();
            Path config = Support.temp.resolve("n" + i + ".json");
            Files.writeString(
                    config,
                    "{\"name\":\"n" + i + "\",\"listen\":\"127.0.0.1:" + port + "\",\"agent\":\"127.0.0.1:"
                            + agent.port() + "\",\"lookup\":\"127.0.0.1:" + directory + "\",\"records\":\"127.0.0.1:"
                            + records.port() + "\",\"seed\":\"8c1f30d27a5be96" + i
                            + "\",\"stop_ms\":3200,\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512},"
                            + "\"settings\":{\"family-info\":{\"n-cores\":6,\"memory-kb\":18946,\"blowup\":4.0,"
                            + "\"kb-per-key\":10,\"gauges\":[\"runnable\"],\"halt\":\"drop\",\"below\":\"tier\","
                            + "\"calls-by-class\":[" + !keyed + "],"
                            + "\"hangup-seen\":true,\"passes-deadline\":true,\"idle\":15000},"
                            + "\"invariants\":{\"answer-slack\":80,\"cold\":18000,\"cold-share\":0.21,"
                            + "\"drain-grace\":2000,\"overload-factor\":8,\"overload-for\":1500},\"services\":[{"
                            + "\"name\":\"" + load.service + "\",\"semantics\":\"" + load.semantics + "\","
                            + load.settings
                            + "}]}}");
            Path log = Support.temp.resolve("n" + i + ".log");
            processes.add(Support.start(
                    log,
                    Map.of("GW_CONFIG", config.toString(), "GW_NAME", "n" + i, "GW_LISTEN", "127.0.0.1:" + port),
                    "/bin/sh",
                    "-c",
                    command));
            Support.awaitLog(log, "agent-up", 1, 30_000);
            edges.add(new Platform.EdgeNode(port, load.service, keyed, 3400, 1000 + i, over));
        }
        note(BACKENDS + " backends started");
        List<Thread> loads = new ArrayList<>();
        for (Platform.EdgeNode edge : edges) {
            loads.add(Platform.daemon("load", () -> {
                try {
                    edge.load(load.perSecond, LOAD_MS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        if (Support.TROUBLE) {
            Random chance = new Random(3);
            for (Platform.Agent agent : agents) {
                long seed = chance.nextLong();
                Platform.daemon("breaks", () -> {
                    Random pauses = new Random(seed);
                    while (true) {
                        Support.sleep(MEAN_BREAK_MS / 2 + pauses.nextInt(MEAN_BREAK_MS));
                        agent.breakLink();
                    }
                });
            }
        }
        for (Thread each : loads) {
            each.join();
        }
        for (int i = 0; i < BACKENDS; i++) {
            note("n" + i + ": " + edges.get(i).summary());
            if (!processes.get(i).isAlive()) {
                Support.end(Support.BROKEN, "backend n" + i + " has ended");
            }
        }
        note("runs " + counts.runs + ", calls answered " + counts.callsAnswered + ", links broken " + counts.linksBroken
                + ", replies delivered while no call waited (ignored) " + counts.repliesToNoCall
                + ", launches of what runs already (ignored) " + counts.launchesOfRunning
                + ", launches of what has ended " + counts.launchesOfEnded
                + ", of these run a second time " + counts.secondRuns.size());
        long served = edges.stream().mapToLong(edge -> edge.served.get()).sum();
        if (served == 0) {
            Support.end(Support.COULD_NOT_RUN, "nothing was served");
        }
        if (keyed) {
            // Those whose answer was on its way at that moment are left out.
            long unanswered = counts.secondRuns.entrySet().stream()
                    .filter(run -> over.getOrDefault(run.getKey(), Long.MAX_VALUE) - run.getValue() > CLEARLY_BEFORE_NANOS)
                    .count();
            if (unanswered > 0) {
                Support.end(
                        Support.BROKEN,
                        unanswered + " of " + counts.runs
                                + " runs of a keyed class were second runs of a try that was not answered yet");
            }
            Support.end(Support.HELD, "each keyed try was run once at most, " + counts.runs + " in all");
        }
        if (counts.wrongReplies.get() > 0) {
            Support.end(
                    Support.BROKEN,
                    counts.wrongReplies + " of " + counts.callsAnswered
                            + " calls were answered with the reply to an earlier call of the run");
        }
        Support.end(Support.HELD, "each call got its own reply, " + counts.callsAnswered + " in all");
    }
}
