package merlinlever.testing.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import merlinlever.testing.faults.script.FaultScript;
import org.junit.jupiter.api.Test;

/**
 * Real host agents of the program, three processes on loopback, with the harness's switch between every two: faults are
 * played on them and what they say of each other is audited from outside, during the faults and after.
 */
class AgentFaultsTest {

    private static final Duration START = Duration.ofSeconds(40);
    private static final Duration SETTLE = Duration.ofSeconds(30);

    private static FaultScript.FaultStep step(
            long ms, FaultScript.FaultKind kind, List<Integer> who, List<List<Integer>> sides) {
        return new FaultScript.FaultStep(
                Duration.ofMillis(ms), kind, who, List.of(), false, sides, Duration.ZERO, Duration.ZERO, 0, 0);
    }

    /** Until the audit is clean or the time is out; the last breaches, none where they agreed. */
    private static List<String> agreed(FaultHarness harness, Duration within) throws InterruptedException {
        long until = System.nanoTime() + within.toNanos();
        List<String> breaches;
        do {
            Thread.sleep(300);
            breaches = harness.audit();
        } while (!breaches.isEmpty() && System.nanoTime() < until);
        return breaches;
    }

    @Test
    void aCutOffAgentIsHeldDownByTheOthersWhileItLastsAndAliveAgainAfter() throws Exception {
        Path root = Files.createTempDirectory("merlinlever-faults");
        List<String> log = new ArrayList<>();
        try (AgentFleet fleet = new AgentFleet(root, 3, AgentFleet.sameJava(), 0x24L)) {
            FaultHarness harness = new FaultHarness(fleet, 0x24L, log::add);
            harness.startAll(START);
            assertEquals(List.of(), agreed(harness, SETTLE), "they know each other after the start");
            // The switch carries everything: with a-2 cut off, the two others come to hold it down although it runs.
            fleet.links(links -> links.isolate(2, false));
            List<String> during = agreed(harness, Duration.ofMillis(1));
            long until = System.nanoTime() + SETTLE.toNanos();
            while (during.stream().noneMatch(breach -> breach.startsWith("a-0 reports a-2"))
                    && System.nanoTime() < until) {
                Thread.sleep(300);
                during = harness.audit();
            }
            assertTrue(during.stream().anyMatch(breach -> breach.startsWith("a-0 reports a-2")), "" + during);
            FaultHarness.HarnessResult after =
                    harness.play(new FaultScript.FaultPlan(3, 0x24L, Duration.ZERO, SETTLE, List.of()));
            assertTrue(after.passed(), after.told());
        } finally {
            TestDirectories.remove(root);
        }
    }

    @Test
    void aKilledAgentIsHeldDeadAndAfterAPowerLossOfAllTheyStartOnWhatTheDiskMayHaveKept() throws Exception {
        Path root = Files.createTempDirectory("merlinlever-faults");
        List<String> log = new ArrayList<>();
        try (AgentFleet fleet = new AgentFleet(root, 3, AgentFleet.sameJava(), 0x26L)) {
            FaultHarness harness = new FaultHarness(fleet, 0x26L, log::add);
            harness.startAll(START);
            assertEquals(List.of(), agreed(harness, SETTLE));
            fleet.processes().kill("a-1");
            assertEquals(List.of(), agreed(harness, SETTLE), "the two others come to hold a-1 dead");
            assertEquals(Map.of("a-0", true, "a-1", false, "a-2", true), fleet.running());
            FaultHarness.HarnessResult verdict = harness.play(new FaultScript.FaultPlan(
                    3,
                    0x26L,
                    Duration.ofMillis(1500),
                    SETTLE,
                    List.of(
                            step(0, FaultScript.FaultKind.RESTART, List.of(1), List.of()),
                            step(1000, FaultScript.FaultKind.POWER, List.of(), List.of()))));
            assertTrue(verdict.passed(), verdict.told() + "\n" + String.join("\n", log));
            assertTrue(
                    log.stream().anyMatch(line -> line.startsWith("laid ") && line.contains("as after a power loss")),
                    "the state folders were laid as a power loss may leave them: " + log);
            for (int i = 0; i < 3; i++) {
                assertTrue(fleet.processes().starts("a-" + i) >= 2, "a-" + i + " was started again");
                String processLog = Files.readString(fleet.processes().log("a-" + i));
                assertFalse(
                        processLog.contains("spoilt") || processLog.contains("corrupt: "),
                        "a-" + i + " trusted its ledger");
            }
        } finally {
            TestDirectories.remove(root);
        }
    }

    @Test
    void drawnFaultsFromOneSeedPlayTheSameStepsAndEndInAgreement() throws Exception {
        Map<FaultScript.FaultKind, Integer> kinds = Map.of(
                FaultScript.FaultKind.PAUSE,
                2,
                FaultScript.FaultKind.PARTITION,
                1,
                FaultScript.FaultKind.DROP,
                1,
                FaultScript.FaultKind.DELAY,
                1,
                FaultScript.FaultKind.KILL,
                1);
        List<FaultScript.FaultStep> drawn = FaultScript.generate(
                3, 0x2026L, 4, Duration.ofSeconds(6), Duration.ofSeconds(2), new java.util.TreeMap<>(kinds));
        assertEquals(
                drawn,
                FaultScript.generate(
                        3, 0x2026L, 4, Duration.ofSeconds(6), Duration.ofSeconds(2), new java.util.TreeMap<>(kinds)));
        Path root = Files.createTempDirectory("merlinlever-faults");
        try (AgentFleet fleet = new AgentFleet(root, 3, AgentFleet.sameJava(), 0x2026L)) {
            FaultHarness harness = new FaultHarness(fleet, 0x2026L, line -> {});
            harness.startAll(START);
            assertEquals(List.of(), agreed(harness, SETTLE));
            FaultHarness.HarnessResult verdict =
                    harness.play(new FaultScript.FaultPlan(3, 0x2026L, Duration.ofSeconds(6), SETTLE, drawn));
            assertTrue(verdict.passed(), verdict.told());
            assertEquals(drawn.stream().map(FaultScript.FaultStep::toYaml).toList(), verdict.played());
        } finally {
            TestDirectories.remove(root);
        }
    }
}
