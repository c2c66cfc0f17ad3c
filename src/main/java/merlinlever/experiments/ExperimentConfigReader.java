package merlinlever.experiments;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Reads the trials of a flattened configuration ({@code trials.0.name}, {@code trials.0.arms.1.weight} and so on). */
public final class ExperimentConfigReader {

    /** What is wrong, in one line for the person at the console. */
    public static final class InvalidExperimentException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidExperimentException(String message) {
            super(message);
        }
    }

    /** At a time, all of them. */
    public static final int MOST = 4;

    private static final Set<String> NAMES = Set.of(
            "name",
            "version",
            "arms",
            "safe",
            "alpha",
            "harm",
            "difference",
            "longest",
            "lease",
            "value-most",
            "deaths");
    private static final String NAME = "[a-z0-9-]{1,20}";

    private final Map<String, String> rest;
    private final Predicate<String> route;

    private ExperimentConfigReader(Map<String, String> rest, Predicate<String> route) {
        this.rest = rest;
        this.route = route;
    }

    /**
     * All trials, in their order.
     *
     * @param route whether a route of that name is stated
     */
    public static List<Experiment> read(Map<String, String> rest, Predicate<String> route)
            throws InvalidExperimentException {
        return new ExperimentConfigReader(rest, route).all();
    }

    private List<Experiment> all() throws InvalidExperimentException {
        int n = 0;
        for (String path : new TreeSet<>(rest.keySet())) {
            if (path.startsWith("trials.")) {
                String[] part = path.split("\\.");
                if (!part[1].matches("[0-9]{1,2}") || part.length < 3 || !NAMES.contains(part[2])) {
                    throw new InvalidExperimentException("the configuration's " + path + " is not known; a trial has "
                            + String.join(", ", new TreeSet<>(NAMES)));
                }
                n = Math.max(n, Integer.parseInt(part[1]) + 1);
            }
        }
        if (n > MOST) {
            throw new InvalidExperimentException("the configuration has " + n + " trials; " + MOST + " at the most");
        }
        List<Experiment> trials = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (int i = 0; i < n; i++) {
            Experiment trial = trial("trials." + i + ".");
            if (!names.add(trial.name())) {
                throw new InvalidExperimentException(
                        "the configuration's trials." + i + ".name is that of another trial: " + trial.name());
            }
            trials.add(trial);
        }
        return trials;
    }

    private Experiment trial(String at) throws InvalidExperimentException {
        String name = name(at + "name");
        List<Experiment.Arm> arms = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int weights = 0;
        int count = 0;
        for (String path : rest.keySet()) {
            if (path.startsWith(at + "arms.")) {
                String[] part = path.substring(at.length() + 5).split("\\.", 2);
                if (!part[0].matches("[0-9]")) {
                    throw new InvalidExperimentException(
                            "the configuration's " + at + "arms is a list of 2 to " + Experiment.MOST_ARMS + " arms");
                }
                count = Math.max(count, Integer.parseInt(part[0]) + 1);
            }
        }
        if (count < 2 || count > Experiment.MOST_ARMS) {
            throw new InvalidExperimentException("the configuration's " + at + "arms has " + count + "; 2 to "
                    + Experiment.MOST_ARMS + " are needed");
        }
        for (int i = 0; i < count; i++) {
            Experiment.Arm arm = arm(at + "arms." + i + ".");
            if (!names.add(arm.name())) {
                throw new InvalidExperimentException(
                        "the configuration's " + at + "arms." + i + ".name is that of another arm: " + arm.name());
            }
            arms.add(arm);
            weights += arm.weight();
        }
        for (int i = 0; i < count; i++) {
            if (arms.get(i).weight() * 16 < weights) {
                throw new InvalidExperimentException("the configuration's " + at + "arms." + i
                        + ".weight is under a sixteenth of all weights, too little to tell anything by");
            }
        }
        int safe = -1;
        for (int i = 0; i < count; i++) {
            safe = arms.get(i).name().equals(rest.get(at + "safe")) ? i : safe;
        }
        if (safe < 0) {
            throw new InvalidExperimentException(
                    "the configuration's " + at + "safe names the arm that runs where nothing is split; '"
                            + rest.getOrDefault(at + "safe", "") + "' is none");
        }
        double alpha = number(at + "alpha", 0.05, 1e-6, 0.2);
        double harm = number(at + "harm", Math.max(0.1, alpha), 1e-6, 0.5);
        if (harm < alpha) {
            throw new InvalidExperimentException(
                    "the configuration's " + at + "harm is to be looser than alpha, so " + alpha + " or more");
        }
        Duration longest = span(at + "longest", "7d", Duration.ofMinutes(1), Duration.ofDays(90));
        Duration lease = span(at + "lease", "10s", Duration.ofSeconds(1), Duration.ofMinutes(10));
        return new Experiment(
                name,
                (int) whole(at + "version", 1, 1, 1_000_000),
                arms,
                safe,
                alpha,
                harm,
                number(at + "difference", 0.01, 0, 0.5),
                longest,
                lease,
                number(at + "value-most", 1, 1e-6, 1e9),
                (int) whole(at + "deaths", 3, 1, 10_000));
    }

    private Experiment.Arm arm(String at) throws InvalidExperimentException {
        String name = name(at + "name");
        Duration stayAway = null;
        Duration call = null;
        String preferred = null;
        for (String path : new TreeSet<>(rest.keySet())) {
            if (!path.startsWith(at) || path.equals(at + "name") || path.equals(at + "weight")) {
                continue;
            }
            ArmSetting allowed = ArmSetting.of(path.substring(at.length()));
            if (allowed == null) {
                throw new InvalidExperimentException("the configuration's " + path + " cannot be tried: "
                        + ArmSetting.refusal(path.substring(at.length())));
            }
            switch (allowed) {
                case STAY_AWAY -> stayAway = span(path, "", allowed.least, allowed.most);
                case CALL -> call = span(path, "", allowed.least, allowed.most);
                default -> {
                    preferred = rest.get(path);
                    if (!route.test(preferred)) {
                        throw new InvalidExperimentException(
                                "the configuration's " + path + " is no stated route: " + preferred);
                    }
                }
            }
        }
        return new Experiment.Arm(name, (int) whole(at + "weight", 1, 1, 1000), stayAway, call, preferred);
    }

    private String name(String path) throws InvalidExperimentException {
        String name = rest.getOrDefault(path, "");
        if (!name.matches(NAME)) {
            throw new InvalidExperimentException(
                    "the configuration's " + path + " has 1 to 20 of a-z, 0-9 and -, not '" + name + "'");
        }
        return name;
    }

    private long whole(String path, long absent, long least, long most) throws InvalidExperimentException {
        double number = number(path, (double) absent, (double) least, (double) most);
        if (number != Math.rint(number)) {
            throw new InvalidExperimentException(
                    "the configuration's " + path + " is to be a whole number from " + least + " to " + most);
        }
        return (long) number;
    }

    private double number(String path, double absent, double least, double most) throws InvalidExperimentException {
        String text = rest.get(path);
        try {
            double number = text == null ? absent : Double.parseDouble(text);
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new InvalidExperimentException("the configuration's " + path + " is to be from " + plain(least) + " to "
                + plain(most) + ", not '" + text + "'");
    }

    private static String plain(double number) {
        return new BigDecimal("" + number).stripTrailingZeros().toPlainString();
    }

    private Duration span(String path, String absent, Duration least, Duration most) throws InvalidExperimentException {
        String text = rest.getOrDefault(path, absent);
        if (!text.matches("[0-9]{1,7}(ms|s|h|d)")) {
            throw new InvalidExperimentException(
                    "the configuration's " + path + " is a span such as 500ms, 10s, 12h or 7d, not '" + text + "'");
        }
        long number = Long.parseLong(text.replaceAll("[a-z]", ""));
        Duration span = text.endsWith("ms")
                ? Duration.ofMillis(number)
                : text.endsWith("s")
                        ? Duration.ofSeconds(number)
                        : text.endsWith("h") ? Duration.ofHours(number) : Duration.ofDays(number);
        if (span.compareTo(least) < 0 || span.compareTo(most) > 0) {
            throw new InvalidExperimentException(
                    "the configuration's " + path + " is to be from " + told(least) + " to " + told(most));
        }
        return span;
    }

    private static String told(Duration span) {
        return span.toMillis() < 1000
                ? span.toMillis() + "ms"
                : span.toDays() > 0 ? span.toDays() + "d" : span.toSeconds() + "s";
    }
}
