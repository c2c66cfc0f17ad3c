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
 * Settings as they were given, by path: names whose parts are set apart by dots, as {@code services.0.aim}. Some parts
 * and some values have a synonym; each is kept under one form only, so that two equal settings mean the same. Where one
 * setting is given twice, the later one counts. {@link SettingsParser} reads them.
 */
public final class RawSettings {

    /** The name of a part of a path by its synonym. */
    private static final Map<String, String> NAME_BY_SYNONYM = Map.ofEntries(
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

    /** The synonym by which a value is kept, and quoted in error messages. */
    private static final Map<String, String> SYNONYM_BY_VALUE = Map.of(
            "repeatable", "retriable",
            "by_key", "fingerprinted",
            "once", "binding",
            "silent", "none",
            "cpu_busy", "busy",
            "runnable", "run-queue",
            "mem_used", "memory",
            "sockets", "connections");

    /** Further parts of names that operators use. All other ones, but numbers, are reported as unknown. */
    private static final Set<String> KNOWN_NAMES = Set.of(
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

    /** Settings whose values are names that operators choose, which stay as they are whatever words they use. */
    private static final Set<String> FREELY_NAMED = Set.of("name", "names", "zone", "zones", "tiers", "service-type");

    private final List<String> givenPaths = new ArrayList<>();
    private final Map<String, String> valueByPath = new LinkedHashMap<>();
    private final Map<String, String> givenPathByPath = new HashMap<>();

    private RawSettings() {}

    /** The settings by their paths, in the order in which they were given. */
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
        valueByPath.put(path, FREELY_NAMED.contains(lastPart) ? value : canonicalValue(value));
    }

    private static String path(String given) {
        return mapParts(given, ".", part -> NAME_BY_SYNONYM.getOrDefault(part, part));
    }

    /** The form in which a value is kept: a list separated by commas, or one word. */
    static String canonicalValue(String value) {
        return mapParts(value, ",", part -> SYNONYM_BY_VALUE.getOrDefault(part, part));
    }

    private static String mapParts(String text, String separator, UnaryOperator<String> mapping) {
        String[] parts = text.split(separator.equals(".") ? "\\." : separator, -1);
        for (int i = 0; i < parts.length; i++) {
            parts[i] = mapping.apply(parts[i]);
        }
        return String.join(separator, parts);
    }

    boolean has(String path) {
        return valueByPath.containsKey(path);
    }

    /** The paths of all settings. */
    Set<String> paths() {
        return valueByPath.keySet();
    }

    /** The value, or null if there is none. */
    String value(String path) {
        return valueByPath.get(path);
    }

    /** The value, or the default if there is none. */
    String value(String path, String defaultValue) {
        return valueByPath.getOrDefault(path, defaultValue);
    }

    /** Whether the value is {@code true}, in any case. */
    boolean flag(String path) {
        return Boolean.parseBoolean(valueByPath.get(path));
    }

    /** The value as a number; empty if there is none or it is no number. */
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

    /** The element of a list separated by commas, or the default where it is absent or empty. */
    String listElement(String path, int index, String defaultValue) {
        String[] elements = value(path, "").split(",", -1);
        return index < elements.length && !elements[index].isEmpty() ? elements[index] : defaultValue;
    }

    /** How many priority classes there are: the list ends at the first one without a name. */
    int classCount() {
        int count = 0;
        while (has(SettingPaths.ofClass(count, SettingPaths.CLASS_NAME))) {
            count++;
        }
        return count;
    }

    /** The path as operators gave it. */
    String givenPath(String path) {
        return givenPathByPath.getOrDefault(path, path);
    }

    /** The given paths with a part that this program does not know, in their order. */
    public List<String> unknownPaths() {
        return givenPaths.stream().filter(path -> !isKnown(path)).toList();
    }

    private static boolean isKnown(String givenPath) {
        for (String part : givenPath.split("\\.")) {
            if (!NAME_BY_SYNONYM.containsValue(part) && !KNOWN_NAMES.contains(part) && !part.matches("[0-9]+")) {
                return false;
            }
        }
        return true;
    }

    /** Whether all settings have the same values, whatever their order and whichever synonyms were given. */
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
