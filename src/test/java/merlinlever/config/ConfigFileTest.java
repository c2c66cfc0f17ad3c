package merlinlever.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigFileTest {

    @TempDir
    Path folder;

    private Path file(String text) throws Exception {
        return Files.writeString(folder.resolve("c.yaml"), text);
    }

    @Test
    void aGoodFileIsReadWithItsTypes() throws Exception {
        ConfigFile sheet = ConfigFile.read(
                file(
                        """
                listen: 127.0.0.1:0
                state: state
                stop: 250ms
                zones:
                  - {origin: example.org., file: z, update: [a., b.]}
                """),
                "zone-serve");
        assertEquals(Duration.ofMillis(250), sheet.span("stop", null));
        assertEquals(folder.resolve("state"), sheet.path("state", ""));
        assertEquals(java.util.List.of("a.", "b."), sheet.texts("zones.0.update"));
        assertEquals(1, sheet.size("zones"));
    }

    @Test
    void everyFaultIsOneLineWithItsPlace() throws Exception {
        Path file = file("listen: 127.0.0.1:0\nstate: 3\nkys: 4\nzones:\n  - {origin: a.}\nstop: 3 seconds\n");
        String[] said = assertThrows(
                        ConfigFile.InvalidConfigFileException.class, () -> ConfigFile.read(file, "zone-serve"))
                .getMessage()
                .split("\n");
        assertEquals(4, said.length);
        assertTrue(said[0].startsWith(file + ":2: state: "), said[0]);
        assertTrue(
                said[1].startsWith(file + ":3: no key 'kys' is known here; allowed are listen, state, keys, "),
                said[1]);
        assertEquals(file + ":5: zones.0: the key 'file' is missing", said[2]);
        assertEquals(
                file + ":6: stop: not of the form ^[0-9]{1,9}(ms|s|m)$ (from SIGTERM to the end at the latest)",
                said[3]);
    }

    @Test
    void whatIsNoYamlIsOneLine() throws Exception {
        for (String bad : new String[] {"listen: [", "", "a: 1\na: 2\n", "\t- x", "{{a: b}: c}"}) {
            Path file = file(bad);
            String said = assertThrows(
                            ConfigFile.InvalidConfigFileException.class, () -> ConfigFile.read(file, "zone-serve"))
                    .getMessage();
            assertEquals(1, said.lines().count(), said);
            assertTrue(said.matches(java.util.regex.Pattern.quote(file.toString()) + ":[0-9]+: .*"), said);
        }
        assertThrows(ConfigFile.InvalidConfigFileException.class, () -> ConfigFile.read(folder, "zone-serve"));
    }

    @Test
    void everySchemaIsThere() {
        ConfigFile.SCHEMAS.forEach(name -> assertTrue(ConfigFile.schema(name).contains("\"title\"")));
    }
}
