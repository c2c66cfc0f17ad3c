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

/** What a backend can be served with, and what is said where it can't or where something is assumed. */
class ServeConfigurationTest {

    private static final String GOOD =
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

    /** One part of the good one, which is there, replaced by another. */
    private static String with(String part, String other) {
        assertTrue(GOOD.contains(part), part);
        return GOOD.replace(part, other);
    }

    private static void assertRejected(String text, String... says) {
        String message = assertThrows(InvalidConfigurationException.class, () -> read(text), text)
                .getMessage();
        for (String each : says) {
            assertTrue(message.contains(each), message + " for " + text);
        }
    }

    @Test
    void validConfigurationHasNoWarnings() throws Exception {
        ServeConfiguration good = read(GOOD);
        assertEquals(List.of(), good.warnings());
        assertEquals(0x8c1f30d27a5be964L, good.seed());
        assertEquals(3200, good.stopAfter().toMillis());
    }

    /**
     * Against settings that pass at the start and fail in service: a grace that is no number stopped the notice to leave, a
     * stop too far away as well; a memory or core count out of range was replaced in silence, a class after one without a
     * name was left out, and of two classes with one name the first was served by the terms of the second.
     */
    @Test
    void invalidValueIsRejectedWithItsNameAndWhatIsAllowed() {
        assertRejected(with("2000.0", "\"soon\""), "invariants.drain-grace is \"soon\"", "allowed: a number from 0");
        assertRejected(with("2000.0", "-1"), "invariants.drain-grace");
        assertRejected(with("2000.0", "1e300"), "invariants.drain-grace");
        for (String bad : new String[] {"0", "-4", "\"NaN\"", "\"Infinity\"", "\"many\""}) {
            assertRejected(with("\"n-cores\":4", "\"n-cores\":" + bad), "family-info.n-cores", "above 0");
            assertRejected(with("\"memory-kb\":90000", "\"memory-kb\":" + bad), "family-info.memory-kb", "above 0");
            assertRejected(with("\"window\":900.0", "\"window\":" + bad), "services.1.window", "above 0");
            assertRejected(with("\"aim\":200.0", "\"aim\":" + bad), "services.0.aim", "above 0");
        }
        assertRejected(with("8.0", "0"), "invariants.overload-factor");
        assertRejected(with("\"gain\":1.0", "\"gain\":-1"), "services.0.gain");
        assertRejected(with("by_key", "by_kee"), "services.1.semantics is \"by_kee\"", "by_key, once, repeatable");
        assertRejected(with("\"drop\"", "\"dorp\""), "family-info.halt", "drop");
        assertRejected(with("[true,false]", "[true,\"no\"]"), "family-info.calls-by-class", "true, false");
        assertRejected(with("[0.0,0.0]", "[0.0,\"x\"]"), "family-info.class-skip-worth");
        assertRejected(with("\"buy\"", "\"look\""), "services.1.name is \"look\"", "no other class");
        assertRejected(with("\"name\":\"look\",", ""), "services");
        assertRejected(
                with("\"name\":\"buy\",", "").replace("}]}}", "},{\"name\":\"pay\"}]}}"), "services.1.name is missing");
        assertRejected(
                GOOD.substring(0, GOOD.indexOf("\"services\"")) + "\"services\":[]}}",
                "services is missing",
                "one class or more");
        assertRejected(with("\"settings\":{", "\"settings\":[],\"other\":{"), "services is missing");
        for (String bad : new String[] {"-1", "1e12", "\"NaN\"", "\"soon\"", "true"}) {
            assertRejected(with("3200", bad), "stop_ms is", "allowed: a number");
        }
        for (String bad : new String[] {"-1", "0", "31", "1e300", "\"NaN\""}) {
            assertRejected(with("384", bad), "limits.sockets is", "allowed: a number");
        }
        assertRejected(with("\"agent\":\"127.0.0.1:1\"", "\"agent\":\"127.0.0.1:0\""), "agent has port 0");
        assertRejected(with("127.0.0.1:2", "127.0.0.1:70000"), "lookup is 127.0.0.1:70000", "ADDRESS:PORT");
        assertRejected(with("\"listen\":\"127.0.0.1:0\",", ""), "listen is missing");
        assertRejected("{\"a\":\"" + "x".repeat(1 << 20) + "\"}", "longer than");
        assertRejected(GOOD.substring(0, 300), "is not a JSON object");
    }

    /** Against a failure that is not told in one line: bytes that are no text, a folder in the file's place. */
    @Test
    void fileThatIsNoTextOrNoFileIsRejected() {
        assertThrows(InvalidConfigurationException.class, () -> read(new byte[] {'{', (byte) 0xff, '}'}));
        String message = assertThrows(
                        InvalidConfigurationException.class, () -> ServeConfiguration.read(Map.of("GW_CONFIG", "src")))
                .getMessage();
        assertTrue(message.contains("cannot be read"), message);
        assertThrows(InvalidConfigurationException.class, () -> ServeConfiguration.read(Map.of()));
    }

    /** Against defaults that hide a missing setting: each that matters is named in one line, with what is assumed. */
    @Test
    void missingSettingsThatMatterAreWarnedOfInOneLine() throws Exception {
        String[][] each = {
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
        String none = GOOD;
        for (String[] one : each) {
            ServeConfiguration read = read(with(one[0], ""));
            assertEquals(1, read.warnings().size(), one[0]);
            assertTrue(
                    read.warnings().get(0).startsWith("missing-settings-defaulted settings=")
                            && read.warnings().get(0).contains(one[1]),
                    read.warnings().get(0));
            none = none.replace(one[0], "");
        }
        assertEquals(1, read(none).warnings().size());
        assertTrue(read(with("[true,false]", "[true]"))
                .warnings()
                .get(0)
                .contains("family-info.calls-by-class has 1 of 2"));
        assertTrue(read(with("8c1f30d27a5be964", "8c1f30d27a5be96x"))
                .warnings()
                .get(0)
                .contains("16 hex digits"));
    }

    /** A window that is stated as none, and a class of no value, do no harm. */
    @Test
    void unkeyedClassMayHaveNoWindowAndAnyClassNoWeight() throws Exception {
        assertEquals(
                List.of(),
                read(with("\"gain\":1.0", "\"gain\":0,\"window\":0.0")).warnings());
    }

    /** The fleet's chances fall apart also where no seed is told. */
    @Test
    void seedIsMadeOfTheNameWhereNoneIsGiven() throws Exception {
        String without = with("\"seed\":\"8c1f30d27a5be964\",", "");
        assertFalse(read(without).seed()
                == read(without.replace("\"n3\"", "\"n4\"")).seed());
    }

    /** A class may have any name, also one that is a word of the settings; it was looked for under another then. */
    @Test
    void classNamedLikeASettingsKeywordKeepsItsName() throws Exception {
        for (String name : new String[] {"sockets", "once", "silent", "repeatable"}) {
            assertEquals(
                    name,
                    read(with("\"look\"", "\"" + name + "\""))
                            .settings()
                            .priorityClasses()
                            .get(0)
                            .name());
        }
    }

    /** New keys are skipped and named, as before. */
    @Test
    void unknownKeyIsIgnoredWithAWarning() throws Exception {
        assertEquals(
                List.of("unknown-settings-ignored settings=family-info.cpus"),
                read(with("\"n-cores\":4", "\"n-cores\":4,\"cpus\":\"x\"")).warnings());
    }
}
