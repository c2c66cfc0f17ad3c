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
 * Checks whether a backend can be run with the settings: values that are not numbers or out of range, priority classes
 * that would be ignored, and missing settings that matter. Only what this program reads is checked. Messages name each
 * setting as the operators did.
 */
public final class SettingsValidator {

    private record ReportedDefault(String path, String assumed) {}

    private static final String ALLOWED_CLASS_NAME = "a name that no other class has";

    /** What is assumed for a setting that is missing, as it is reported, in the order of the report. */
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

    /** Checks the settings. */
    public SettingsValidator(RawSettings settings) {
        this.settings = settings;
        classCount = settings.classCount();
        checkProfile(SettingPaths.PROFILE_IN_FORCE);
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
        checkMissing();
    }

    /** Why the backend cannot be run, one line each, naming the setting and what it allows; empty if it can. */
    public List<String> problems() {
        return List.copyOf(problems);
    }

    /** The settings that are missing and matter, each with what is assumed in its place. */
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
        String finding = value == null || value.isEmpty() ? " is missing" : " is \"" + value + "\"";
        problems.add("settings: " + settings.givenPath(path) + finding + "; allowed: " + allowed);
    }

    private void checkProfile(String prefix) {
        for (DeploymentSetting setting : DeploymentSetting.values()) {
            String path = prefix + setting.wireName();
            String value = settings.value(path);
            List<String> allowed = allowedWords(setting);
            if (value != null && !allowed.contains(value)) {
                problems.add("settings: " + path + " is \"" + value + "\"; allowed: " + String.join(", ", allowed));
            }
        }
    }

    private static List<String> allowedWords(DeploymentSetting setting) {
        return switch (setting) {
            case DOWNSTREAM -> words(DownstreamKind.values());
            case RUN_STOPPING -> words(RunStopping.values());
            case READINESS -> List.of("false", "true");
            case SIGNAL -> words(BackpressureSignal.values());
        };
    }

    /** The words for the constants, in the form in which values are kept, in alphabetical order. */
    private static List<String> words(WireNamed[] constants) {
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
        checkThatNoClassIsIgnored();
        checkMissingInClasses(ClassNumberSetting.CLIENT_TIMEOUT.shortName(), "2000 ms", false);
        checkMissingInClasses(SettingPaths.CLASS_SEMANTICS, "once", false);
        checkMissingInClasses(ClassNumberSetting.LATENCY_OBJECTIVE.shortName(), "1000 ms", false);
        checkMissingInClasses(ClassNumberSetting.IDEMPOTENCY_WINDOW.shortName(), "10000 ms", true);
    }

    private void checkClass(int index, Set<String> namesSoFar) {
        String namePath = SettingPaths.ofClass(index, SettingPaths.CLASS_NAME);
        String name = settings.value(namePath);
        if (name.isEmpty() || !namesSoFar.add(name)) {
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

    /** The list of classes ends at the first one without a name: those after it would be ignored. */
    private void checkThatNoClassIsIgnored() {
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

    private void checkMissing() {
        List<String> gauges =
                List.of(settings.value(SettingPaths.GAUGES, "run-queue").split(","));
        if (!gauges.contains(RawSettings.canonicalValue(Gauge.RUN_QUEUE.wireName()))) {
            assumedDefaults.add("runnable in " + SettingPaths.GAUGES + " (only own runs counted)");
        }
        for (ReportedDefault each : REPORTED_DEFAULTS) {
            if (!settings.has(each.path)) {
                assumedDefaults.add(each.path + " (" + each.assumed + ")");
            }
        }
    }

    private void checkMissingInClasses(String shortName, String assumed, boolean onlyIdempotentByKey) {
        List<String> without = new ArrayList<>();
        for (int i = 0; i < classCount; i++) {
            boolean needed = !onlyIdempotentByKey || isIdempotentByKey(i);
            if (needed && !settings.has(SettingPaths.ofClass(i, shortName))) {
                without.add("" + i);
            }
        }
        if (!without.isEmpty()) {
            assumedDefaults.add(
                    SettingPaths.CLASSES + "." + String.join("+", without) + "." + shortName + " (" + assumed + ")");
        }
    }

    /** Checks a setting with one value for each class, set apart by commas; it may be left empty. */
    private void checkValuesByClass(String path, String allowed, String assumed, Predicate<String> isAllowed) {
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
            assumedDefaults.add(path + " has " + values.length + " of " + classCount + " (" + assumed + ")");
        }
    }
}
