package merlinlever.testing.measurement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import merlinlever.controller.Decision;
import merlinlever.controller.Decisions;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.RequestHandle;
import merlinlever.controller.settings.RawSettings;
import merlinlever.controller.settings.SettingsParser;
import merlinlever.policy.OverloadController;

/**
 * Measures how many decisions per second one {@link OverloadController} makes, on one thread. A fixed, seeded stream of
 * arrivals and completions in virtual time overloads a server by half, so that requests are queued, started and
 * rejected. Each round replays the same stream on a new controller; the checksum of its decisions shows whether two
 * builds decide alike. Started by {@code make bench}; not part of CI.
 */
public final class DecisionBenchmark {

    private static final long SEED = 42;
    private static final int CORES = 8;
    private static final int ARRIVALS_PER_ROUND = 40_000;
    private static final double MEAN_RUN_MS = 8;
    private static final double LOAD = 1.5;
    private static final double MEAN_ARRIVAL_GAP_MS = MEAN_RUN_MS / CORES / LOAD;
    private static final double MEMORY_KB_PER_REQUEST = 4;
    private static final Duration GAUGE_PERIOD = Duration.ofMillis(50);
    private static final Duration WARM_UP_TIME = Duration.ofSeconds(5);
    private static final Duration MEASURED_TIME = Duration.ofSeconds(10);
    private static final int CHECKSUM_FACTOR = 31;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    /** The priority classes: idempotent, idempotent by key, not idempotent. */
    private static final String[] SEMANTICS = {"repeatable", "by_key", "once"};

    private DecisionBenchmark() {}

    /** Runs the benchmark and prints its result. */
    public static void main(String[] arguments) {
        measure(WARM_UP_TIME);
        Result result = measure(MEASURED_TIME);
        System.out.printf(
                Locale.ROOT,
                "decisions_per_second=%.0f batches_per_second=%.0f rounds=%d seconds=%.1f"
                        + " started=%d rejected=%d checksum=%08x%n",
                result.decisions / result.seconds,
                result.batches / result.seconds,
                result.rounds,
                result.seconds,
                result.lastRound.started,
                result.lastRound.rejected,
                result.lastRound.checksum);
    }

    /** The sums over all rounds, and one of the rounds, which are all alike. */
    private record Result(int rounds, long batches, long decisions, double seconds, Round lastRound) {}

    private static Result measure(Duration time) {
        long start = System.nanoTime();
        long batches = 0;
        long decisions = 0;
        int rounds = 0;
        Round round;
        do {
            round = new Round();
            round.play();
            batches += round.batches;
            decisions += round.decisions;
            rounds++;
        } while (System.nanoTime() - start < time.toNanos());
        double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
        return new Result(rounds, batches, decisions, seconds, round);
    }

    private static Map<String, String> settings() {
        Map<String, String> settings = new HashMap<>();
        settings.put("family-info.n-cores", String.valueOf(CORES));
        settings.put("family-info.memory-kb", "100000");
        settings.put("family-info.gauges", "cpu_busy,runnable");
        settings.put("services.count", String.valueOf(SEMANTICS.length));
        for (int i = 0; i < SEMANTICS.length; i++) {
            String prefix = "services." + i + ".";
            settings.put(prefix + "name", "class-" + i);
            settings.put(prefix + "semantics", SEMANTICS[i]);
            settings.put(prefix + "gain", String.valueOf(1 + i));
            settings.put(prefix + "aim", "500");
            settings.put(prefix + "hard-limit", "2000");
            settings.put(prefix + "window", "1000");
        }
        return settings;
    }

    /** A run in progress. */
    private record Run(RequestHandle handle, Duration endsAt) {}

    /** One replay of the stream. */
    private static final class Round {
        private final Random random = new Random(SEED);
        private final OverloadController controller =
                new OverloadController(SettingsParser.parse(RawSettings.of(settings())), SEED);
        private final PriorityQueue<Run> runs = new PriorityQueue<>(Comparator.comparing(Run::endsAt));
        private final Queue<RequestHandle> arrivals = new ArrayDeque<>();
        private Duration nextGauges = Duration.ZERO;
        private Duration nextDecision = Duration.ofDays(1);
        private long batches;
        private long decisions;
        private int started;
        private int rejected;
        private int checksum;

        void play() {
            Duration nextArrival = exponential(MEAN_ARRIVAL_GAP_MS);
            for (int arrived = 0; arrived < ARRIVALS_PER_ROUND; ) {
                Duration now = earliest(nextArrival);
                if (now.equals(nextArrival)) {
                    submit(now);
                    arrived++;
                    nextArrival = now.plus(exponential(MEAN_ARRIVAL_GAP_MS));
                }
                endRuns(now);
                if (now.compareTo(nextGauges) >= 0) {
                    controller.updateGauges(now, new double[] {Math.min(1, runs.size() / (double) CORES), runs.size()});
                    nextGauges = now.plus(GAUGE_PERIOD);
                }
                decide(now);
            }
        }

        /** The time of the next event. */
        private Duration earliest(Duration nextArrival) {
            Duration earliest = nextArrival;
            Duration nextEnd = runs.isEmpty() ? earliest : runs.peek().endsAt();
            for (Duration candidate : new Duration[] {nextEnd, nextGauges, nextDecision}) {
                earliest = candidate.compareTo(earliest) < 0 ? candidate : earliest;
            }
            return earliest;
        }

        private void submit(Duration now) {
            int priorityClass = random.nextInt(SEMANTICS.length);
            arrivals.add(controller.submit(
                    now,
                    RequestAttributes.ofClass(priorityClass)
                            .memoryKb(MEMORY_KB_PER_REQUEST)
                            .build()));
        }

        private void endRuns(Duration now) {
            while (!runs.isEmpty() && runs.peek().endsAt().compareTo(now) <= 0) {
                runs.poll().handle().runEnded(now, Outcome.OK);
            }
        }

        private void decide(Duration now) {
            Decisions decided = controller.decide(now);
            batches++;
            decisions += decided.inExecutionOrder().size();
            for (Decision decision : decided.inExecutionOrder()) {
                checksum = CHECKSUM_FACTOR * checksum
                        + decision.getClass().getSimpleName().hashCode();
                if (decision instanceof Decision.Reject) {
                    rejected++;
                }
                if (decision instanceof Decision.Start start) {
                    started++;
                    runs.add(new Run(start.request(), now.plus(exponential(MEAN_RUN_MS))));
                }
            }
            checksum = CHECKSUM_FACTOR * checksum + Long.hashCode(now.toNanos());
            nextDecision = decided.nextDecisionAt();
        }

        private Duration exponential(double meanMs) {
            return Duration.ofNanos(1 + (long) (-Math.log(1 - random.nextDouble()) * meanMs * NANOS_PER_MILLI));
        }
    }
}
