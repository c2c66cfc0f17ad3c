package merlinlever.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import merlinlever.Decision;
import merlinlever.Decisions;

/**
 * The settings that give a deployment its shape: how running work is halted, what is said to callers, whether the
 * list follows health, what lies below. Checks them, and in the watch mode counts, by kind, where the settings
 * under {@code watch.} would have decided otherwise than those in force. No I/O.
 */
public final class DeploymentProfile {

    /** The settings of a shape, in order, with what each allows, in order. */
    private static final Map<String, List<String>> ALLOWED = new TreeMap<>(Map.of(
            "below", List.of("none", "shared", "tier"),
            "halt", List.of("drop", "none", "pause"),
            "readiness", List.of("false", "true"),
            "say", List.of("credit", "level", "none", "weight")));
    /** What an absent setting means: the present behaviour. */
    private static final Map<String, String> ABSENT =
            Map.of("halt", "none", "say", "none", "readiness", "false", "below", "none");

    /** The kinds whose watched value is not the one in force. */
    private final Set<String> differing;

    private final Map<String, Long> otherwise = new TreeMap<>();

    private DeploymentProfile(Set<String> differing) {
        this.differing = differing;
    }

    /** What is wrong with the shape's settings, one line each, naming the setting and what it allows. */
    public static List<String> problems(Map<String, String> given) {
        List<String> problems = new ArrayList<>();
        for (String prefix : List.of("server.", "watch.")) {
            ALLOWED.forEach((name, allowed) -> {
                String value = given.get(prefix + name);
                if (value != null && !allowed.contains(value)) {
                    problems.add("settings: " + prefix + name + " is \"" + value + "\"; allowed: "
                            + String.join(", ", allowed));
                }
            });
        }
        return problems;
    }

    /** The watch over these settings, or null where no {@code watch.} setting is given. */
    public static DeploymentProfile watching(Map<String, String> given) {
        if (given.keySet().stream().noneMatch(k -> k.startsWith("watch."))) {
            return null;
        }
        Set<String> differing = new TreeSet<>();
        for (String name : ALLOWED.keySet()) {
            String in = given.getOrDefault("server." + name, ABSENT.get(name));
            if (!given.getOrDefault("watch." + name, in).equals(in)) {
                differing.add(name);
            }
        }
        return new DeploymentProfile(differing);
    }

    private void count(String kind, long times) {
        if (times > 0 && differing.contains(kind)) {
            otherwise.merge(kind, times, Long::sum);
        }
    }

    /** Counts what the watched settings would have decided otherwise in one batch of decisions. */
    public void seen(Decisions settled) {
        // Dropped work is lost and its call abandoned; paused work keeps its progress and memory.
        count("halt", settled.of(Decision.Stop.class).size());
        count("say", settled.of(Decision.SendBackpressure.class).size());
        // Where the list follows health, every caller's list drops or takes back this server.
        count("readiness", settled.of(Decision.ReportHealth.class).size());
        count("below", settled.of(Decision.CallDownstream.class).size());
    }

    /** How often, by kind, the watched settings would have decided otherwise; in the order of the kinds. */
    public Map<String, Long> otherwise() {
        return new TreeMap<>(otherwise);
    }
}
