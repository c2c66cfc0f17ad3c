package merlinlever.testing.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import merlinlever.testing.faults.audit.RequestAudit;
import org.junit.jupiter.api.Test;

/**
 * Fleets of five real backends under load lose their power at drawn moments, in every kind that the harness knows, twice
 * each: 20 seeds. The rules are audited from outside: nothing has its effect twice, no answer is lost, service comes back.
 */
class PowerLossTest {

    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final ServeFleet.ServeFleetSettings FIVE =
            new ServeFleet.ServeFleetSettings(5, true, 12, Duration.ofSeconds(4));

    private static List<String> losses(int first, int last) throws Exception {
        Path root = Files.createTempDirectory("merlinlever-power");
        List<String> log = Collections.synchronizedList(new ArrayList<>());
        List<String> failed = new ArrayList<>();
        try (ServeFleet fleet = new ServeFleet(root, FIVE, AgentFleet.sameJava(), 0x2600L + first)) {
            PowerLoss power = new PowerLoss(fleet, PATIENCE, log::add);
            power.begin();
            PowerLoss.PowerLossKind[] kinds = PowerLoss.PowerLossKind.values();
            for (int seed = first; seed <= last; seed++) {
                PowerLoss.PowerLossOutcome outcome = power.play(kinds[seed % kinds.length], seed);
                if (!outcome.breaches().isEmpty()) {
                    failed.add(outcome.told());
                }
            }
            failed.addAll(power.end());
            failed.addAll(power.incarnations());
            long[] counts = fleet.rules().counts();
            assertTrue(
                    counts[0] > 100 && counts[4] > 20,
                    "there was load: " + counts[0] + " satisfied, " + counts[4] + " with an effect");
            assertEquals(
                    (last - first + 1),
                    log.stream().filter(line -> line.contains(", seed ")).count());
        } finally {
            TestDirectories.remove(root);
        }
        return failed;
    }

    @Test
    void twentyPowerLossesOfEveryKindBreakNoRuleAndServiceComesBack() throws Exception {
        // Two fleets at a time: a machine of two cores has to keep up too.
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try {
            List<Future<List<String>>> all = new ArrayList<>();
            for (int part = 0; part < 4; part++) {
                int first = part * 5;
                Callable<List<String>> some = () -> losses(first, first + 4);
                all.add(threads.submit(some));
            }
            List<String> failed = new ArrayList<>();
            for (Future<List<String>> each : all) {
                failed.addAll(each.get());
            }
            assertEquals(List.of(), failed);
        } finally {
            threads.shutdownNow();
        }
    }

    /** The audit is not blind: backends that keep nothing for their return do run what ran before, and it says which. */
    @Test
    void withoutWhatIsKeptTheSameLossesHaveEffectsTwice() throws Exception {
        Path root = Files.createTempDirectory("merlinlever-power");
        try (ServeFleet fleet = new ServeFleet(
                root,
                new ServeFleet.ServeFleetSettings(3, false, 25, Duration.ofSeconds(8)),
                AgentFleet.sameJava(),
                0x77L)) {
            PowerLoss power = new PowerLoss(fleet, PATIENCE, line -> {});
            power.begin();
            List<String> found = new ArrayList<>();
            for (int i = 0;
                    i < 8 && found.stream().noneMatch(breach -> breach.startsWith("duplicate effect: request "));
                    i++) {
                found.addAll(power.play(PowerLoss.PowerLossKind.ALL, i).breaches());
            }
            assertTrue(found.stream().anyMatch(breach -> breach.startsWith("duplicate effect: request ")), "" + found);
        } finally {
            TestDirectories.remove(root);
        }
    }

    @Test
    void theAuditNamesEachBreach() {
        RequestAudit rules = new RequestAudit();
        rules.recordStart("t1");
        rules.recordEffect("op", "t1", "b-0");
        rules.recordResult("op", "done");
        rules.recordResponse("op", "t1", 200, "done", -5);
        rules.recordNoResponse("op", "t2", true, "killed");
        assertEquals(List.of(), rules.violations());
        rules.recordEffect("op", "t3", "b-1");
        rules.recordResponse("op", "t3", 200, "else", 4);
        rules.recordResponse("op", "t1", 503, "", -5);
        rules.recordNoResponse("op", "t4", false, "its connection ended");
        assertEquals(
                List.of(
                        "duplicate effect: request op, by attempts t1 at b-0 and t3 at b-1",
                        "late response: attempt t3 of op got status 200 4 ms after its deadline",
                        "unknown result: attempt t3 of op got 'else', which no execution produced",
                        "rejected after the start of its execution: attempt t1 of op",
                        "no response: attempt t4 of op, its connection ended"),
                rules.violations());
    }
}
