package merlinlever.controller.settings;

import static merlinlever.controller.settings.SettingsTranslator.externalName;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Checks whether a backend can be run with the settings: values that are not numbers or out of range, priority classes
 * that would be ignored, and missing settings that matter. Only what this program reads is checked. Messages name each
 * setting as the operators did.
 */
public final class SettingsValidator {

    /** The allowed range of a number. Milliseconds above 1e12 no longer fit a Duration in nanoseconds. */
    private enum Range {
        POSITIVE("a number above 0, at most 1e12"),
        NON_NEGATIVE("a number from 0 to 1e12"),
        FRACTION("a number from 0 to 1"),
        FINITE("a number");

        private final String description;

        Range(String description) {
            this.description = description;
        }

        boolean contains(double number) {
            return switch (this) {
                case POSITIVE -> number > 0 && number <= 1e12;
                case NON_NEGATIVE -> number >= 0 && number <= 1e12;
                case FRACTION -> number >= 0 && number <= 1;
                case FINITE -> Double.isFinite(number);
            };
        }
    }

    private static final Map<String, Range> NUMBERS = new TreeMap<>(Map.ofEntries(
            Map.entry("server.cores", Range.POSITIVE),
            Map.entry("server.memory-kb", Range.POSITIVE),
            Map.entry("server.run-factor", Range.POSITIVE),
            Map.entry("server.kb-per-fingerprint", Range.NON_NEGATIVE),
            Map.entry("server.idle", Range.NON_NEGATIVE),
            Map.entry("server.callers", Range.NON_NEGATIVE),
            Map.entry("server.fresh-for", Range.NON_NEGATIVE),
            Map.entry("server.calls-over", Range.NON_NEGATIVE),
            Map.entry("server.share-of-calls", Range.NON_NEGATIVE),
            Map.entry("servers", Range.NON_NEGATIVE),
            Map.entry("rules.crowd-factor", Range.POSITIVE),
            Map.entry("rules.cold", Range.NON_NEGATIVE),
            Map.entry("rules.cold-share", Range.FRACTION),
            Map.entry("rules.drain-grace", Range.NON_NEGATIVE),
            Map.entry("limits.longest-stay-away", Range.NON_NEGATIVE)));

    private static final Map<String, Range> NUMBERS_BY_CLASS = new TreeMap<>(Map.of(
            "soft-limit", Range.POSITIVE,
            "client-timeout", Range.POSITIVE,
            "soft-limit-stretch", Range.NON_NEGATIVE,
            "value", Range.NON_NEGATIVE,
            "late-value", Range.FINITE));

    private static final Set<String> KINDS =
            Set.of(SettingNames.IDEMPOTENT, SettingNames.IDEMPOTENT_BY_KEY, SettingNames.NON_IDEMPOTENT);

    /** What is assumed for a setting that is missing, as it is reported. */
    private static final Map<String, String> DEFAULTS = new TreeMap<>(Map.of(
            "server.cores", "1",
            "server.memory-kb", "no limit",
            "server.gauges", "none",
            "rules.crowd-factor", "2",
            "rules.drain-grace", "0 ms"));

    /** What is assumed for a setting that is missing in a class, as it is reported. */
    private static final Map<String, String> DEFAULTS_BY_CLASS =
            new TreeMap<>(Map.of("soft-limit", "1000 ms", "client-timeout", "2000 ms", "kind", "once"));

    private final Map<String, String> settings;
    private final Map<String, String> externalByInternalName = new HashMap<>();
    private final List<String> problems = new ArrayList<>();
    private final List<String> assumedDefaults = new ArrayList<>();
    private final int classCount;

    /** Checks the settings, under the operators' names. */
    public SettingsValidator(Map<String, String> externalSettings) {
        settings = SettingsTranslator.translate(externalSettings);
        externalSettings
                .keySet()
                .forEach(name -> externalByInternalName.put(SettingsTranslator.internalName(name), name));
        classCount = countClasses();
        DeploymentProfile.problems(settings)
                .forEach(problem -> problems.add(problem.replace("settings: server.", "settings: family-info.")));
        NUMBERS.forEach(this::checkNumber);
        checkClasses();
        checkValuesByClass(
                "server.value-without-call", "a number", "0", value -> Range.FINITE.contains(parseNumber(value)));
        checkValuesByClass(
                "server.calls-by-tariff",
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

    private int countClasses() {
        int count = 0;
        while (settings.containsKey(SettingNames.ofPriorityClass(count, "name"))) {
            count++;
        }
        return count;
    }

    private void addProblem(String name, String allowed) {
        String value = settings.get(name);
        String external = externalByInternalName.getOrDefault(name, externalName(name));
        String finding = value == null || value.isEmpty() ? " is missing" : " is \"" + value + "\"";
        problems.add("settings: " + external + finding + "; allowed: " + allowed);
    }

    private static double parseNumber(String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private void checkNumber(String name, Range range) {
        String value = settings.get(name);
        if (value != null && !range.contains(parseNumber(value))) {
            addProblem(name, range.description);
        }
    }

    private void checkClasses() {
        if (classCount == 0) {
            addProblem(SettingNames.PRIORITY_CLASSES, "one class or more, each with its name");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classCount; i++) {
            checkClass(i, names);
        }
        checkThatNoClassIsIgnored();
        DEFAULTS_BY_CLASS.forEach((name, assumed) -> checkMissingInClasses(name, assumed, false));
        checkMissingInClasses("window", "10000 ms", true);
    }

    private void checkClass(int index, Set<String> namesSoFar) {
        String nameSetting = SettingNames.ofPriorityClass(index, "name");
        String name = settings.get(nameSetting);
        if (name.isEmpty() || !namesSoFar.add(name)) {
            addProblem(nameSetting, "a name that no other class has");
        }
        NUMBERS_BY_CLASS.forEach((setting, range) -> checkNumber(SettingNames.ofPriorityClass(index, setting), range));
        // Only classes with idempotency keys use the window; others may set it to zero.
        checkNumber(
                SettingNames.ofPriorityClass(index, "window"),
                isIdempotentByKey(index) ? Range.POSITIVE : Range.NON_NEGATIVE);
        String kindSetting = SettingNames.ofPriorityClass(index, "kind");
        if (!KINDS.contains(settings.getOrDefault(kindSetting, SettingNames.NON_IDEMPOTENT))) {
            addProblem(kindSetting, "by_key, once, repeatable");
        }
    }

    private boolean isIdempotentByKey(int index) {
        return SettingNames.IDEMPOTENT_BY_KEY.equals(settings.get(SettingNames.ofPriorityClass(index, "kind")));
    }

    /** The list of classes ends at the first one without a name: those after it would be ignored. */
    private void checkThatNoClassIsIgnored() {
        if (classCount == 0) {
            return;
        }
        for (String name : settings.keySet()) {
            String[] parts = name.split("\\.");
            if (parts.length > 2 && parts[0].equals(SettingNames.PRIORITY_CLASSES)) {
                String nameSetting = SettingNames.PRIORITY_CLASSES + "." + parts[1] + ".name";
                if (!settings.containsKey(nameSetting)) {
                    addProblem(nameSetting, "a name that no other class has");
                    return;
                }
            }
        }
    }

    private void checkMissing() {
        if (!List.of(settings.getOrDefault("server.gauges", "run-queue").split(","))
                .contains("run-queue")) {
            assumedDefaults.add("runnable in " + externalName("server.gauges") + " (only own runs counted)");
        }
        DEFAULTS.forEach((name, assumed) -> {
            if (!settings.containsKey(name)) {
                assumedDefaults.add(externalName(name) + " (" + assumed + ")");
            }
        });
    }

    private void checkMissingInClasses(String setting, String assumed, boolean onlyIdempotentByKey) {
        List<String> without = new ArrayList<>();
        for (int i = 0; i < classCount; i++) {
            boolean needed = !onlyIdempotentByKey || isIdempotentByKey(i);
            if (needed && !settings.containsKey(SettingNames.ofPriorityClass(i, setting))) {
                without.add("" + i);
            }
        }
        if (!without.isEmpty()) {
            assumedDefaults.add(externalName(SettingNames.PRIORITY_CLASSES) + "." + String.join("+", without) + "."
                    + externalName(setting) + " (" + assumed + ")");
        }
    }

    /** Checks a setting with one value for each class, set apart by commas; it may be left empty. */
    private void checkValuesByClass(String name, String allowed, String assumed, Predicate<String> isAllowed) {
        String setting = settings.getOrDefault(name, "");
        if (setting.isEmpty()) {
            return;
        }
        String[] values = setting.split(",", -1);
        for (String value : values) {
            if (!value.isEmpty() && !isAllowed.test(value)) {
                addProblem(name, allowed + " for each class");
                return;
            }
        }
        if (values.length != classCount) {
            assumedDefaults.add(
                    externalName(name) + " has " + values.length + " of " + classCount + " (" + assumed + ")");
        }
    }
}
