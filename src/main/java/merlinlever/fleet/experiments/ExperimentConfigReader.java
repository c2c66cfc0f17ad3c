package merlinlever.fleet.experiments;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Reads and validates the experiments of a flattened configuration ({@code trials.0.name},
 * {@code trials.0.arms.1.weight} and the like).
 */
public final class ExperimentConfigReader {

    /** Thrown if the configuration of an experiment is invalid; the message is a single line for the operator. */
    public static final class InvalidExperimentException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidExperimentException(String message) {
            super(message);
        }
    }

    /** Maximum number of concurrent experiments. */
    public static final int MAX_EXPERIMENTS = 4;

    /**
     * Maximum ratio of all weights to the weight of one arm; an arm with fewer callers cannot yield a significant
     * result.
     */
    private static final int MAX_WEIGHT_RATIO = 16;

    private static final String PREFIX = "trials.";
    private static final Set<String> KEYS = Set.of(
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
    private static final String NAME_PATTERN = "[a-z0-9-]{1,20}";
    private static final String DURATION_PATTERN = "[0-9]{1,7}(ms|s|h|d)";

    private final Map<String, String> configuration;
    private final Predicate<String> isRoute;

    private ExperimentConfigReader(Map<String, String> configuration, Predicate<String> isRoute) {
        this.configuration = configuration;
        this.isRoute = isRoute;
    }

    /**
     * Reads all experiments in the configured order.
     *
     * @param isRoute tests whether a route with the given name is configured
     */
    public static List<Experiment> read(Map<String, String> configuration, Predicate<String> isRoute)
            throws InvalidExperimentException {
        return new ExperimentConfigReader(configuration, isRoute).readAll();
    }

    private static InvalidExperimentException invalid(String path, String problem) {
        return new InvalidExperimentException("the configuration's " + path + problem);
    }

    private List<Experiment> readAll() throws InvalidExperimentException {
        int count = count();
        if (count > MAX_EXPERIMENTS) {
            throw new InvalidExperimentException("the configuration has " + count
                    + " experiments under trials; at most " + MAX_EXPERIMENTS + " are allowed");
        }
        List<Experiment> experiments = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (int i = 0; i < count; i++) {
            Experiment experiment = readExperiment(PREFIX + i + ".");
            if (!names.add(experiment.name())) {
                throw invalid(PREFIX + i + ".name", " is already the name of another experiment: " + experiment.name());
            }
            experiments.add(experiment);
        }
        return experiments;
    }

    private int count() throws InvalidExperimentException {
        int count = 0;
        for (String path : new TreeSet<>(configuration.keySet())) {
            if (path.startsWith(PREFIX)) {
                String[] parts = path.split("\\.");
                if (!parts[1].matches("[0-9]{1,2}") || parts.length < 3 || !KEYS.contains(parts[2])) {
                    throw invalid(
                            path,
                            " is not a known setting; an experiment has the settings "
                                    + String.join(", ", new TreeSet<>(KEYS)));
                }
                count = Math.max(count, Integer.parseInt(parts[1]) + 1);
            }
        }
        return count;
    }

    private Experiment readExperiment(String prefix) throws InvalidExperimentException {
        String name = name(prefix + "name");
        List<Experiment.Arm> arms = readArms(prefix);
        int safeIndex = safeArm(prefix, arms);
        double alpha = number(prefix + "alpha", 0.05, 1e-6, 0.2);
        double harmAlpha = number(prefix + "harm", Math.max(0.1, alpha), 1e-6, 0.5);
        if (harmAlpha < alpha) {
            throw invalid(prefix + "harm", " must be at least alpha, which is " + alpha + " here");
        }
        Duration maxDuration = duration(prefix + "longest", "7d", Duration.ofMinutes(1), Duration.ofDays(90));
        Duration leaseDuration = duration(prefix + "lease", "10s", Duration.ofSeconds(1), Duration.ofMinutes(10));
        return new Experiment(
                name,
                (int) wholeNumber(prefix + "version", 1, 1, 1_000_000),
                arms,
                safeIndex,
                alpha,
                harmAlpha,
                number(prefix + "difference", 0.01, 0, 0.5),
                maxDuration,
                leaseDuration,
                number(prefix + "value-most", 1, 1e-6, 1e9),
                (int) wholeNumber(prefix + "deaths", 3, 1, 10_000));
    }

    private List<Experiment.Arm> readArms(String prefix) throws InvalidExperimentException {
        int count = armCount(prefix);
        if (count < 2 || count > Experiment.MAX_ARMS) {
            throw invalid(prefix + "arms", " has " + count + " entries; 2 to " + Experiment.MAX_ARMS + " are required");
        }
        List<Experiment.Arm> arms = new ArrayList<>();
        Set<String> names = new HashSet<>();
        int totalWeight = 0;
        for (int i = 0; i < count; i++) {
            Experiment.Arm arm = readArm(prefix + "arms." + i + ".");
            if (!names.add(arm.name())) {
                throw invalid(prefix + "arms." + i + ".name", " is already the name of another arm: " + arm.name());
            }
            arms.add(arm);
            totalWeight += arm.weight();
        }
        for (int i = 0; i < count; i++) {
            if (arms.get(i).weight() * MAX_WEIGHT_RATIO < totalWeight) {
                throw invalid(
                        prefix + "arms." + i + ".weight",
                        " is under a sixteenth of all weights, too few callers for a significant result");
            }
        }
        return arms;
    }

    private int armCount(String prefix) throws InvalidExperimentException {
        int count = 0;
        String armsPrefix = prefix + "arms.";
        for (String path : configuration.keySet()) {
            if (path.startsWith(armsPrefix)) {
                String index = path.substring(armsPrefix.length()).split("\\.", 2)[0];
                if (!index.matches("[0-9]")) {
                    throw invalid(prefix + "arms", " must be a list of 2 to " + Experiment.MAX_ARMS + " arms");
                }
                count = Math.max(count, Integer.parseInt(index) + 1);
            }
        }
        return count;
    }

    private int safeArm(String prefix, List<Experiment.Arm> arms) throws InvalidExperimentException {
        String name = configuration.getOrDefault(prefix + "safe", "");
        for (int i = 0; i < arms.size(); i++) {
            if (arms.get(i).name().equals(name)) {
                return i;
            }
        }
        throw invalid(
                prefix + "safe", " must name the arm for callers that are not split; '" + name + "' is not an arm");
    }

    private Experiment.Arm readArm(String prefix) throws InvalidExperimentException {
        String name = name(prefix + "name");
        Optional<Duration> maxRetryAfter = Optional.empty();
        Optional<Duration> maxCallDuration = Optional.empty();
        Optional<String> preferredRoute = Optional.empty();
        for (String path : new TreeSet<>(configuration.keySet())) {
            if (!path.startsWith(prefix) || path.equals(prefix + "name") || path.equals(prefix + "weight")) {
                continue;
            }
            ArmSetting setting = armSetting(path, path.substring(prefix.length()));
            switch (setting) {
                case MAX_RETRY_AFTER -> maxRetryAfter = Optional.of(duration(path, "", setting.min(), setting.max()));
                case MAX_CALL_DURATION -> maxCallDuration =
                        Optional.of(duration(path, "", setting.min(), setting.max()));
                case PREFERRED_ROUTE -> preferredRoute = Optional.of(route(path));
            }
        }
        int weight = (int) wholeNumber(prefix + "weight", 1, 1, 1000);
        return new Experiment.Arm(name, weight, maxRetryAfter, maxCallDuration, preferredRoute);
    }

    private static ArmSetting armSetting(String path, String key) throws InvalidExperimentException {
        Optional<ArmSetting> setting = ArmSetting.ofKey(key);
        if (setting.isEmpty()) {
            throw invalid(path, " cannot be changed by an arm: " + ArmSetting.rejectionReason(key));
        }
        return setting.get();
    }

    private String route(String path) throws InvalidExperimentException {
        String route = configuration.get(path);
        if (!isRoute.test(route)) {
            throw invalid(path, " is not a configured route: " + route);
        }
        return route;
    }

    private String name(String path) throws InvalidExperimentException {
        String name = configuration.getOrDefault(path, "");
        if (!name.matches(NAME_PATTERN)) {
            throw invalid(path, " must have 1 to 20 characters of a-z, 0-9 and -, not '" + name + "'");
        }
        return name;
    }

    private long wholeNumber(String path, long defaultValue, long min, long max) throws InvalidExperimentException {
        double number = number(path, (double) defaultValue, (double) min, (double) max);
        if (number != Math.rint(number)) {
            throw invalid(path, " must be a whole number from " + min + " to " + max);
        }
        return (long) number;
    }

    private double number(String path, double defaultValue, double min, double max) throws InvalidExperimentException {
        String text = configuration.get(path);
        double number = text == null ? defaultValue : parseNumber(text);
        if (number >= min && number <= max) {
            return number;
        }
        throw invalid(path, " must be from " + format(min) + " to " + format(max) + ", not '" + text + "'");
    }

    /** Returns NaN, which is outside every range, if the text is not a number. */
    private static double parseNumber(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private static String format(double number) {
        return new BigDecimal("" + number).stripTrailingZeros().toPlainString();
    }

    private Duration duration(String path, String defaultValue, Duration min, Duration max)
            throws InvalidExperimentException {
        String text = configuration.getOrDefault(path, defaultValue);
        if (!text.matches(DURATION_PATTERN)) {
            throw invalid(path, " must be a duration such as 500ms, 10s, 12h or 7d, not '" + text + "'");
        }
        Duration duration = parseDuration(text);
        if (duration.compareTo(min) < 0 || duration.compareTo(max) > 0) {
            throw invalid(path, " must be from " + format(min) + " to " + format(max));
        }
        return duration;
    }

    private static Duration parseDuration(String text) {
        String unit = text.replaceAll("[0-9]", "");
        long number = Long.parseLong(text.substring(0, text.length() - unit.length()));
        return switch (unit) {
            case "ms" -> Duration.ofMillis(number);
            case "s" -> Duration.ofSeconds(number);
            case "h" -> Duration.ofHours(number);
            default -> Duration.ofDays(number);
        };
    }

    private static String format(Duration duration) {
        if (duration.toMillis() < 1000) {
            return duration.toMillis() + "ms";
        }
        return duration.toDays() > 0 ? duration.toDays() + "d" : duration.toSeconds() + "s";
    }
}
