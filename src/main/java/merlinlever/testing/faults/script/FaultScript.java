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
 * Faults in the order they are played: written in a YAML file (schema {@code faults}), drawn from a seed, or both. Decisions
 * alone: the same file and seed give the same steps, and each step can be told in one line to play it again.
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
     * One fault at one moment. Empty lists of processes mean all of them.
     *
     * @param peers for a link, the other ends
     * @param sides for a partition
     * @param share for drop and duplicate, from 0 to 1
     * @param bytes for slow, octets a second
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

        static FaultStep of(Duration at, FaultKind kind, List<Integer> who) {
            return new FaultStep(at, kind, who, List.of(), false, List.of(), Duration.ZERO, Duration.ZERO, 0, 0);
        }

        /** In one line, as it would be written in a script. */
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

    /** All that a file says, its drawn steps among the written ones, in the order of their moments. */
    public record FaultPlan(int processes, long seed, Duration length, Duration settle, List<FaultStep> steps) {}

    private static final Duration SETTLE = Duration.ofSeconds(10);
    private static final Duration LONGEST = Duration.ofSeconds(3);
    /** A drawn fault lasts at least so long, so that something comes of it. */
    private static final Duration SHORTEST = Duration.ofMillis(200);

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
                throw config.invalidValue(at, "a partition needs its sides");
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
                throw config.invalidValue("draw.kinds", "every weight is 0, so nothing can be drawn");
            }
            steps.addAll(draw(
                    processes,
                    seed,
                    (int) config.number("draw.count", 1),
                    length,
                    config.duration("draw.longest", LONGEST),
                    weights));
        }
        return new FaultPlan(processes, seed, length, config.duration("settle", SETTLE), ordered(steps));
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

    /** By moment; steps of one moment in the order they were given, so that the order does not hang on a sort's whim. */
    private static List<FaultStep> ordered(List<FaultStep> steps) {
        List<FaultStep> sorted = new ArrayList<>(steps);
        sorted.sort(Comparator.comparing(FaultStep::at));
        return List.copyOf(sorted);
    }

    /**
     * Faults drawn with the weights, each at a moment within the length and undone a while later: a kill by a restart, a
     * pause by a resume, a leaving by a start, a power loss of all by a start of all, a link by healing it.
     */
    public static List<FaultStep> draw(
            int processes, long seed, int count, Duration length, Duration longest, Map<FaultKind, Integer> weights) {
        SplittableRandom chance = new SplittableRandom(seed);
        List<FaultKind> kinds = new ArrayList<>(weights.keySet());
        int total = weights.values().stream().mapToInt(Integer::intValue).sum();
        List<FaultStep> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int pick = chance.nextInt(total);
            FaultKind kind = kinds.get(0);
            for (FaultKind each : kinds) {
                pick -= weights.get(each);
                if (pick < 0) {
                    kind = each;
                    break;
                }
            }
            Duration at = Duration.ofMillis(chance.nextLong(Math.max(1, length.toMillis())));
            Duration lasts = Duration.ofMillis(SHORTEST.toMillis()
                    + chance.nextLong(Math.max(1, longest.minus(SHORTEST).toMillis())));
            Duration undone = at.plus(lasts).compareTo(length) > 0 ? length : at.plus(lasts);
            List<Integer> who = List.of(chance.nextInt(processes));
            List<Integer> to = List.of((who.get(0) + 1 + chance.nextInt(Math.max(1, processes - 1))) % processes);
            switch (kind) {
                case KILL, TERM -> {
                    steps.add(FaultStep.of(at, kind, who));
                    steps.add(FaultStep.of(undone, FaultKind.RESTART, who));
                }
                case POWER -> {
                    steps.add(FaultStep.of(at, kind, List.of()));
                    steps.add(FaultStep.of(undone, FaultKind.RESTART, List.of()));
                }
                case PAUSE -> {
                    steps.add(FaultStep.of(at, kind, who));
                    steps.add(FaultStep.of(undone, FaultKind.RESUME, who));
                }
                case ISOLATE -> {
                    steps.add(new FaultStep(
                            at,
                            kind,
                            who,
                            List.of(),
                            chance.nextBoolean(),
                            List.of(),
                            Duration.ZERO,
                            Duration.ZERO,
                            0,
                            0));
                    steps.add(FaultStep.of(undone, FaultKind.HEAL, List.of()));
                }
                case PARTITION -> {
                    List<Integer> one = new ArrayList<>(), other = new ArrayList<>();
                    IntStream.range(0, processes).forEach(member -> (chance.nextBoolean() ? one : other).add(member));
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
                    steps.add(FaultStep.of(undone, FaultKind.HEAL, List.of()));
                }
                case DELAY -> {
                    steps.add(new FaultStep(
                            at,
                            kind,
                            who,
                            to,
                            false,
                            List.of(),
                            Duration.ofMillis(10 + chance.nextInt(490)),
                            Duration.ofMillis(chance.nextInt(100)),
                            0,
                            0));
                    steps.add(FaultStep.of(undone, FaultKind.HEAL, List.of()));
                }
                case DROP, DUPLICATE -> {
                    steps.add(new FaultStep(
                            at,
                            kind,
                            who,
                            to,
                            false,
                            List.of(),
                            Duration.ZERO,
                            Duration.ZERO,
                            0.1 + chance.nextDouble() * 0.8,
                            0));
                    steps.add(FaultStep.of(undone, FaultKind.HEAL, List.of()));
                }
                case SLOW -> {
                    steps.add(new FaultStep(
                            at,
                            kind,
                            who,
                            to,
                            false,
                            List.of(),
                            Duration.ZERO,
                            Duration.ZERO,
                            0,
                            1_000 + chance.nextInt(99_000)));
                    steps.add(FaultStep.of(undone, FaultKind.HEAL, List.of()));
                }
                default -> steps.add(FaultStep.of(at, kind, who));
            }
        }
        return ordered(steps);
    }
}
