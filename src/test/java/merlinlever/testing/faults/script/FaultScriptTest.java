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

    private static final Map<FaultScript.FaultKind, Integer> WEIGHTS = new EnumMap<>(Map.of(
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

    /** Checks that generated steps are in order, stay within the length and end every fault. */
    @Property(tries = 300, seed = "24")
    void generatedFaultsAreInOrderAndEnd(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 9) int processes,
            @ForAll @IntRange(min = 1, max = 40) int count) {
        Duration length = Duration.ofSeconds(20);
        List<FaultScript.FaultStep> steps =
                FaultScript.generate(processes, seed, count, length, Duration.ofSeconds(3), WEIGHTS);
        assertEquals(
                steps,
                FaultScript.generate(processes, seed, count, length, Duration.ofSeconds(3), WEIGHTS),
                "the same seed must give the same steps");
        assertEquals(2 * count, steps.size());
        for (int i = 0; i < steps.size(); i++) {
            FaultScript.FaultStep step = steps.get(i);
            assertTrue(!step.at().isNegative() && step.at().compareTo(length) <= 0, step.toYaml());
            assertTrue(i == 0 || steps.get(i - 1).at().compareTo(step.at()) <= 0, "steps are out of order");
            step.targets().forEach(member -> assertTrue(member >= 0 && member < processes, step.toYaml()));
            if (step.kind() == FaultScript.FaultKind.PARTITION) {
                assertEquals(
                        processes, step.sides().stream().mapToInt(List::size).sum(), step.toYaml());
                assertTrue(step.sides().stream().noneMatch(List::isEmpty) || processes == 1, step.toYaml());
            }
        }
        long endingSteps = steps.stream()
                .filter(step -> List.of(
                                FaultScript.FaultKind.RESTART, FaultScript.FaultKind.RESUME, FaultScript.FaultKind.HEAL)
                        .contains(step.kind()))
                .count();
        assertEquals(count, endingSteps, "each generated fault must end");
    }

    @Test
    void readsGeneratedStepsAndReportsTheLineOfAnError() throws Exception {
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
            String message = assertThrows(
                            InvalidConfigFileException.class, () -> ConfigFile.read(file, ConfigSchema.FAULTS))
                    .getMessage();
            assertTrue(message.startsWith(file + ":4: steps.0.do: "), message);
            Files.writeString(file, "processes: 3\nlength: 5s\nsteps:\n  - {at: 1s, do: kill, who: [3]}\n");
            message = assertThrows(
                            InvalidConfigFileException.class,
                            () -> FaultScript.read(ConfigFile.read(file, ConfigSchema.FAULTS)))
                    .getMessage();
            assertTrue(message.contains("process 3 of 3 (they are numbered from 0)"), message);
            Files.writeString(file, "processes: 3\nlength: 5s\nsteps:\n  - {at: 9s, do: heal}\n");
            message = assertThrows(
                            InvalidConfigFileException.class,
                            () -> FaultScript.read(ConfigFile.read(file, ConfigSchema.FAULTS)))
                    .getMessage();
            assertTrue(message.contains("after the length"), message);
        } finally {
            Files.delete(file);
        }
    }
}
