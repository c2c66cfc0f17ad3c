package merlinlever.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import merlinlever.faults.script.Script;
import net.jqwik.api.Example;

/**
 * Real host agents of the program, three processes on loopback, with the harness's switch between every two: faults are
 * played on them and what they say of each other is audited from outside, during the faults and after.
 */
class AgentFaultsTest {

    private static final Duration START = Duration.ofSeconds(40);
    private static final Duration SETTLE = Duration.ofSeconds(30);

    private static Script.Step step(long ms, Script.Kind kind, List<Integer> who, List<List<Integer>> sides) {
        return new Script.Step(
                Duration.ofMillis(ms), kind, who, List.of(), false, sides, Duration.ZERO, Duration.ZERO, 0, 0);
    }

    /** Until the audit is clean or the time is out; the last breaches, none where they agreed. */
    private static List<String> agreed(Harness harness, Duration within) throws InterruptedException {
        long until = System.nanoTime() + within.toNanos();
        List<String> breaches;
        do {
            Thread.sleep(300);
            breaches = harness.audit();
        } while (!breaches.isEmpty() && System.nanoTime() < until);
        return breaches;
    }

    @Example
    void aCutOffAgentIsHeldDownByTheOthersWhileItLastsAndAliveAgainAfter() throws Exception {
        Path root = Files.createTempDirectory("merlinlever-faults");
        List<String> log = new ArrayList<>();
        try (AgentFleet fleet = new AgentFleet(root, 3, AgentFleet.sameJava(), 0x24L)) {
            Harness harness = new Harness(fleet, 0x24L, log::add);
            harness.startAll(START);
            assertEquals(List.of(), agreed(harness, SETTLE), "they know each other after the start");
            // The switch carries everything: with a-2 cut off, the two others come to hold it down although it runs.
            fleet.links(links -> links.isolate(2, false));
            List<String> during = agreed(harness, Duration.ofMillis(1));
            long until = System.nanoTime() + SETTLE.toNanos();
            while (during.stream().noneMatch(breach -> breach.startsWith("a-0 holds a-2"))
                    && System.nanoTime() < until) {
                Thread.sleep(300);
                during = harness.audit();
            }
            assertTrue(during.stream().anyMatch(breach -> breach.startsWith("a-0 holds a-2")), "" + during);
            Harness.Verdict after = harness.play(new Script.Plan(3, 0x24L, Duration.ZERO, SETTLE, List.of()));
            assertTrue(after.passed(), after.told());
        } finally {
            TestFolders.remove(root);
        }
    }

    @Example
    void aKilledAgentIsHeldDeadAndAfterAPowerLossOfAllTheyStartOnWhatTheDiskMayHaveKept() throws Exception {
        Path root = Files.createTempDirectory("merlinlever-faults");
        List<String> log = new ArrayList<>();
        try (AgentFleet fleet = new AgentFleet(root, 3, AgentFleet.sameJava(), 0x26L)) {
            Harness harness = new Harness(fleet, 0x26L, log::add);
            harness.startAll(START);
            assertEquals(List.of(), agreed(harness, SETTLE));
            fleet.processes().kill("a-1");
            assertEquals(List.of(), agreed(harness, SETTLE), "the two others come to hold a-1 dead");
            assertEquals(Map.of("a-0", true, "a-1", false, "a-2", true), fleet.running());
            Harness.Verdict verdict = harness.play(new Script.Plan(
                    3,
                    0x26L,
                    Duration.ofMillis(1500),
                    SETTLE,
                    List.of(
                            step(0, Script.Kind.RESTART, List.of(1), List.of()),
                            step(1000, Script.Kind.POWER, List.of(), List.of()))));
            assertTrue(verdict.passed(), verdict.told() + "\n" + String.join("\n", log));
            assertTrue(
                    log.stream().anyMatch(line -> line.startsWith("laid ") && line.contains("as after a power loss")),
                    "the state folders were laid as a power loss may leave them: " + log);
            for (int i = 0; i < 3; i++) {
                assertTrue(fleet.processes().starts("a-" + i) >= 2, "a-" + i + " was started again");
                assertFalse(
                        Files.readString(fleet.processes().log("a-" + i)).contains("spoilt"),
                        "a-" + i + " trusted its ledger");
            }
        } finally {
            TestFolders.remove(root);
        }
    }

    @Example
    void drawnFaultsFromOneSeedPlayTheSameStepsAndEndInAgreement() throws Exception {
        Map<Script.Kind, Integer> kinds = Map.of(
                Script.Kind.PAUSE,
                2,
                Script.Kind.PARTITION,
                1,
                Script.Kind.DROP,
                1,
                Script.Kind.DELAY,
                1,
                Script.Kind.KILL,
                1);
        List<Script.Step> drawn = Script.draw(
                3, 0x2026L, 4, Duration.ofSeconds(6), Duration.ofSeconds(2), new java.util.TreeMap<>(kinds));
        assertEquals(
                drawn,
                Script.draw(
                        3, 0x2026L, 4, Duration.ofSeconds(6), Duration.ofSeconds(2), new java.util.TreeMap<>(kinds)));
        Path root = Files.createTempDirectory("merlinlever-faults");
        try (AgentFleet fleet = new AgentFleet(root, 3, AgentFleet.sameJava(), 0x2026L)) {
            Harness harness = new Harness(fleet, 0x2026L, line -> {});
            harness.startAll(START);
            assertEquals(List.of(), agreed(harness, SETTLE));
            Harness.Verdict verdict = harness.play(new Script.Plan(3, 0x2026L, Duration.ofSeconds(6), SETTLE, drawn));
            assertTrue(verdict.passed(), verdict.told());
            assertEquals(drawn.stream().map(Script.Step::told).toList(), verdict.played());
        } finally {
            TestFolders.remove(root);
        }
    }
}
