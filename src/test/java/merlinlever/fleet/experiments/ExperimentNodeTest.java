package merlinlever.fleet.experiments;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import merlinlever.testing.faults.ExperimentModel;
import org.junit.jupiter.api.Test;

class ExperimentNodeTest {

    private static Experiment experiment(int version, int maxCrashes, Duration maxDuration) {
        return new Experiment(
                "t",
                version,
                List.of(Experiment.Arm.unchanged("a", 1), Experiment.Arm.unchanged("b", 1)),
                0,
                0.05,
                0.1,
                0.02,
                maxDuration,
                Duration.ofSeconds(4),
                1,
                maxCrashes);
    }

    private static ExperimentModel fleet(long seed, int maxCrashes) {
        return new ExperimentModel(seed, 5, experiment(1, maxCrashes, Duration.ofHours(1)));
    }

    private static void runUntil(ExperimentModel fleet, long maxMs, BooleanSupplier condition) {
        long deadlineMs = fleet.nowMs + maxMs;
        while (fleet.nowMs < deadlineMs && !condition.getAsBoolean()) {
            fleet.step();
        }
        assertTrue(condition.getAsBoolean(), "condition not met within " + maxMs + " ms");
    }

    @Test
    void resultRemainsIfTheLeaderCrashesBeforeAnnouncingTheResult() {
        ExperimentModel fleet = fleet(1, 1000);
        fleet.servedShare = new double[] {0.5, 0.7};
        fleet.killLeaderAtResult = true;
        runUntil(fleet, 120_000, () -> fleet.resultWrittenAtMs >= 0);
        // From now on the counts favor the other arm.
        fleet.servedShare = new double[] {0.9, 0.2};
        runUntil(fleet, 120_000, fleet::allKnowResult);
        assertEquals(1, fleet.results().size());
        assertEquals(1, fleet.results().iterator().next().arm(), "the result that the crashed leader had written");
    }

    @Test
    void minorityDoesNotEndTheExperimentAndUsesTheSafeArmAfterTheLease() {
        ExperimentModel fleet = fleet(2, 1000);
        fleet.requestsPerStep = 2;
        fleet.run(10_000);
        for (int i = 3; i < 5; i++) {
            fleet.partition[i] = 1;
        }
        fleet.run(1000);
        assertTrue(
                fleet.nodes[3].isSplitting() && fleet.nodes[4].isSplitting(),
                "backends in the minority split callers until the lease expires");
        fleet.servedShare = new double[] {0.9, 0.2};
        fleet.requestsPerStep = 40;
        fleet.run(9000);
        assertFalse(fleet.nodes[3].isSplitting() || fleet.nodes[4].isSplitting());
        for (int i = 0; i < 50; i++) {
            assertEquals(0, fleet.nodes[3].arm(fleet.clock(3), "c" + i), "the safe arm");
        }
        runUntil(fleet, 120_000, () -> fleet.nodes[0].result().isPresent());
        assertTrue(fleet.nodes[3].result().isEmpty());
        Arrays.fill(fleet.partition, 0);
        runUntil(fleet, 30_000, () -> {
            assertFalse(fleet.nodes[3].isSplitting(), "the backend adopts the result before it splits callers again");
            return fleet.allKnowResult();
        });
        assertEquals(1, fleet.results().size());
    }

    @Test
    void armThatCrashesBackendsEndsTheExperimentWithTheSafeArm() {
        ExperimentModel fleet = fleet(3, 3);
        fleet.deadlyArm = 1;
        runUntil(fleet, 180_000, fleet::allKnowResult);
        ExperimentResult result = fleet.results().iterator().next();
        assertEquals(1, fleet.results().size());
        assertEquals(StoppingDecision.Kind.HARM, result.kind());
        assertEquals(0, result.arm());
        assertTrue(result.reason().contains("died"), result.reason());
    }

    @Test
    void experimentChangedUnderTheSameNameStartsWithoutCounts() {
        ExperimentModel fleet = fleet(4, 1000);
        fleet.requestsPerStep = 2;
        fleet.run(30_000);
        long requestsBefore = fleet.nodes[0].fleetCounts().totals(0).requests();
        assertTrue(requestsBefore > 500, "" + requestsBefore);
        Experiment next = experiment(2, 1000, Duration.ofHours(1));
        fleet.requestsPerStep = 0;
        for (int i = 0; i < 5; i++) {
            fleet.reconfigure(i, next);
        }
        fleet.run(10_000);
        assertEquals(0, fleet.nodes[0].fleetCounts().totals(0).requests(), "no counts of the earlier experiment");
    }

    @Test
    void restartLosesAtMostTheLastPublicationAndCountsNoRequestTwice() {
        ExperimentModel fleet = fleet(5, 1000);
        fleet.requestsPerStep = 4;
        fleet.run(40_000);
        fleet.requestsPerStep = 0;
        fleet.run(5000);
        long requests = fleet.nodes[0].fleetCounts().totals(0).requests()
                + fleet.nodes[0].fleetCounts().totals(1).requests();
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 5; i++) {
                fleet.kill(i, 500);
                fleet.run(4000);
            }
        }
        fleet.run(10_000);
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    requests,
                    fleet.nodes[i].fleetCounts().totals(0).requests()
                            + fleet.nodes[i].fleetCounts().totals(1).requests(),
                    "counts at backend " + i);
        }
        assertEquals(15, fleet.nodes[0].fleetCounts().crashes());
    }

    @Test
    void clockJumpsDoNotShortenTheTimeLimit() {
        ExperimentModel fleet = new ExperimentModel(6, 5, experiment(1, 1000, Duration.ofSeconds(60)));
        fleet.requestsPerStep = 2;
        fleet.run(20_000);
        for (int i = 0; i < 5; i++) {
            fleet.jumpClock(i, 3_600_000);
        }
        fleet.run(20_000);
        assertTrue(fleet.results().isEmpty(), "the clock jump of one hour does not count as split time");
        runUntil(fleet, 120_000, fleet::allKnowResult);
        assertEquals(
                StoppingDecision.Kind.TIME_LIMIT,
                fleet.results().iterator().next().kind());
        assertEquals(0, fleet.results().iterator().next().arm());
    }

    @Test
    void allBackendsAdoptTheSameResultUnderRandomFaults() {
        for (int seed = 0; seed < Integer.getInteger("merlinlever.seeds", 4); seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ExperimentModel fleet = fleet(100 + seed, 10_000);
            fleet.servedShare = random.nextBoolean() ? new double[] {0.5, 0.65} : new double[] {0.65, 0.5};
            for (int step = 0; step < 2500; step++) {
                if (random.nextInt(80) == 0) {
                    fleet.injectRandomFault();
                }
                fleet.step();
                assertTrue(fleet.results().size() <= 1, "seed " + seed + ": " + fleet.results());
            }
            fleet.heal();
            runUntil(fleet, 240_000, fleet::allKnowResult);
            assertEquals(1, fleet.results().size(), "seed " + seed);
        }
    }
}
