package merlinlever.testing.faults.script;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import merlinlever.common.config.ConfigFile;
import merlinlever.common.config.ConfigSchema;
import merlinlever.common.config.InvalidConfigFileException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FaultScriptTest {

    private static final Map<FaultScript.FaultKind, Integer> ALL = new EnumMap<>(Map.of(
            FaultScript.FaultKind.KILL,
            2,
            FaultScript.FaultKind.PAUSE,
            2,
            FaultScript.FaultKind.POWER,
            1,
            FaultScript.FaultKind.ISOLATE,
            1,
            FaultScript.FaultKind.PARTITION,
            1,
            FaultScript.FaultKind.DELAY,
            1,
            FaultScript.FaultKind.DROP,
            1,
            FaultScript.FaultKind.SLOW,
            1,
            FaultScript.FaultKind.TERM,
            1));

    /** Drawn steps lie within the length, in order, and each fault is undone by a later step of its kind. */
    @Property(tries = 300, seed = "24")
    void drawnFaultsAreInOrderAndEachIsUndone(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 9) int processes,
            @ForAll @IntRange(min = 1, max = 40) int count) {
        Duration length = Duration.ofSeconds(20);
        List<FaultScript.FaultStep> steps =
                FaultScript.draw(processes, seed, count, length, Duration.ofSeconds(3), ALL);
        assertEquals(
                steps,
                FaultScript.draw(processes, seed, count, length, Duration.ofSeconds(3), ALL),
                "the same seed, the same steps");
        assertEquals(2 * count, steps.size());
        for (int i = 0; i < steps.size(); i++) {
            FaultScript.FaultStep step = steps.get(i);
            assertTrue(!step.at().isNegative() && step.at().compareTo(length) <= 0, step.toYaml());
            assertTrue(i == 0 || steps.get(i - 1).at().compareTo(step.at()) <= 0, "in order");
            step.targets().forEach(member -> assertTrue(member >= 0 && member < processes, step.toYaml()));
            if (step.kind() == FaultScript.FaultKind.PARTITION) {
                assertEquals(
                        processes, step.sides().stream().mapToInt(List::size).sum(), step.toYaml());
                assertTrue(step.sides().stream().noneMatch(List::isEmpty) || processes == 1, step.toYaml());
            }
        }
        long undoing = steps.stream()
                .filter(step -> List.of(
                                FaultScript.FaultKind.RESTART, FaultScript.FaultKind.RESUME, FaultScript.FaultKind.HEAL)
                        .contains(step.kind()))
                .count();
        assertEquals(count, undoing, "each drawn fault is undone");
    }

    @Test
    void aScriptIsReadWithItsDrawnStepsAndAFaultyOneIsToldByLine() throws Exception {
        Path file = Files.createTempFile("faults", ".yaml");
        try {
            Files.writeString(
                    file,
                    """
                    processes: 3
                    seed: "24"
                    length: 5s
                    steps:
                      - {at: 1s, do: isolate, who: [2]}
                      - {at: 2s, do: heal}
                    draw:
                      count: 2
                      kinds: {kill: 1}
                    """);
            FaultScript.FaultPlan plan = FaultScript.read(ConfigFile.read(file, ConfigSchema.FAULTS));
            assertEquals(6, plan.steps().size());
            assertEquals(
                    FaultScript.FaultKind.ISOLATE,
                    plan.steps().stream()
                            .filter(step -> step.at().equals(Duration.ofSeconds(1)))
                            .findFirst()
                            .orElseThrow()
                            .kind());
            Files.writeString(file, "processes: 3\nlength: 5s\nsteps:\n  - {at: 1s, do: explode}\n");
            String told = assertThrows(
                            InvalidConfigFileException.class, () -> ConfigFile.read(file, ConfigSchema.FAULTS))
                    .getMessage();
            assertTrue(told.startsWith(file + ":4: steps.0.do: "), told);
            Files.writeString(file, "processes: 3\nlength: 5s\nsteps:\n  - {at: 1s, do: kill, who: [3]}\n");
            told = assertThrows(
                            InvalidConfigFileException.class,
                            () -> FaultScript.read(ConfigFile.read(file, ConfigSchema.FAULTS)))
                    .getMessage();
            assertTrue(told.contains("process 3 of 3 (they are numbered from 0)"), told);
            Files.writeString(file, "processes: 3\nlength: 5s\nsteps:\n  - {at: 9s, do: heal}\n");
            told = assertThrows(
                            InvalidConfigFileException.class,
                            () -> FaultScript.read(ConfigFile.read(file, ConfigSchema.FAULTS)))
                    .getMessage();
            assertTrue(told.contains("after the length"), told);
        } finally {
            Files.delete(file);
        }
    }
}
