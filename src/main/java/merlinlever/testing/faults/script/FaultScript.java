package merlinlever.testing.faults.script;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import merlinlever.common.WireNamed;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.InvalidConfigFileException;

/**
 * Reads and generates fault scripts: the steps of a YAML file (schema {@code faults}), random steps from a seed, or
 * both. The same file and seed give the same steps, and each step can be formatted as a line of a script for a replay.
 */
public final class FaultScript {

    public enum FaultKind implements WireNamed {
        KILL("kill"),
        TERM("term"),
        PAUSE("pause"),
        RESUME("resume"),
        RESTART("restart"),
        POWER("power"),
        ISOLATE("isolate"),
        PARTITION("partition"),
        DELAY("delay"),
        DROP("drop"),
        DUPLICATE("duplicate"),
        SLOW("slow"),
        RESET("reset"),
        HEAL("heal");

        private final String wireName;

        FaultKind(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /**
     * One fault at a time since the start. Empty lists of processes stand for all processes.
     *
     * @param peers processes at the other ends of the affected links
     * @param sides groups of processes that a partition separates
     * @param share fraction of datagrams to drop or duplicate, from 0 to 1
     * @param bytes bandwidth of a slow link, in bytes per second
     */
    public record FaultStep(
            Duration at,
            FaultKind kind,
            List<Integer> targets,
            List<Integer> peers,
            boolean oneWay,
            List<List<Integer>> sides,
            Duration delay,
            Duration jitter,
            double share,
            long bytes) {

        static FaultStep of(Duration at, FaultKind kind, List<Integer> targets) {
            return new FaultStep(at, kind, targets, List.of(), false, List.of(), Duration.ZERO, Duration.ZERO, 0, 0);
        }

        /** Returns the step as a line of a script. */
        public String toYaml() {
            StringBuilder line = new StringBuilder("{at: " + at.toMillis() + "ms, do: " + kind.wireName());
            if (!targets.isEmpty()) {
                line.append(", who: ").append(targets);
            }
            if (!peers.isEmpty()) {
                line.append(", to: ").append(peers);
            }
            if (oneWay) {
                line.append(", one-way: true");
            }
            if (!sides.isEmpty()) {
                line.append(", sides: ").append(sides);
            }
            if (!delay.isZero()) {
                line.append(", delay: ").append(delay.toMillis()).append("ms");
            }
            if (!jitter.isZero()) {
                line.append(", jitter: ").append(jitter.toMillis()).append("ms");
            }
            if (share > 0) {
                line.append(", share: ")
                        .append(Math.round(share * 100_000) / 1000.0)
                        .append('%');
            }
            if (bytes > 0) {
                line.append(", bytes: ").append(bytes);
            }
            return line.append('}').toString();
        }
    }

    /** The contents of a script, with written and generated steps in order of time. */
    public record FaultPlan(int processes, long seed, Duration length, Duration settle, List<FaultStep> steps) {}

    private static final Duration DEFAULT_SETTLE_TIME = Duration.ofSeconds(10);
    private static final Duration DEFAULT_MAX_DURATION = Duration.ofSeconds(3);
    /** Minimum duration of a generated fault, long enough for the processes to notice the fault. */
    private static final Duration MIN_DURATION = Duration.ofMillis(200);

    private FaultScript() {}

    public static FaultPlan read(ConfigFile config) throws InvalidConfigFileException {
        int processes = (int) config.number("processes", 1);
        long seed = Long.parseUnsignedLong(config.text("seed", "0"), 16);
        Duration length = config.duration("length", Duration.ZERO);
        List<FaultStep> steps = new ArrayList<>();
        for (int i = 0; i < config.size("steps"); i++) {
            String at = "steps." + i;
            FaultStep step = new FaultStep(
                    config.duration(at + ".at", Duration.ZERO),
                    WireNamed.parse(FaultKind.class, config.text(at + ".do", "")),
                    members(config, at + ".who", processes),
                    members(config, at + ".to", processes),
                    config.text(at + ".one-way", "false").equals("true"),
                    sides(config, at + ".sides", processes),
                    config.duration(at + ".delay", Duration.ZERO),
                    config.duration(at + ".jitter", Duration.ZERO),
                    config.fraction(at + ".share", 0),
                    config.number(at + ".bytes", 0));
            if (step.kind() == FaultKind.PARTITION && step.sides().isEmpty()) {
                throw config.invalidValue(at, "a partition needs sides");
            }
            if (step.at().compareTo(length) > 0) {
                throw config.invalidValue(at + ".at", "after the length of " + length.toMillis() + " ms");
            }
            steps.add(step);
        }
        if (config.has("draw")) {
            Map<FaultKind, Integer> weights = new EnumMap<>(FaultKind.class);
            config.textMap("draw.kinds")
                    .forEach((kind, weight) ->
                            weights.put(WireNamed.parse(FaultKind.class, kind), Integer.parseInt(weight)));
            if (weights.values().stream().allMatch(weight -> weight == 0)) {
                throw config.invalidValue("draw.kinds", "at least one weight must be above 0");
            }
            steps.addAll(generate(
                    processes,
                    seed,
                    (int) config.number("draw.count", 1),
                    length,
                    config.duration("draw.longest", DEFAULT_MAX_DURATION),
                    weights));
        }
        return new FaultPlan(
                processes, seed, length, config.duration("settle", DEFAULT_SETTLE_TIME), sortByTime(steps));
    }

    private static List<Integer> members(ConfigFile config, String path, int processes)
            throws InvalidConfigFileException {
        List<Integer> members = new ArrayList<>();
        for (String text : config.textList(path)) {
            int member = Integer.parseInt(text);
            if (member >= processes) {
                throw config.invalidValue(
                        path, "process " + member + " of " + processes + " (they are numbered from 0)");
            }
            members.add(member);
        }
        return List.copyOf(members);
    }

    private static List<List<Integer>> sides(ConfigFile config, String path, int processes)
            throws InvalidConfigFileException {
        List<List<Integer>> sides = new ArrayList<>();
        for (int i = 0; i < config.size(path); i++) {
            sides.add(members(config, path + "." + i, processes));
        }
        return List.copyOf(sides);
    }

    /** Sorts steps by time; the sort is stable, therefore steps of the same time keep their order. */
    private static List<FaultStep> sortByTime(List<FaultStep> steps) {
        List<FaultStep> sorted = new ArrayList<>(steps);
        sorted.sort(Comparator.comparing(FaultStep::at));
        return List.copyOf(sorted);
    }

    /**
     * Generates random faults with the given weights, each with a later step that ends the fault: a restart after a
     * kill, term or power loss, a resume after a pause, and a heal after a fault of links.
     */
    public static List<FaultStep> generate(
            int processes,
            long seed,
            int count,
            Duration length,
            Duration maxDuration,
            Map<FaultKind, Integer> weights) {
        SplittableRandom random = new SplittableRandom(seed);
        List<FaultKind> kinds = new ArrayList<>(weights.keySet());
        int total = weights.values().stream().mapToInt(Integer::intValue).sum();
        List<FaultStep> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int pick = random.nextInt(total);
            FaultKind kind = kinds.get(0);
            for (FaultKind candidate : kinds) {
                pick -= weights.get(candidate);
                if (pick < 0) {
                    kind = candidate;
                    break;
                }
            }
            Duration at = Duration.ofMillis(random.nextLong(Math.max(1, length.toMillis())));
            Duration duration = Duration.ofMillis(MIN_DURATION.toMillis()
                    + random.nextLong(
                            Math.max(1, maxDuration.minus(MIN_DURATION).toMillis())));
            Duration end = at.plus(duration).compareTo(length) > 0 ? length : at.plus(duration);
            List<Integer> targets = List.of(random.nextInt(processes));
            List<Integer> peers =
                    List.of((targets.get(0) + 1 + random.nextInt(Math.max(1, processes - 1))) % processes);
            switch (kind) {
                case KILL, TERM -> {
                    steps.add(FaultStep.of(at, kind, targets));
                    steps.add(FaultStep.of(end, FaultKind.RESTART, targets));
                }
                case POWER -> {
                    steps.add(FaultStep.of(at, kind, List.of()));
                    steps.add(FaultStep.of(end, FaultKind.RESTART, List.of()));
                }
                case PAUSE -> {
                    steps.add(FaultStep.of(at, kind, targets));
                    steps.add(FaultStep.of(end, FaultKind.RESUME, targets));
                }
                case ISOLATE -> {
                    steps.add(new FaultStep(
                            at,
                            kind,
                            targets,
                            List.of(),
                            random.nextBoolean(),
                            List.of(),
                            Duration.ZERO,
                            Duration.ZERO,
                            0,
                            0));
                    steps.add(FaultStep.of(end, FaultKind.HEAL, List.of()));
                }
                case PARTITION -> {
                    List<Integer> one = new ArrayList<>(), other = new ArrayList<>();
                    IntStream.range(0, processes).forEach(member -> (random.nextBoolean() ? one : other).add(member));
                    if (one.isEmpty() || other.isEmpty()) {
                        (one.isEmpty() ? one : other).add((one.isEmpty() ? other : one).remove(0));
                    }
                    steps.add(new FaultStep(
                            at,
                            kind,
                            List.of(),
                            List.of(),
                            false,
                            List.of(List.copyOf(one), List.copyOf(other)),
                            Duration.ZERO,
                            Duration.ZERO,
                            0,
                            0));
                    steps.add(FaultStep.of(end, FaultKind.HEAL, List.of()));
                }
                case DELAY -> {
                    steps.add(new FaultStep(
                            at,
                            kind,
                            targets,
                            peers,
                            false,
                            List.of(),
                            Duration.ofMillis(10 + random.nextInt(490)),
                            Duration.ofMillis(random.nextInt(100)),
                            0,
                            0));
                    steps.add(FaultStep.of(end, FaultKind.HEAL, List.of()));
                }
                case DROP, DUPLICATE -> {
                    steps.add(new FaultStep(
                            at,
                            kind,
                            targets,
                            peers,
                            false,
                            List.of(),
                            Duration.ZERO,
                            Duration.ZERO,
                            0.1 + random.nextDouble() * 0.8,
                            0));
                    steps.add(FaultStep.of(end, FaultKind.HEAL, List.of()));
                }
                case SLOW -> {
                    steps.add(new FaultStep(
                            at,
                            kind,
                            targets,
                            peers,
                            false,
                            List.of(),
                            Duration.ZERO,
                            Duration.ZERO,
                            0,
                            1_000 + random.nextInt(99_000)));
                    steps.add(FaultStep.of(end, FaultKind.HEAL, List.of()));
                }
                default -> steps.add(FaultStep.of(at, kind, targets));
            }
        }
        return sortByTime(steps);
    }
}
