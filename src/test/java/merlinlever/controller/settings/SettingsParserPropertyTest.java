package merlinlever.controller.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.common.Durations;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Checks the parser against a simple reference implementation on random settings. */
class SettingsParserPropertyTest {

    private static final String[] NUMBER_NAMES = {
        "family-info.n-cores",
        "family-info.blowup",
        "family-info.kb-per-key",
        "family-info.idle",
        "family-info.callers",
        "family-info.fresh-for",
        "family-info.calls-over",
        "family-info.fair-calls",
        "family-info.linger",
        "family-info.memory-kb",
        "servers",
        "invariants.overload-factor",
        "invariants.cold",
        "invariants.cold-share",
        "invariants.drain-grace",
        "invariants.longest-unread",
        "bounds.max-retry-after",
        // Synonyms, some of names in this list.
        "server.cores",
        "family-info.run-factor",
        "rules.crowd-factor",
        "limits.longest-stay-away"
    };
    private static final String[] CLASS_NUMBER_NAMES = {
        "aim", "hard-limit", "window", "aim-stretch", "gain", "late-value", "soft-limit", "client-timeout", "value"
    };

    /** Reference implementation with its own names and defaults, which reads the values from strings. */
    private record Reference(Map<String, String> values) {
        static Reference of(Map<String, String> given) {
            Map<String, String> values = new HashMap<>();
            given.forEach((name, value) -> values.put(translate(name, "\\."), translate(value, ",")));
            return new Reference(values);
        }

        private static String translate(String text, String separator) {
            String[] parts = text.split(separator, -1);
            for (int i = 0; i < parts.length; i++) {
                parts[i] = SYNONYMS.getOrDefault(parts[i], parts[i]);
            }
            return String.join(separator.equals(",") ? "," : ".", parts);
        }

        private static final Map<String, String> SYNONYMS = Map.ofEntries(
                Map.entry("services", "tariffs"),
                Map.entry("family-info", "server"),
                Map.entry("n-cores", "cores"),
                Map.entry("invariants", "rules"),
                Map.entry("bounds", "limits"),
                Map.entry("aim", "soft-limit"),
                Map.entry("aim-stretch", "soft-limit-stretch"),
                Map.entry("hard-limit", "client-timeout"),
                Map.entry("gain", "value"),
                Map.entry("semantics", "kind"),
                Map.entry("blowup", "run-factor"),
                Map.entry("kb-per-key", "kb-per-fingerprint"),
                Map.entry("calls-by-class", "calls-by-tariff"),
                Map.entry("class-skip-worth", "value-without-call"),
                Map.entry("fair-calls", "share-of-calls"),
                Map.entry("overload-factor", "crowd-factor"),
                Map.entry("retry-after", "stay-away"),
                Map.entry("max-retry-after", "longest-stay-away"),
                Map.entry("repeatable", "retriable"),
                Map.entry("by_key", "fingerprinted"),
                Map.entry("once", "binding"),
                Map.entry("silent", "none"),
                Map.entry("cpu_busy", "busy"),
                Map.entry("runnable", "run-queue"));

        double number(String name, double defaultValue) {
            try {
                return values.containsKey(name) ? Double.parseDouble(values.get(name)) : defaultValue;
            } catch (NumberFormatException e) {
                return defaultValue;
            }
        }

        Duration duration(String name, double defaultMs) {
            return Durations.ofMillis(number(name, defaultMs));
        }

        String text(String name, String defaultValue) {
            return values.getOrDefault(name, defaultValue);
        }

        String element(String name, int index, String defaultValue) {
            String[] elements = text(name, "").split(",", -1);
            return index < elements.length && !elements[index].isEmpty() ? elements[index] : defaultValue;
        }
    }

    @Property(tries = 500, seed = "42")
    void parsedSettingsEqualTheReferenceImplementation(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, String> given = randomSettings(random);
        RawSettings raw = RawSettings.of(given);
        assertEquals(List.of(), new SettingsValidator(raw).problems(), "accepted: " + given);
        ControllerSettings settings = SettingsParser.parse(raw);
        Reference reference = Reference.of(given);
        assertServer(settings, reference);
        assertCallersAndCalls(settings, reference);
        assertDeployment(settings, reference);
        for (int i = 0; i < settings.priorityClasses().size(); i++) {
            assertClass(settings.priorityClasses().get(i), i, reference);
        }
        assertEquals(settings, settings.toBuilder().build());
    }

    private static void assertServer(ControllerSettings settings, Reference reference) {
        ServerSettings server = settings.server();
        assertEquals((int) Math.max(1, reference.number("server.cores", 1)), server.cores());
        assertEquals(reference.number("server.memory-kb", 1e9), server.memoryLimitKb());
        assertEquals(
                reference.number("server.memory-kb", 100_000), server.memoryKb().orElse(100_000));
        assertEquals(reference.number("server.run-factor", 4), server.runMemoryFactor());
        assertEquals(reference.number("server.kb-per-fingerprint", 0), server.memoryPerKeyKb());
        assertEquals(
                List.of(reference.text("server.gauges", "").split(",", -1)).indexOf("run-queue"),
                server.runQueueIndex());
        assertEquals(
                Boolean.parseBoolean(reference.text("server.cold", "")),
                settings.warmUp().cold());
        assertEquals(
                reference.number("rules.cold-share", 0.2), settings.warmUp().coldSpeed());
        assertEquals(
                reference.number("rules.cold", 1),
                Durations.toMillis(settings.warmUp().duration()));
        assertEquals(
                reference.number("rules.crowd-factor", 2), settings.safety().overloadFactor());
        assertEquals(
                reference.duration("rules.drain-grace", 0), settings.safety().drainGrace());
        assertEquals(
                reference.duration("rules.longest-unread", 30_000),
                settings.safety().maxReadDelay());
    }

    private static void assertCallersAndCalls(ControllerSettings settings, Reference reference) {
        boolean allowsRetryAfter = Boolean.parseBoolean(reference.text("limits.stay-away", ""));
        CallerSettings callers = settings.callers();
        assertEquals(
                allowsRetryAfter ? reference.duration("limits.longest-stay-away", 0) : Duration.ZERO,
                callers.maxRetryAfter());
        assertEquals(reference.number("server.idle", 30_000), Durations.toMillis(callers.idleTimeout()));
        assertEquals(
                (long) reference.number("server.idle", 30_000),
                callers.idleTimeout().toMillis());
        assertEquals(reference.number("server.callers", 1), callers.callers());
        assertEquals(reference.duration("server.fresh-for", 0), callers.maxOutcomeAge());
        DownstreamSettings downstream = settings.downstream();
        assertEquals(reference.number("server.share-of-calls", 1), downstream.shareOfCalls());
        assertEquals(reference.number("server.linger", 0), Durations.toMillis(downstream.lingerTime()));
        assertEquals(reference.number("server.calls-over", 5000), Durations.toMillis(downstream.averagingTime()));
        assertEquals(reference.number("servers", 0), downstream.fleetSize());
    }

    private static void assertDeployment(ControllerSettings settings, Reference reference) {
        DeploymentProfile profile = settings.deployment();
        assertEquals(!reference.text("server.halt", "none").equals("none"), profile.runStopping() != RunStopping.NONE);
        assertEquals(
                reference.text("server.below", "none").equals("shared"), profile.downstream() == DownstreamKind.SHARED);
        assertEquals(
                reference.text("server.say", "none"),
                RawSettings.canonicalValue(profile.signal().wireName()));
        assertEquals(Boolean.parseBoolean(reference.text("server.readiness", "")), profile.endpointListFollowsHealth());
        boolean hasShadowProfile = reference.values.keySet().stream().anyMatch(name -> name.startsWith("watch."));
        assertEquals(hasShadowProfile, settings.shadowDeployment().isPresent());
        Map<String, String> defaults = Map.of("halt", "none", "say", "none", "readiness", "false", "below", "none");
        for (DeploymentSetting setting : DeploymentSetting.values()) {
            String activeValue = reference.text("server." + setting.wireName(), defaults.get(setting.wireName()));
            assertEquals(
                    !reference.text("watch." + setting.wireName(), activeValue).equals(activeValue),
                    hasShadowProfile
                            && profile.differences(settings.shadowDeployment().orElseThrow())
                                    .contains(setting));
        }
    }

    private static void assertClass(PriorityClassSettings priorityClass, int index, Reference reference) {
        String prefix = "tariffs." + index + ".";
        assertEquals(reference.text(prefix + "name", null), priorityClass.name());
        String semantics = reference.text(prefix + "kind", "binding");
        assertEquals(semantics.equals("retriable"), priorityClass.isIdempotent());
        assertEquals(semantics.equals("fingerprinted"), priorityClass.isIdempotentByKey());
        assertEquals(reference.duration(prefix + "soft-limit", 1000), priorityClass.latencyObjective());
        assertEquals(reference.duration(prefix + "client-timeout", 2000), priorityClass.clientTimeout());
        assertEquals(reference.duration(prefix + "window", 10_000), priorityClass.idempotencyWindow());
        assertEquals(reference.number(prefix + "soft-limit-stretch", 0), priorityClass.objectiveStretch());
        assertEquals(reference.number(prefix + "value", 1), priorityClass.weight());
        assertEquals(reference.number(prefix + "late-value", 0), priorityClass.lateWeight());
        assertEquals(
                Double.parseDouble(reference.element("server.value-without-call", index, "0")),
                priorityClass.weightWithoutCall());
        assertEquals(
                Boolean.parseBoolean(reference.element("server.calls-by-tariff", index, "true")),
                priorityClass.makesCalls());
    }

    /** Returns valid settings in random order, some of them missing, some given twice by a synonym. */
    private static Map<String, String> randomSettings(SplittableRandom random) {
        Map<String, String> given = new LinkedHashMap<>();
        for (int i = 0; i < 25; i++) {
            String name = NUMBER_NAMES[random.nextInt(NUMBER_NAMES.length)];
            boolean isUnchecked = name.endsWith("linger") || name.endsWith("longest-unread");
            given.put(name, isUnchecked && random.nextInt(4) == 0 ? "soon" : randomNumber(random, name));
        }
        for (String prefix : new String[] {"family-info.", "watch.", "server."}) {
            putSometimes(random, given, prefix + "halt", "none", "silent", "drop", "pause");
            putSometimes(random, given, prefix + "say", "none", "silent", "level", "weight", "credit");
            putSometimes(random, given, prefix + "below", "none", "silent", "shared", "tier");
            putSometimes(random, given, prefix + "readiness", "true", "false");
        }
        putSometimes(random, given, "family-info.cold", "true", "TRUE", "false", "");
        putSometimes(random, given, "bounds.retry-after", "true", "false", "yes");
        putSometimes(
                random, given, "family-info.gauges", "", "runnable", "active,cpu_busy,,run-queue", "sockets,busy,");
        putSometimes(random, given, "family-info.calls-by-class", "", "true", "false,,true", "true,false,false,true");
        putSometimes(random, given, "family-info.class-skip-worth", "", "0.5", ",0.25", "1,,3,4", "0x1p-1");
        for (int i = 0; i <= random.nextInt(4); i++) {
            String prefix = (random.nextBoolean() ? "services." : "tariffs.") + i + ".";
            given.put(prefix + "name", "class" + i);
            putSometimes(random, given, prefix + "semantics", "repeatable", "by_key", "once", "retriable", "binding");
            for (String name : CLASS_NUMBER_NAMES) {
                if (random.nextBoolean()) {
                    given.put(prefix + name, randomNumber(random, name));
                }
            }
        }
        return given;
    }

    private static void putSometimes(
            SplittableRandom random, Map<String, String> given, String name, String... values) {
        if (random.nextInt(3) == 0) {
            given.put(name, values[random.nextInt(values.length)]);
        }
    }

    /** Returns a positive number of at most six decimals, so that milliseconds are whole nanoseconds. */
    private static String randomNumber(SplittableRandom random, String name) {
        double decimals = Math.pow(10, random.nextInt(7));
        long units = random.nextLong(1, name.endsWith("cold-share") ? (long) decimals + 1 : 100_000_000);
        String[] forms = {"" + units / decimals, " " + units / decimals + " ", units / decimals + "d"};
        return forms[random.nextInt(forms.length)];
    }
}
