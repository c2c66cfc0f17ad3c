package merlinlever.controller.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Translates settings between the operators' names and the internal ones, for every adapter. A name is a path whose
 * parts are set apart by dots, as {@code services.0.aim}; each part is translated by itself.
 */
public final class SettingsTranslator {

    private static final Map<String, String> INTERNAL_BY_EXTERNAL_NAME = Map.ofEntries(
            Map.entry("services", SettingNames.PRIORITY_CLASSES),
            Map.entry("aim", "soft-limit"),
            Map.entry("aim-stretch", "soft-limit-stretch"),
            Map.entry("hard-limit", "client-timeout"),
            Map.entry("gain", "value"),
            Map.entry("semantics", "kind"),
            Map.entry("family-info", "server"),
            Map.entry("n-cores", "cores"),
            Map.entry("kb-per-key", "kb-per-fingerprint"),
            Map.entry("blowup", "run-factor"),
            Map.entry("calls-by-class", "calls-by-tariff"),
            Map.entry("class-skip-worth", "value-without-call"),
            Map.entry("hangup-seen", "tells-caller-gone"),
            Map.entry("passes-deadline", "tells-client-timeout"),
            Map.entry("fair-calls", "share-of-calls"),
            Map.entry("invariants", "rules"),
            Map.entry("overload-factor", "crowd-factor"),
            Map.entry("overload-for", "crowd-span"),
            Map.entry("bounds", "limits"),
            Map.entry("retry-after", "stay-away"),
            Map.entry("max-retry-after", "longest-stay-away"),
            Map.entry("over-share-worth", "value-over-share"),
            Map.entry("worth-by", "value-by"));

    private static final Map<String, String> INTERNAL_BY_EXTERNAL_VALUE = Map.of(
            "repeatable", SettingNames.IDEMPOTENT,
            "by_key", SettingNames.IDEMPOTENT_BY_KEY,
            "once", SettingNames.NON_IDEMPOTENT,
            "silent", "none",
            "cpu_busy", "busy",
            "runnable", "run-queue",
            "mem_used", "memory",
            "sockets", "connections");

    /** Names that are the same in both; any other name without a translation is unknown to this program. */
    private static final Set<String> UNTRANSLATED_NAMES = Set.of(
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

    private SettingsTranslator() {}

    /** The settings by their internal names, with internal values. */
    public static Map<String, String> translate(Map<String, String> external) {
        Map<String, String> internal = new HashMap<>();
        external.forEach((path, value) -> {
            String lastPart = path.substring(path.lastIndexOf('.') + 1);
            internal.put(internalName(path), FREELY_NAMED.contains(lastPart) ? value : internalValue(value));
        });
        return internal;
    }

    private static String internalValue(String value) {
        return mapParts(value, ",", part -> INTERNAL_BY_EXTERNAL_VALUE.getOrDefault(part, part));
    }

    /** The internal name of a setting that operators call so. */
    static String internalName(String external) {
        return mapParts(external, ".", part -> INTERNAL_BY_EXTERNAL_NAME.getOrDefault(part, part));
    }

    /** The operators' name of a setting; a name that is the same in both stays. */
    static String externalName(String internal) {
        return mapParts(internal, ".", SettingsTranslator::externalPart);
    }

    private static String externalPart(String internal) {
        return INTERNAL_BY_EXTERNAL_NAME.entrySet().stream()
                .filter(entry -> entry.getValue().equals(internal))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(internal);
    }

    /**
     * The number set under the internal name, or the given one if there is none.
     *
     * @throws NumberFormatException if the value is no number
     */
    public static double number(Map<String, String> settings, String name, double absent) {
        String value = settings.get(name);
        return value == null ? absent : Double.parseDouble(value);
    }

    /** The operators' names with a part that this program does not know. */
    public static List<String> unknownNames(Map<String, String> external) {
        List<String> unknown = new ArrayList<>();
        for (String path : external.keySet()) {
            for (String part : path.split("\\.")) {
                if (!INTERNAL_BY_EXTERNAL_NAME.containsKey(part)
                        && !UNTRANSLATED_NAMES.contains(part)
                        && !part.matches("[0-9]+")) {
                    unknown.add(path);
                    break;
                }
            }
        }
        return unknown;
    }

    private static String mapParts(String text, String separator, UnaryOperator<String> translation) {
        String[] parts = text.split(separator.equals(".") ? "\\." : separator, -1);
        for (int i = 0; i < parts.length; i++) {
            parts[i] = translation.apply(parts[i]);
        }
        return String.join(separator, parts);
    }
}
