package merlinlever.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import merlinlever.Settled;

/**
 * The settings that give a deployment its shape: how running work is halted, what is said to callers, whether the
 * list follows health, what lies below. Checks them, and in the watch mode counts, by kind, where the settings
 * under {@code watch.} would have decided otherwise than those in force. No I/O.
 */
public final class Shape {

    /** The settings of a shape, with what each allows; absent ones keep the present behaviour. */
    private static final Map<String, Set<String>> ALLOWED = Map.of(
            "halt", Set.of("none", "drop", "pause"),
            "say", Set.of("none", "level", "credit", "weight"),
            "readiness", Set.of("true", "false"),
            "below", Set.of("none", "shared", "tier"));
    private static final Map<String, String> ABSENT = Map.of(
            "halt", "none", "say", "none", "readiness", "false", "below", "none");

    private final Map<String, String> now = new TreeMap<>();
    private final Map<String, String> watched = new TreeMap<>();
    private final Map<String, Long> otherwise = new TreeMap<>();

    private Shape() {
    }

    /** What is wrong with the shape's settings, one line each, naming the setting and what it allows. */
    public static List<String> problems(Map<String, String> given) {
        List<String> problems = new ArrayList<>();
        for (String prefix : List.of("server.", "watch.")) {
            for (Map.Entry<String, Set<String>> setting : new TreeMap<>(ALLOWED).entrySet()) {
                String value = given.get(prefix + setting.getKey());
                if (value != null && !setting.getValue().contains(value)) {
                    problems.add("settings: " + prefix + setting.getKey() + " is \"" + value + "\"; allowed: "
                            + String.join(", ", setting.getValue().stream().sorted().toList()));
                }
            }
        }
        return problems;
    }

    /** The watch over these settings, or null where no {@code watch.} setting is given. */
    public static Shape watching(Map<String, String> given) {
        Shape shape = new Shape();
        for (String name : ALLOWED.keySet()) {
            String in = given.getOrDefault("server." + name, ABSENT.get(name));
            shape.now.put(name, in);
            shape.watched.put(name, given.getOrDefault("watch." + name, in));
        }
        return given.keySet().stream().anyMatch(k -> k.startsWith("watch.")) ? shape : null;
    }

    private boolean differs(String name) {
        return !now.get(name).equals(watched.get(name));
    }

    private void count(String kind, long times) {
        if (times > 0) {
            otherwise.merge(kind, times, Long::sum);
        }
    }

    /** Counts what the watched settings would have decided otherwise in one batch of decisions. */
    public void seen(Settled settled) {
        if (differs("halt")) {
            // Dropped work is lost and its call abandoned; paused work keeps its progress and memory.
            count("halt", settled.halted.size());
        }
        if (differs("say") && !Double.isNaN(settled.level)) {
            count("say", 1);
        }
        if (differs("readiness") && settled.healthy != null) {
            // Where the list follows health, every caller's list drops or takes back this server.
            count("readiness", 1);
        }
        if (differs("below")) {
            count("below", settled.called.size());
        }
    }

    /** How often, by kind, the watched settings would have decided otherwise; in the order of the kinds. */
    public Map<String, Long> otherwise() {
        return new TreeMap<>(otherwise);
    }
}
