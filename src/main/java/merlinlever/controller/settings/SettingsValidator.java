package merlinlever.controller.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import merlinlever.common.WireNamed;

/**
 * Checks whether a backend can be started with the settings. Reports malformed and out-of-range values, priority
 * classes that would be ignored, and defaults of important settings that are missing. Settings that this program does
 * not use are not checked. Messages show the path of a setting as given by the operator.
 */
public final class SettingsValidator {

    private record ReportedDefault(String path, String defaultDescription) {}

    private static final String ALLOWED_CLASS_NAME = "a name that no other class has";

    /** Important settings with the descriptions of their defaults, in the order of the report. */
    private static final List<ReportedDefault> REPORTED_DEFAULTS = List.of(
            new ReportedDefault(NumberSetting.OVERLOAD_FACTOR.path(), "2"),
            new ReportedDefault(NumberSetting.DRAIN_GRACE.path(), "0 ms"),
            new ReportedDefault(NumberSetting.CORES.path(), "1"),
            new ReportedDefault(SettingPaths.GAUGES, "none"),
            new ReportedDefault(NumberSetting.MEMORY.path(), "no limit"));

    private final RawSettings settings;
    private final List<String> problems = new ArrayList<>();
    private final List<String> assumedDefaults = new ArrayList<>();
    private final int classCount;

    /** Checks the settings; the results are available from {@link #problems} and {@link #assumedDefaults}. */
    public SettingsValidator(RawSettings settings) {
        this.settings = settings;
        classCount = settings.classCount();
        checkProfile(SettingPaths.ACTIVE_PROFILE);
        checkProfile(SettingPaths.SHADOW_PROFILE);
        for (NumberSetting setting : NumberSetting.values()) {
            checkNumber(setting.path(), setting.range());
        }
        checkClasses();
        checkValuesByClass(SettingPaths.WEIGHTS_WITHOUT_CALL, "a number", "0", SettingsValidator::isFiniteNumber);
        checkValuesByClass(
                SettingPaths.CALLS_BY_CLASS,
                "true, false",
                "true",
                value -> value.equals("true") || value.equals("false"));
        reportMissing();
    }

    /** Returns one line per invalid setting, with the allowed values; empty if the backend can be started. */
    public List<String> problems() {
        return List.copyOf(problems);
    }

    /** Returns the important settings that are missing, each with its default. */
    public List<String> assumedDefaults() {
        return List.copyOf(assumedDefaults);
    }

    private static boolean isFiniteNumber(String value) {
        return NumberRange.FINITE.contains(parseNumber(value));
    }

    private static double parseNumber(String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private void addProblem(String path, String allowed) {
        String value = settings.value(path);
        String problem = value == null || value.isEmpty() ? " is missing" : " is \"" + value + "\"";
        problems.add("settings: " + settings.givenPath(path) + problem + "; allowed: " + allowed);
    }

    private void checkProfile(String prefix) {
        for (DeploymentSetting setting : DeploymentSetting.values()) {
            String path = prefix + setting.wireName();
            String value = settings.value(path);
            List<String> allowed = allowedValues(setting);
            if (value != null && !allowed.contains(value)) {
                problems.add("settings: " + path + " is \"" + value + "\"; allowed: " + String.join(", ", allowed));
            }
        }
    }

    private static List<String> allowedValues(DeploymentSetting setting) {
        return switch (setting) {
            case DOWNSTREAM -> canonicalNames(DownstreamKind.values());
            case RUN_STOPPING -> canonicalNames(RunStopping.values());
            case READINESS -> List.of("false", "true");
            case SIGNAL -> canonicalNames(BackpressureSignal.values());
        };
    }

    /** Returns the canonical wire names of the constants, in alphabetical order. */
    private static List<String> canonicalNames(WireNamed[] constants) {
        return Stream.of(constants)
                .map(constant -> RawSettings.canonicalValue(constant.wireName()))
                .sorted()
                .toList();
    }

    private void checkNumber(String path, NumberRange range) {
        String value = settings.value(path);
        if (value != null && !range.contains(parseNumber(value))) {
            addProblem(path, range.description());
        }
    }

    private void checkClasses() {
        if (classCount == 0) {
            addProblem(SettingPaths.CLASSES, "one class or more, each with its name");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classCount; i++) {
            checkClass(i, names);
        }
        checkForIgnoredClasses();
        reportMissingInClasses(ClassNumberSetting.CLIENT_TIMEOUT.shortName(), "2000 ms", false);
        reportMissingInClasses(SettingPaths.CLASS_SEMANTICS, "once", false);
        reportMissingInClasses(ClassNumberSetting.LATENCY_OBJECTIVE.shortName(), "1000 ms", false);
        reportMissingInClasses(ClassNumberSetting.IDEMPOTENCY_WINDOW.shortName(), "10000 ms", true);
    }

    private void checkClass(int index, Set<String> earlierNames) {
        String namePath = SettingPaths.ofClass(index, SettingPaths.CLASS_NAME);
        String name = settings.value(namePath);
        if (name.isEmpty() || !earlierNames.add(name)) {
            addProblem(namePath, ALLOWED_CLASS_NAME);
        }
        for (ClassNumberSetting setting : ClassNumberSetting.values()) {
            checkNumber(setting.path(index), setting.range(isIdempotentByKey(index)));
        }
        String semanticsPath = SettingPaths.ofClass(index, SettingPaths.CLASS_SEMANTICS);
        if (settings.has(semanticsPath) && semantics(index).isEmpty()) {
            addProblem(
                    semanticsPath,
                    Stream.of(RequestSemantics.values())
                            .map(RequestSemantics::wireName)
                            .sorted()
                            .collect(Collectors.joining(", ")));
        }
    }

    private Optional<RequestSemantics> semantics(int classIndex) {
        String value = settings.value(SettingPaths.ofClass(classIndex, SettingPaths.CLASS_SEMANTICS), "");
        return SettingsParser.constant(RequestSemantics.values(), value);
    }

    private boolean isIdempotentByKey(int classIndex) {
        return semantics(classIndex).equals(Optional.of(RequestSemantics.IDEMPOTENT_BY_KEY));
    }

    /** Reports a class without a name, at which the list ends: the parser would ignore all later classes. */
    private void checkForIgnoredClasses() {
        if (classCount == 0) {
            return;
        }
        for (String path : settings.paths()) {
            String[] parts = path.split("\\.");
            if (parts.length > 2 && parts[0].equals(SettingPaths.CLASSES)) {
                String namePath = SettingPaths.CLASSES + "." + parts[1] + "." + SettingPaths.CLASS_NAME;
                if (!settings.has(namePath)) {
                    addProblem(namePath, ALLOWED_CLASS_NAME);
                    return;
                }
            }
        }
    }

    private void reportMissing() {
        List<String> gauges =
                List.of(settings.value(SettingPaths.GAUGES, "run-queue").split(","));
        if (!gauges.contains(RawSettings.canonicalValue(Gauge.RUN_QUEUE.wireName()))) {
            assumedDefaults.add("runnable in " + SettingPaths.GAUGES + " (run queue estimated from own runs only)");
        }
        for (ReportedDefault reported : REPORTED_DEFAULTS) {
            if (!settings.has(reported.path)) {
                assumedDefaults.add(reported.path + " (" + reported.defaultDescription + ")");
            }
        }
    }

    private void reportMissingInClasses(String shortName, String defaultDescription, boolean onlyIdempotentByKey) {
        List<String> classesWithout = new ArrayList<>();
        for (int i = 0; i < classCount; i++) {
            boolean isRequired = !onlyIdempotentByKey || isIdempotentByKey(i);
            if (isRequired && !settings.has(SettingPaths.ofClass(i, shortName))) {
                classesWithout.add("" + i);
            }
        }
        if (!classesWithout.isEmpty()) {
            assumedDefaults.add(SettingPaths.CLASSES + "." + String.join("+", classesWithout) + "." + shortName + " ("
                    + defaultDescription + ")");
        }
    }

    /** Checks a list with one value per class, separated by commas; empty values are allowed. */
    private void checkValuesByClass(
            String path, String allowed, String defaultDescription, Predicate<String> isAllowed) {
        String setting = settings.value(path, "");
        if (setting.isEmpty()) {
            return;
        }
        String[] values = setting.split(",", -1);
        for (String value : values) {
            if (!value.isEmpty() && !isAllowed.test(value)) {
                addProblem(path, allowed + " for each class");
                return;
            }
        }
        if (values.length != classCount) {
            assumedDefaults.add(path + " has " + values.length + " of " + classCount + " (" + defaultDescription + ")");
        }
    }
}
