package merlinlever.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Whether a backend can be served with the settings: what is no number or out of range, what would leave a class out, and
 * what is missing and matters. Only what this program reads is looked at. Settings go by our names, and are told of by
 * those that they were stated under.
 */
public final class SettingsValidator {

    /** What a number may be. */
    private enum Range {
        POSITIVE("a number above 0, at most 1e12"),
        AT_LEAST_0("a number from 0 to 1e12"),
        SHARE("a number from 0 to 1"),
        /** Above 0 and under it the module reckons with one core. */
        FINITE("a number");

        private final String words;

        Range(String words) {
            this.words = words;
        }

        /** Also a time in milliseconds, of which larger ones no longer fit. */
        boolean holds(double number) {
            return switch (this) {
                case POSITIVE -> number > 0 && number <= 1e12;
                case AT_LEAST_0 -> number >= 0 && number <= 1e12;
                case SHARE -> number >= 0 && number <= 1;
                case FINITE -> Double.isFinite(number);
            };
        }
    }

    private static final Map<String, Range> NUMBERS = new TreeMap<>(Map.ofEntries(
            Map.entry("server.cores", Range.POSITIVE),
            Map.entry("server.memory-kb", Range.POSITIVE),
            Map.entry("server.run-factor", Range.POSITIVE),
            Map.entry("server.kb-per-fingerprint", Range.AT_LEAST_0),
            Map.entry("server.idle", Range.AT_LEAST_0),
            Map.entry("server.callers", Range.AT_LEAST_0),
            Map.entry("server.fresh-for", Range.AT_LEAST_0),
            Map.entry("server.calls-over", Range.AT_LEAST_0),
            Map.entry("server.share-of-calls", Range.AT_LEAST_0),
            Map.entry("servers", Range.AT_LEAST_0),
            Map.entry("rules.crowd-factor", Range.POSITIVE),
            Map.entry("rules.cold", Range.AT_LEAST_0),
            Map.entry("rules.cold-share", Range.SHARE),
            Map.entry("rules.drain-grace", Range.AT_LEAST_0),
            Map.entry("limits.longest-stay-away", Range.AT_LEAST_0)));
    private static final Map<String, Range> OF_A_CLASS = new TreeMap<>(Map.of(
            "soft-limit",
            Range.POSITIVE,
            "client-timeout",
            Range.POSITIVE,
            "soft-limit-stretch",
            Range.AT_LEAST_0,
            "value",
            Range.AT_LEAST_0,
            "late-value",
            Range.FINITE));
    private static final Set<String> KINDS = Set.of("retriable", "fingerprinted", "binding");

    /** What the program takes where one of these is not stated, as it is told. */
    private static final Map<String, String> ASSUMED = new TreeMap<>(Map.of(
            "server.cores",
            "1",
            "server.memory-kb",
            "no limit",
            "server.gauges",
            "none",
            "rules.crowd-factor",
            "2",
            "rules.drain-grace",
            "0 ms"));

    private static final Map<String, String> ASSUMED_OF_A_CLASS =
            new TreeMap<>(Map.of("soft-limit", "1000 ms", "client-timeout", "2000 ms", "kind", "once"));

    private final Map<String, String> given;
    /** Under which name each is stated, by ours. */
    private final Map<String, String> names = new HashMap<>();

    private final List<String> problems = new ArrayList<>();
    private final List<String> missing = new ArrayList<>();
    private int classes;

    /** Checks what is stated, by whatever names. */
    public SettingsValidator(Map<String, String> stated) {
        given = SettingsTranslator.translate(stated);
        stated.keySet().forEach(name -> names.put(SettingsTranslator.ours(name), name));
        while (given.containsKey("tariffs." + classes + ".name")) {
            classes++;
        }
        DeploymentProfile.problems(given)
                .forEach(each -> problems.add(each.replace("settings: server.", "settings: family-info.")));
        NUMBERS.forEach(this::number);
        classes();
        row("server.value-without-call", "a number", "0", each -> Range.FINITE.holds(parsed(each)));
        row("server.calls-by-tariff", "true, false", "true", each -> each.equals("true") || each.equals("false"));
        if (!List.of(given.getOrDefault("server.gauges", "run-queue").split(","))
                .contains("run-queue")) {
            missing.add("runnable in " + SettingsTranslator.theirs("server.gauges") + " (only own runs counted)");
        }
        ASSUMED.forEach((name, assumed) -> {
            if (!given.containsKey(name)) {
                missing.add(SettingsTranslator.theirs(name) + " (" + assumed + ")");
            }
        });
    }

    /** What it cannot be served with, one line each, naming the setting and what it allows. */
    public List<String> problems() {
        return List.copyOf(problems);
    }

    /** What is not stated and matters, each with what is assumed in its place. */
    public List<String> missing() {
        return List.copyOf(missing);
    }

    private void problem(String name, String allowed) {
        String value = given.get(name);
        String stated = names.getOrDefault(name, SettingsTranslator.theirs(name));
        problems.add(
                "settings: " + stated + (value == null || value.isEmpty() ? " is missing" : " is \"" + value + "\"")
                        + "; allowed: " + allowed);
    }

    private static double parsed(String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private void number(String name, Range range) {
        String value = given.get(name);
        if (value != null && !range.holds(parsed(value))) {
            problem(name, range.words);
        }
    }

    private void classes() {
        if (classes == 0) {
            problem("tariffs", "one class or more, each with its name");
        }
        Map<String, Integer> seen = new HashMap<>();
        for (int i = 0; i < classes; i++) {
            String at = "tariffs." + i + ".";
            if (given.get(at + "name").isEmpty() || seen.put(given.get(at + "name"), i) != null) {
                problem(at + "name", "a name that no other class has");
            }
            OF_A_CLASS.forEach((name, range) -> number(at + name, range));
            // It is of use in keyed classes alone; elsewhere it may be stated as none.
            number(at + "window", "fingerprinted".equals(given.get(at + "kind")) ? Range.POSITIVE : Range.AT_LEAST_0);
            if (!KINDS.contains(given.getOrDefault(at + "kind", "binding"))) {
                problem(at + "kind", "by_key, once, repeatable");
            }
        }
        // The classes end where one has no name: those after it would be left out.
        for (String name : given.keySet()) {
            String[] parts = name.split("\\.");
            if (parts.length > 2
                    && parts[0].equals("tariffs")
                    && classes > 0
                    && !given.containsKey("tariffs." + parts[1] + ".name")) {
                problem("tariffs." + parts[1] + ".name", "a name that no other class has");
                break;
            }
        }
        ASSUMED_OF_A_CLASS.forEach((name, assumed) -> missingIn(name, assumed, false));
        missingIn("window", "10000 ms", true);
    }

    private void missingIn(String name, String assumed, boolean keyed) {
        List<String> without = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            String at = "tariffs." + i + ".";
            if (!given.containsKey(at + name) && (!keyed || "fingerprinted".equals(given.get(at + "kind")))) {
                without.add("" + i);
            }
        }
        if (!without.isEmpty()) {
            missing.add(SettingsTranslator.theirs("tariffs") + "." + String.join("+", without) + "."
                    + SettingsTranslator.theirs(name) + " (" + assumed + ")");
        }
    }

    /** A row of values, one for each class; none at all is what the wire allows. */
    private void row(String name, String allowed, String assumed, Predicate<String> good) {
        String value = given.getOrDefault(name, "");
        if (value.isEmpty()) {
            return;
        }
        String[] row = value.split(",", -1);
        for (String each : row) {
            if (!each.isEmpty() && !good.test(each)) {
                problem(name, allowed + " for each class");
                return;
            }
        }
        if (row.length != classes) {
            missing.add(
                    SettingsTranslator.theirs(name) + " has " + row.length + " of " + classes + " (" + assumed + ")");
        }
    }
}
