package merlinlever.testing.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import merlinlever.testing.faults.audit.ViewConsistencyAudit;
import org.junit.jupiter.api.Test;

/** Fleets of five real backends under faults between them, 10 seeds: who is there is one thing for all of them, always. */
class ViewFaultsTest {

    private static final int SEEDS = Integer.getInteger("merlinlever.seeds", 10);
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private static List<String> some(int part, int parts) throws Exception {
        Path root = Files.createTempDirectory("merlinlever-view");
        List<String> failed = new ArrayList<>();
        try (ServeFleet fleet = new ServeFleet(
                root,
                new ServeFleet.ServeFleetSettings(5, true, 1, Duration.ofSeconds(4), null, true),
                AgentFleet.sameJava(),
                0x2800L + part)) {
            ViewFaults faults = new ViewFaults(fleet, PATIENCE);
            faults.begin();
            ViewFaults.ViewFaultKind[] kinds = ViewFaults.ViewFaultKind.values();
            for (int seed = part; seed < SEEDS; seed += parts) {
                ViewFaults.ViewFaultOutcome outcome = faults.play(kinds[seed % kinds.length], seed);
                System.out.println(outcome.told().lines().findFirst().orElseThrow());
                if (!outcome.breaches().isEmpty()) {
                    failed.add(outcome.told());
                }
            }
        } finally {
            TestDirectories.remove(root);
        }
        return failed;
    }

    @Test
    void underFaultsOneNumberIsOneMembershipAndAllAreWholeAfterThem() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try {
            List<Future<List<String>>> all = new ArrayList<>();
            for (int part = 0; part < 2; part++) {
                int its = part;
                Callable<List<String>> some = () -> some(its, 2);
                all.add(threads.submit(some));
            }
            List<String> failed = new ArrayList<>();
            for (Future<List<String>> each : all) {
                failed.addAll(each.get());
            }
            assertTrue(failed.isEmpty(), String.join("\n", failed));
        } finally {
            threads.shutdownNow();
        }
    }

    @Test
    void theAuditNamesEachBreach() {
        ViewConsistencyAudit audit = new ViewConsistencyAudit();
        audit.recordReport(new ViewConsistencyAudit.ReportedView("b-0", 1, "whole", 5, "d", 2));
        audit.recordReport(new ViewConsistencyAudit.ReportedView("b-1", 1, "whole", 5, "d", 2));
        audit.recordReport(new ViewConsistencyAudit.ReportedView("b-0", 2, "returning", 0, "-", 0));
        assertEquals(List.of(), audit.violations());
        audit.recordReport(new ViewConsistencyAudit.ReportedView("b-1", 1, "most", 4, "e", 1));
        audit.recordReport(new ViewConsistencyAudit.ReportedView("b-0", 2, "most", 5, "f", 1));
        assertEquals(List.of("b-1 went back from view 5 to 4", "view 5 is d at b-0 and f at b-0"), audit.violations());
    }
}
