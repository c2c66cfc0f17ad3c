package merlinlever.controller.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The settings that describe what a deployment is capable of: how running work can be stopped ({@code halt}), what is
 * advertised to callers ({@code say}), whether the endpoint list follows health ({@code readiness}) and what lies
 * downstream ({@code below}).
 */
public final class DeploymentProfile {

    /** The prefix of the settings in force. */
    private static final String IN_FORCE = "server.";
    /** The prefix of the settings that shadow mode compares with those in force. */
    private static final String SHADOWED = "watch.";

    /** The allowed values of each setting. */
    private static final Map<String, List<String>> ALLOWED_VALUES = new TreeMap<>(Map.of(
            "below", List.of("none", "shared", "tier"),
            "halt", List.of("drop", "none", "pause"),
            "readiness", List.of("false", "true"),
            "say", List.of("credit", "level", "none", "weight")));

    private static final Map<String, String> DEFAULTS =
            Map.of("halt", "none", "say", "none", "readiness", "false", "below", "none");

    private DeploymentProfile() {}

    /** What is wrong with these settings, one line each, naming the setting and its allowed values. */
    static List<String> problems(Map<String, String> settings) {
        List<String> problems = new ArrayList<>();
        for (String prefix : List.of(IN_FORCE, SHADOWED)) {
            ALLOWED_VALUES.forEach((name, allowed) -> {
                String value = settings.get(prefix + name);
                if (value != null && !allowed.contains(value)) {
                    problems.add("settings: " + prefix + name + " is \"" + value + "\"; allowed: "
                            + String.join(", ", allowed));
                }
            });
        }
        return problems;
    }

    /** Whether any setting is given for shadow mode. */
    public static boolean hasShadowedSettings(Map<String, String> settings) {
        return settings.keySet().stream().anyMatch(name -> name.startsWith(SHADOWED));
    }

    /** The settings whose shadowed value is not the one in force, in alphabetical order. */
    public static List<String> shadowedDifferently(Map<String, String> settings) {
        List<String> names = new ArrayList<>();
        for (String name : ALLOWED_VALUES.keySet()) {
            String inForce = settings.getOrDefault(IN_FORCE + name, DEFAULTS.get(name));
            if (!settings.getOrDefault(SHADOWED + name, inForce).equals(inForce)) {
                names.add(name);
            }
        }
        return names;
    }
}
