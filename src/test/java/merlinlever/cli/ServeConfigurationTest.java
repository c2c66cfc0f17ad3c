package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Validation of the configuration of {@code serve}: errors, and warnings about defaults and unknown settings. */
class ServeConfigurationTest {

    private static final String VALID =
            "{\"name\":\"n3\",\"listen\":\"127.0.0.1:0\",\"agent\":\"127.0.0.1:1\",\"lookup\":\"127.0.0.1:2\","
                    + "\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":3200,\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":384},\"settings\":{"
                    + "\"family-info\":{\"n-cores\":4,\"memory-kb\":90000,\"gauges\":[\"cpu_busy\",\"runnable\"],\"halt\":\"drop\",\"say\":\"silent\","
                    + "\"calls-by-class\":[true,false],\"class-skip-worth\":[0.0,0.0]},"
                    + "\"invariants\":{\"drain-grace\":2000.0,\"overload-factor\":8.0},"
                    + "\"services\":[{\"name\":\"look\",\"semantics\":\"repeatable\",\"aim\":200.0,\"hard-limit\":400.0,\"gain\":1.0},"
                    + "{\"name\":\"buy\",\"semantics\":\"by_key\",\"aim\":200.0,\"hard-limit\":400.0,\"window\":900.0}]}}";

    private static ServeConfiguration read(byte[] text) throws IOException, InvalidConfigurationException {
        Path file = Files.createTempFile("merlinlever", ".json");
        try {
            Files.write(file, text);
            return ServeConfiguration.read(Map.of("GW_CONFIG", file.toString()));
        } finally {
            Files.delete(file);
        }
    }

    private static ServeConfiguration read(String text) throws IOException, InvalidConfigurationException {
        return read(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the valid configuration with one of its parts replaced. */
    private static String validWith(String part, String replacement) {
        assertTrue(VALID.contains(part), part);
        return VALID.replace(part, replacement);
    }

    private static void assertRejected(String text, String... expectedParts) {
        String message = assertThrows(InvalidConfigurationException.class, () -> read(text), text)
                .getMessage();
        for (String part : expectedParts) {
            assertTrue(message.contains(part), message + " for " + text);
        }
    }

    @Test
    void validConfigurationHasNoWarnings() throws Exception {
        ServeConfiguration valid = read(VALID);
        assertEquals(List.of(), valid.warnings());
        assertEquals(0x8c1f30d27a5be964L, valid.seed());
        assertEquals(3200, valid.stopAfter().toMillis());
    }

    /**
     * Guards against invalid values that pass the start and fail in service, or that a default replaces without notice.
     */
    @Test
    void invalidValueIsRejectedWithItsNameAndWhatIsAllowed() {
        assertRejected(
                validWith("2000.0", "\"soon\""), "invariants.drain-grace is \"soon\"", "allowed: a number from 0");
        assertRejected(validWith("2000.0", "-1"), "invariants.drain-grace");
        assertRejected(validWith("2000.0", "1e300"), "invariants.drain-grace");
        for (String invalid : new String[] {"0", "-4", "\"NaN\"", "\"Infinity\"", "\"many\""}) {
            assertRejected(validWith("\"n-cores\":4", "\"n-cores\":" + invalid), "family-info.n-cores", "above 0");
            assertRejected(
                    validWith("\"memory-kb\":90000", "\"memory-kb\":" + invalid), "family-info.memory-kb", "above 0");
            assertRejected(validWith("\"window\":900.0", "\"window\":" + invalid), "services.1.window", "above 0");
            assertRejected(validWith("\"aim\":200.0", "\"aim\":" + invalid), "services.0.aim", "above 0");
        }
        assertRejected(validWith("8.0", "0"), "invariants.overload-factor");
        assertRejected(validWith("\"gain\":1.0", "\"gain\":-1"), "services.0.gain");
        assertRejected(validWith("by_key", "by_kee"), "services.1.semantics is \"by_kee\"", "by_key, once, repeatable");
        assertRejected(validWith("\"drop\"", "\"dorp\""), "family-info.halt", "drop");
        assertRejected(validWith("[true,false]", "[true,\"no\"]"), "family-info.calls-by-class", "true, false");
        assertRejected(validWith("[0.0,0.0]", "[0.0,\"x\"]"), "family-info.class-skip-worth");
        assertRejected(validWith("\"buy\"", "\"look\""), "services.1.name is \"look\"", "no other class");
        assertRejected(validWith("\"name\":\"look\",", ""), "services");
        assertRejected(
                validWith("\"name\":\"buy\",", "").replace("}]}}", "},{\"name\":\"pay\"}]}}"),
                "services.1.name is missing");
        assertRejected(
                VALID.substring(0, VALID.indexOf("\"services\"")) + "\"services\":[]}}",
                "services is missing",
                "one class or more");
        assertRejected(validWith("\"settings\":{", "\"settings\":[],\"other\":{"), "services is missing");
        for (String invalid : new String[] {"-1", "1e12", "\"NaN\"", "\"soon\"", "true"}) {
            assertRejected(validWith("3200", invalid), "stop_ms is", "allowed: a number");
        }
        for (String invalid : new String[] {"-1", "0", "31", "1e300", "\"NaN\""}) {
            assertRejected(validWith("384", invalid), "limits.sockets is", "allowed: a number");
        }
        assertRejected(validWith("\"agent\":\"127.0.0.1:1\"", "\"agent\":\"127.0.0.1:0\""), "agent has port 0");
        assertRejected(validWith("127.0.0.1:2", "127.0.0.1:70000"), "lookup is 127.0.0.1:70000", "ADDRESS:PORT");
        assertRejected(validWith("\"listen\":\"127.0.0.1:0\",", ""), "listen is missing");
        assertRejected("{\"a\":\"" + "x".repeat(1 << 20) + "\"}", "longer than");
        assertRejected(VALID.substring(0, 300), "is not a JSON object");
    }

    /** Guards against a file error without an {@link InvalidConfigurationException}. */
    @Test
    void invalidUtf8AndUnreadableFileAreRejected() {
        assertThrows(InvalidConfigurationException.class, () -> read(new byte[] {'{', (byte) 0xff, '}'}));
        String message = assertThrows(
                        InvalidConfigurationException.class, () -> ServeConfiguration.read(Map.of("GW_CONFIG", "src")))
                .getMessage();
        assertTrue(message.contains("cannot be read"), message);
        assertThrows(InvalidConfigurationException.class, () -> ServeConfiguration.read(Map.of()));
    }

    /** Guards against defaults that hide a missing setting. */
    @Test
    void missingSettingsAreListedWithDefaultsInOneWarning() throws Exception {
        String[][] removedPartsAndWarnings = {
            {"\"n-cores\":4,", "family-info.n-cores (1)"},
            {"\"memory-kb\":90000,", "family-info.memory-kb (no limit)"},
            {"\"drain-grace\":2000.0,", "invariants.drain-grace (0 ms)"},
            {",\"overload-factor\":8.0", "invariants.overload-factor (2)"},
            {",\"window\":900.0", "services.1.window (10000 ms)"},
            {"\"aim\":200.0,", "services.0+1.aim (1000 ms)"},
            {"\"semantics\":\"repeatable\",", "services.0.semantics (once)"},
            {",\"runnable\"", "runnable in family-info.gauges"},
            {"\"stop_ms\":3200,", "stop_ms (3000)"},
            {",\"sockets\":384", "limits.sockets (1024)"},
            {"\"seed\":\"8c1f30d27a5be964\",", "seed"}
        };
        String withoutAny = VALID;
        for (String[] removedPartAndWarning : removedPartsAndWarnings) {
            ServeConfiguration configuration = read(validWith(removedPartAndWarning[0], ""));
            assertEquals(1, configuration.warnings().size(), removedPartAndWarning[0]);
            assertTrue(
                    configuration.warnings().get(0).startsWith("missing-settings-defaulted settings=")
                            && configuration.warnings().get(0).contains(removedPartAndWarning[1]),
                    configuration.warnings().get(0));
            withoutAny = withoutAny.replace(removedPartAndWarning[0], "");
        }
        assertEquals(1, read(withoutAny).warnings().size());
        assertTrue(read(validWith("[true,false]", "[true]"))
                .warnings()
                .get(0)
                .contains("family-info.calls-by-class has 1 of 2"));
        assertTrue(read(validWith("8c1f30d27a5be964", "8c1f30d27a5be96x"))
                .warnings()
                .get(0)
                .contains("16 hex digits"));
    }

    /** A class without idempotency keys may have a window of zero, and any class a gain of zero. */
    @Test
    void zeroWindowAndZeroGainAreValid() throws Exception {
        assertEquals(
                List.of(),
                read(validWith("\"gain\":1.0", "\"gain\":0,\"window\":0.0")).warnings());
    }

    /** Backends without a configured seed must not draw the same random numbers. */
    @Test
    void missingSeedIsDerivedFromTheName() throws Exception {
        String withoutSeed = validWith("\"seed\":\"8c1f30d27a5be964\",", "");
        assertFalse(read(withoutSeed).seed()
                == read(withoutSeed.replace("\"n3\"", "\"n4\"")).seed());
    }

    /** A priority class may have any name, including a keyword of the settings. */
    @Test
    void classNamedLikeASettingsKeywordKeepsItsName() throws Exception {
        for (String name : new String[] {"sockets", "once", "silent", "repeatable"}) {
            assertEquals(
                    name,
                    read(validWith("\"look\"", "\"" + name + "\""))
                            .settings()
                            .priorityClasses()
                            .get(0)
                            .name());
        }
    }

    @Test
    void unknownKeyIsIgnoredWithAWarning() throws Exception {
        assertEquals(
                List.of("unknown-settings-ignored settings=family-info.cpus"),
                read(validWith("\"n-cores\":4", "\"n-cores\":4,\"cpus\":\"x\"")).warnings());
    }
}
