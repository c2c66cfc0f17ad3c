package merlinlever.wire;

import java.util.HashMap;
import java.util.Map;
import merlinlever.Ending;

/** The wire's names for what is stated at start, and ours. */
final class Vocabulary {

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

    private static final Ending[] ENDINGS = {Ending.OK, Ending.ERROR, Ending.TURNED_AWAY, Ending.GIVEN_UP,
        Ending.UNREACHABLE, Ending.CUT_OFF, Ending.STOPPED, Ending.NEVER_BEGUN};

    private Vocabulary() {
    }

    /** The pairs of a setup, in our words; a pair that is none is passed over. */
    static Map<String, String> translate(String pairs) {
        Map<String, String> given = new HashMap<>();
        for (String pair : pairs.split(" ")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                given.put(words(pair.substring(0, equals), "\\.", ".", NAMES),
                        words(pair.substring(equals + 1), ",", ",", VALUES));
            }
        }
        return given;
    }

    private static String words(String text, String split, String join, Map<String, String> ours) {
        String[] parts = text.split(split, -1);
        for (int i = 0; i < parts.length; i++) {
            parts[i] = ours.getOrDefault(parts[i], parts[i]);
        }
        return String.join(join, parts);
    }

    static Ending ending(Line line) {
        long code = line.neededWhole("code");
        if (code < 0 || code >= ENDINGS.length) {
            throw line.fault("unknown ending " + code);
        }
        return ENDINGS[(int) code];
    }
}
