package merlinlever.controller.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Untyped settings by path, a name whose parts are separated by dots, such as {@code services.0.aim}. Some parts and
 * values have synonyms, which are converted to a canonical form. If a setting is given twice, the later value is used.
 * {@link SettingsParser} converts the settings to typed ones.
 */
public final class RawSettings {

    /** Canonical names of the parts of a path, by synonym. */
    private static final Map<String, String> CANONICAL_NAMES = Map.ofEntries(
            Map.entry("tariffs", "services"),
            Map.entry("soft-limit", "aim"),
            Map.entry("soft-limit-stretch", "aim-stretch"),
            Map.entry("client-timeout", "hard-limit"),
            Map.entry("value", "gain"),
            Map.entry("kind", "semantics"),
            Map.entry("server", "family-info"),
            Map.entry("cores", "n-cores"),
            Map.entry("kb-per-fingerprint", "kb-per-key"),
            Map.entry("run-factor", "blowup"),
            Map.entry("calls-by-tariff", "calls-by-class"),
            Map.entry("value-without-call", "class-skip-worth"),
            Map.entry("tells-caller-gone", "hangup-seen"),
            Map.entry("tells-client-timeout", "passes-deadline"),
            Map.entry("share-of-calls", "fair-calls"),
            Map.entry("rules", "invariants"),
            Map.entry("crowd-factor", "overload-factor"),
            Map.entry("crowd-span", "overload-for"),
            Map.entry("limits", "bounds"),
            Map.entry("stay-away", "retry-after"),
            Map.entry("longest-stay-away", "max-retry-after"),
            Map.entry("value-over-share", "over-share-worth"),
            Map.entry("value-by", "worth-by"));

    /** Canonical forms of values, which error messages show, by the value that operators configure. */
    private static final Map<String, String> CANONICAL_VALUES = Map.of(
            "repeatable", "retriable",
            "by_key", "fingerprinted",
            "once", "binding",
            "silent", "none",
            "cpu_busy", "busy",
            "runnable", "run-queue",
            "mem_used", "memory",
            "sockets", "connections");

    /** Further known parts of paths. Other parts, except numbers, are reported as unknown. */
    private static final Set<String> OTHER_KNOWN_NAMES = Set.of(
            "name",
            "window",
            "late-value",
            "memory-kb",
            "run-factor",
            "callers",
            "cold",
            "halt",
            "idle",
            "say",
            "below",
            "calls-over",
            "gauges",
            "deep-checks",
            "heeded",
            "linger",
            "readiness",
            "fresh-for",
            "allowance-per-s",
            "share",
            "cold-share",
            "drain-grace",
            "answer-slack",
            "cpu-us-per-request",
            "cpu-us-per-s",
            "goal",
            "whole",
            "worst-class",
            "worst-tenant",
            "worst-window",
            "penalties",
            "connection",
            "handshake",
            "late-fail",
            "origin",
            "waste",
            "telemetry",
            "how",
            "names",
            "tenants",
            "servers",
            "service-type",
            "ordinal",
            "tick",
            "tier",
            "tiers",
            "zone",
            "zones",
            "clients",
            "marks-retry",
            "count",
            "watch");

    /** Settings whose values are names chosen by operators, which are not converted. */
    private static final Set<String> OPERATOR_CHOSEN_NAMES =
            Set.of("name", "names", "zone", "zones", "tiers", "service-type");

    private final List<String> givenPaths = new ArrayList<>();
    private final Map<String, String> valueByPath = new LinkedHashMap<>();
    private final Map<String, String> givenPathByPath = new HashMap<>();

    private RawSettings() {}

    /** Creates settings from values by path; the iteration order of the map is kept. */
    public static RawSettings of(Map<String, String> given) {
        RawSettings settings = new RawSettings();
        given.forEach(settings::put);
        return settings;
    }

    private void put(String givenPath, String value) {
        String lastPart = givenPath.substring(givenPath.lastIndexOf('.') + 1);
        String path = path(givenPath);
        givenPaths.add(givenPath);
        givenPathByPath.put(path, givenPath);
        valueByPath.put(path, OPERATOR_CHOSEN_NAMES.contains(lastPart) ? value : canonicalValue(value));
    }

    private static String path(String given) {
        return mapParts(given, ".", part -> CANONICAL_NAMES.getOrDefault(part, part));
    }

    /** Returns the canonical form of a value, which is a word or a list separated by commas. */
    static String canonicalValue(String value) {
        return mapParts(value, ",", part -> CANONICAL_VALUES.getOrDefault(part, part));
    }

    private static String mapParts(String text, String separator, UnaryOperator<String> conversion) {
        String[] parts = text.split(separator.equals(".") ? "\\." : separator, -1);
        for (int i = 0; i < parts.length; i++) {
            parts[i] = conversion.apply(parts[i]);
        }
        return String.join(separator, parts);
    }

    boolean has(String path) {
        return valueByPath.containsKey(path);
    }

    /** Returns the canonical paths of all settings. */
    Set<String> paths() {
        return valueByPath.keySet();
    }

    /** Returns the value, or null without one. */
    String value(String path) {
        return valueByPath.get(path);
    }

    /** Returns the value, or the default without one. */
    String value(String path, String defaultValue) {
        return valueByPath.getOrDefault(path, defaultValue);
    }

    /** Whether the value is {@code true}, ignoring upper and lower case. */
    boolean flag(String path) {
        return Boolean.parseBoolean(valueByPath.get(path));
    }

    /** Returns the value as a number; empty if the value is missing or not a number. */
    OptionalDouble number(String path) {
        String text = valueByPath.get(path);
        if (text == null) {
            return OptionalDouble.empty();
        }
        try {
            return OptionalDouble.of(Double.parseDouble(text));
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }

    /** Returns an element of a list separated by commas, or the default if the element is missing or empty. */
    String listElement(String path, int index, String defaultValue) {
        String[] elements = value(path, "").split(",", -1);
        return index < elements.length && !elements[index].isEmpty() ? elements[index] : defaultValue;
    }

    /** Returns the number of priority classes; the list ends at the first index without a name. */
    int classCount() {
        int count = 0;
        while (has(SettingPaths.ofClass(count, SettingPaths.CLASS_NAME))) {
            count++;
        }
        return count;
    }

    /** Returns the path as given by the operator, possibly with synonyms. */
    String givenPath(String path) {
        return givenPathByPath.getOrDefault(path, path);
    }

    /** Returns the given paths with an unknown part, in the order of the settings. */
    public List<String> unknownPaths() {
        return givenPaths.stream().filter(path -> !isKnown(path)).toList();
    }

    private static boolean isKnown(String givenPath) {
        for (String part : givenPath.split("\\.")) {
            if (!CANONICAL_NAMES.containsValue(part) && !OTHER_KNOWN_NAMES.contains(part) && !part.matches("[0-9]+")) {
                return false;
            }
        }
        return true;
    }

    /** Whether all settings have the same values, regardless of their order and of synonyms. */
    @Override
    public boolean equals(Object other) {
        return other instanceof RawSettings settings && settings.valueByPath.equals(valueByPath);
    }

    @Override
    public int hashCode() {
        return valueByPath.hashCode();
    }

    @Override
    public String toString() {
        return valueByPath.toString();
    }
}
