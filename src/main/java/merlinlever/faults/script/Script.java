package merlinlever.faults.script;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import merlinlever.WireNamed;
import merlinlever.sheet.Sheet;

/**
 * Faults in the order they are played: written in a YAML file (schema {@code faults}), drawn from a seed, or both. Decisions
 * alone: the same file and seed give the same steps, and each step can be told in one line to play it again.
 */
public final class Script {

    public enum Kind implements WireNamed {
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

        Kind(String wireName) {
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
     * @param to for a link, the other ends
     * @param sides for a partition
     * @param share for drop and duplicate, from 0 to 1
     * @param bytes for slow, octets a second
     */
    public record Step(
            Duration at,
            Kind kind,
            List<Integer> who,
            List<Integer> to,
            boolean oneWay,
            List<List<Integer>> sides,
            Duration delay,
            Duration jitter,
            double share,
            long bytes) {

        static Step of(Duration at, Kind kind, List<Integer> who) {
            return new Step(at, kind, who, List.of(), false, List.of(), Duration.ZERO, Duration.ZERO, 0, 0);
        }

        /** In one line, as it would be written in a script. */
        public String told() {
            StringBuilder line = new StringBuilder("{at: " + at.toMillis() + "ms, do: " + kind.wireName());
            if (!who.isEmpty()) {
                line.append(", who: ").append(who);
            }
            if (!to.isEmpty()) {
                line.append(", to: ").append(to);
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
    public record Plan(int processes, long seed, Duration length, Duration settle, List<Step> steps) {}

    private static final Duration SETTLE = Duration.ofSeconds(10);
    private static final Duration LONGEST = Duration.ofSeconds(3);
    /** A drawn fault lasts at least so long, so that something comes of it. */
    private static final Duration SHORTEST = Duration.ofMillis(200);

    private Script() {}

    public static Plan read(Sheet sheet) throws Sheet.Unusable {
        int processes = (int) sheet.number("processes", 1);
        long seed = Long.parseUnsignedLong(sheet.text("seed", "0"), 16);
        Duration length = sheet.span("length", Duration.ZERO);
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < sheet.size("steps"); i++) {
            String at = "steps." + i;
            Step step = new Step(
                    sheet.span(at + ".at", Duration.ZERO),
                    WireNamed.parse(Kind.class, sheet.text(at + ".do", "")),
                    members(sheet, at + ".who", processes),
                    members(sheet, at + ".to", processes),
                    sheet.text(at + ".one-way", "false").equals("true"),
                    sides(sheet, at + ".sides", processes),
                    sheet.span(at + ".delay", Duration.ZERO),
                    sheet.span(at + ".jitter", Duration.ZERO),
                    sheet.share(at + ".share", 0),
                    sheet.number(at + ".bytes", 0));
            if (step.kind() == Kind.PARTITION && step.sides().isEmpty()) {
                throw sheet.fault(at, "a partition needs its sides");
            }
            if (step.at().compareTo(length) > 0) {
                throw sheet.fault(at + ".at", "after the length of " + length.toMillis() + " ms");
            }
            steps.add(step);
        }
        if (sheet.has("draw")) {
            Map<Kind, Integer> weights = new EnumMap<>(Kind.class);
            sheet.pairs("draw.kinds")
                    .forEach(
                            (kind, weight) -> weights.put(WireNamed.parse(Kind.class, kind), Integer.parseInt(weight)));
            if (weights.values().stream().allMatch(weight -> weight == 0)) {
                throw sheet.fault("draw.kinds", "every weight is 0, so nothing can be drawn");
            }
            steps.addAll(draw(
                    processes,
                    seed,
                    (int) sheet.number("draw.count", 1),
                    length,
                    sheet.span("draw.longest", LONGEST),
                    weights));
        }
        return new Plan(processes, seed, length, sheet.span("settle", SETTLE), ordered(steps));
    }

    private static List<Integer> members(Sheet sheet, String path, int processes) throws Sheet.Unusable {
        List<Integer> members = new ArrayList<>();
        for (String text : sheet.texts(path)) {
            int member = Integer.parseInt(text);
            if (member >= processes) {
                throw sheet.fault(path, "process " + member + " of " + processes + " (they are numbered from 0)");
            }
            members.add(member);
        }
        return List.copyOf(members);
    }

    private static List<List<Integer>> sides(Sheet sheet, String path, int processes) throws Sheet.Unusable {
        List<List<Integer>> sides = new ArrayList<>();
        for (int i = 0; i < sheet.size(path); i++) {
            sides.add(members(sheet, path + "." + i, processes));
        }
        return List.copyOf(sides);
    }

    /** By moment; steps of one moment in the order they were given, so that the order does not hang on a sort's whim. */
    private static List<Step> ordered(List<Step> steps) {
        List<Step> sorted = new ArrayList<>(steps);
        sorted.sort(Comparator.comparing(Step::at));
        return List.copyOf(sorted);
    }

    /**
     * Faults drawn with the weights, each at a moment within the length and undone a while later: a kill by a restart, a
     * pause by a resume, a leaving by a start, a power loss of all by a start of all, a link by healing it.
     */
    public static List<Step> draw(
            int processes, long seed, int count, Duration length, Duration longest, Map<Kind, Integer> weights) {
        SplittableRandom chance = new SplittableRandom(seed);
        List<Kind> kinds = new ArrayList<>(weights.keySet());
        int total = weights.values().stream().mapToInt(Integer::intValue).sum();
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int pick = chance.nextInt(total);
            Kind kind = kinds.get(0);
            for (Kind each : kinds) {
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
                    steps.add(Step.of(at, kind, who));
                    steps.add(Step.of(undone, Kind.RESTART, who));
                }
                case POWER -> {
                    steps.add(Step.of(at, kind, List.of()));
                    steps.add(Step.of(undone, Kind.RESTART, List.of()));
                }
                case PAUSE -> {
                    steps.add(Step.of(at, kind, who));
                    steps.add(Step.of(undone, Kind.RESUME, who));
                }
                case ISOLATE -> {
                    steps.add(new Step(
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
                    steps.add(Step.of(undone, Kind.HEAL, List.of()));
                }
                case PARTITION -> {
                    List<Integer> one = new ArrayList<>(), other = new ArrayList<>();
                    IntStream.range(0, processes).forEach(member -> (chance.nextBoolean() ? one : other).add(member));
                    if (one.isEmpty() || other.isEmpty()) {
                        (one.isEmpty() ? one : other).add((one.isEmpty() ? other : one).remove(0));
                    }
                    steps.add(new Step(
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
                    steps.add(Step.of(undone, Kind.HEAL, List.of()));
                }
                case DELAY -> {
                    steps.add(new Step(
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
                    steps.add(Step.of(undone, Kind.HEAL, List.of()));
                }
                case DROP, DUPLICATE -> {
                    steps.add(new Step(
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
                    steps.add(Step.of(undone, Kind.HEAL, List.of()));
                }
                case SLOW -> {
                    steps.add(new Step(
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
                    steps.add(Step.of(undone, Kind.HEAL, List.of()));
                }
                default -> steps.add(Step.of(at, kind, who));
            }
        }
        return ordered(steps);
    }
}
