package merlinlever.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/** What is stated at start, by path: the operators' names and ours. The one translation, for every adapter. */
public final class SettingsTranslator {

    private static final Map<String, String> NAMES = Map.ofEntries(
            Map.entry("services", "tariffs"),
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

    private static final Map<String, String> VALUES = Map.of(
            "repeatable", "retriable",
            "by_key", "fingerprinted",
            "once", "binding",
            "silent", "none",
            "cpu_busy", "busy",
            "runnable", "run-queue",
            "mem_used", "memory",
            "sockets", "connections");

    /** Names that pass as they are; any other that is not translated is new to this program. */
    private static final Set<String> SAME = Set.of(("name window late-value memory-kb run-factor callers cold halt "
                    + "idle say below calls-over gauges deep-checks heeded linger readiness fresh-for allowance-per-s share "
                    + "cold-share drain-grace answer-slack cpu-us-per-request cpu-us-per-s goal whole worst-class "
                    + "worst-tenant worst-window penalties connection handshake late-fail origin waste telemetry how names "
                    + "tenants servers service-type ordinal tick tier tiers zone zones clients marks-retry count watch")
            .split(" "));

    /** What these hold was named by others, and stays as it is whatever word it is. */
    private static final Set<String> NAMED_BY_OTHERS =
            Set.of("name", "names", "zone", "zones", "tiers", "service-type");

    private SettingsTranslator() {}

    /** The values by our names. */
    public static Map<String, String> translate(Map<String, String> theirs) {
        Map<String, String> given = new HashMap<>();
        theirs.forEach((path, value) -> given.put(
                ours(path),
                NAMED_BY_OTHERS.contains(path.substring(path.lastIndexOf('.') + 1))
                        ? value
                        : words(value, ",", part -> VALUES.getOrDefault(part, part))));
        return given;
    }

    /** Our name of what is stated under the path. */
    static String ours(String path) {
        return words(path, ".", part -> NAMES.getOrDefault(part, part));
    }

    /** The operators' name of what is ours; a name that is the same in both stays. */
    static String theirs(String name) {
        return words(name, ".", part -> NAMES.entrySet().stream()
                .filter(each -> each.getValue().equals(part))
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse(part));
    }

    /** The number stated under our name, or the other where there is none. */
    public static double number(Map<String, String> given, String name, double absent) {
        String stated = given.get(name);
        return stated == null ? absent : Double.parseDouble(stated);
    }

    /** The paths with a part that is in no table here. */
    public static List<String> unknown(Map<String, String> theirs) {
        List<String> unknown = new ArrayList<>();
        for (String path : theirs.keySet()) {
            for (String part : path.split("\\.")) {
                if (!NAMES.containsKey(part) && !SAME.contains(part) && !part.matches("[0-9]+")) {
                    unknown.add(path);
                    break;
                }
            }
        }
        return unknown;
    }

    private static String words(String text, String between, UnaryOperator<String> word) {
        String[] parts = text.split(between.equals(".") ? "\\." : between, -1);
        for (int i = 0; i < parts.length; i++) {
            parts[i] = word.apply(parts[i]);
        }
        return String.join(between, parts);
    }
}
