package merlinlever.common.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ConfigFileTest {

    @TempDir
    Path directory;

    private Path write(String text) throws Exception {
        return Files.writeString(directory.resolve("c.yaml"), text);
    }

    private static String readFaults(Path file) {
        return assertThrows(InvalidConfigFileException.class, () -> ConfigFile.read(file, ConfigSchema.ZONE_SERVE))
                .getMessage();
    }

    @Test
    void validFileIsReadWithTheTypesOfItsValues() throws Exception {
        Path file = write(
                """
                listen: 127.0.0.1:0
                state: state
                stop: 250ms
                zones:
                  - {origin: example.org., file: z, update: [a., b.]}
                """);
        ConfigFile config = ConfigFile.read(file, ConfigSchema.ZONE_SERVE);
        assertEquals(Duration.ofMillis(250), config.duration("stop", null));
        assertEquals(directory.resolve("state"), config.path("state", ""));
        assertEquals(List.of("a.", "b."), config.textList("zones.0.update"));
        assertEquals(1, config.size("zones"));
    }

    @Test
    void everyFaultIsReportedOnOneLineWithItsLineNumber() throws Exception {
        Path file = write("listen: 127.0.0.1:0\nstate: 3\nkys: 4\nzones:\n  - {origin: a.}\nstop: 3 seconds\n");
        String[] faults = readFaults(file).split("\n");
        assertEquals(4, faults.length);
        assertTrue(faults[0].startsWith(file + ":2: state: "), faults[0]);
        assertTrue(faults[1].startsWith(file + ":3: unknown key 'kys'; allowed are listen, state, keys, "), faults[1]);
        assertEquals(file + ":5: zones.0: the key 'file' is missing", faults[2]);
        assertEquals(
                file + ":6: stop: does not match ^[0-9]{1,9}(ms|s|m)$ (from SIGTERM to the end at the latest)",
                faults[3]);
    }

    @Test
    void invalidYamlIsReportedAsOneFault() throws Exception {
        for (String text : new String[] {"listen: [", "", "a: 1\na: 2\n", "\t- x", "{{a: b}: c}"}) {
            Path file = write(text);
            String fault = readFaults(file);
            assertEquals(1, fault.lines().count(), fault);
            assertTrue(fault.matches(Pattern.quote(file.toString()) + ":[0-9]+: .*"), fault);
        }
        assertThrows(InvalidConfigFileException.class, () -> ConfigFile.read(directory, ConfigSchema.ZONE_SERVE));
    }

    @Test
    void everySchemaHasAText() {
        assertEquals("zone-serve, zone-follow, host-run, faults", ConfigSchema.allNames());
        for (ConfigSchema schema : ConfigSchema.values()) {
            assertTrue(schema.text().contains("\"title\""), schema.wireName());
        }
    }
}
