package merlinlever.experiments;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.faults.ExperimentModel;
import net.jqwik.api.Example;

class ExperimentNodeTest {

    private static Experiment trial(int version, int deaths, Duration longest) {
        return new Experiment(
                "t",
                version,
                List.of(new Experiment.Arm("a", 1, null, null, null), new Experiment.Arm("b", 1, null, null, null)),
                0,
                0.05,
                0.1,
                0.02,
                longest,
                Duration.ofSeconds(4),
                1,
                deaths);
    }

    private static ExperimentModel fleet(long seed, int deaths) {
        return new ExperimentModel(seed, 5, trial(1, deaths, Duration.ofHours(1)));
    }

    private static void until(ExperimentModel fleet, long ms, java.util.function.BooleanSupplier what) {
        for (long end = fleet.now + ms; fleet.now < end && !what.getAsBoolean(); ) {
            fleet.step();
        }
        assertTrue(what.getAsBoolean(), "not within " + ms + " ms");
    }

    @Example
    void theLeaderDiesBetweenCrossingAndTellingAndTheEndStands() {
        ExperimentModel fleet = fleet(1, 1000);
        fleet.good = new double[] {0.5, 0.7};
        fleet.killAtCrossing = true;
        until(fleet, 120_000, () -> fleet.crossedAt >= 0);
        // From here on the counts would say another thing.
        fleet.good = new double[] {0.9, 0.2};
        until(fleet, 120_000, fleet::allEnded);
        assertEquals(1, fleet.ended().size());
        assertEquals(1, fleet.ended().iterator().next().arm(), "what the one that died had written");
    }

    @Example
    void aHalfThatSeesAnotherWinnerEndsNothingAndRunsTheSafeArmAfterItsLease() {
        ExperimentModel fleet = fleet(2, 1000);
        fleet.traffic = 2;
        fleet.run(10_000);
        for (int i = 3; i < 5; i++) {
            fleet.side[i] = 1;
        }
        fleet.run(1000);
        assertTrue(fleet.parts[3].splitting() && fleet.parts[4].splitting(), "in few it goes on for the lease");
        fleet.good = new double[] {0.9, 0.2};
        fleet.traffic = 40;
        fleet.run(9000);
        assertFalse(fleet.parts[3].splitting() || fleet.parts[4].splitting());
        for (int i = 0; i < 50; i++) {
            assertEquals(0, fleet.parts[3].arm(fleet.clock(3), "c" + i), "the safe arm");
        }
        until(fleet, 120_000, () -> fleet.parts[0].end().isPresent());
        assertTrue(fleet.parts[3].end().isEmpty());
        java.util.Arrays.fill(fleet.side, 0);
        until(fleet, 30_000, () -> {
            assertFalse(fleet.parts[3].splitting(), "it adopts the end before it splits again");
            return fleet.allEnded();
        });
        assertEquals(1, fleet.ended().size());
    }

    @Example
    void anArmThatKillsItsBackendsEndsWithTheSafeArm() {
        ExperimentModel fleet = fleet(3, 3);
        fleet.deadly = 1;
        until(fleet, 180_000, fleet::allEnded);
        ExperimentResult end = fleet.ended().iterator().next();
        assertEquals(1, fleet.ended().size());
        assertEquals(StoppingDecision.Kind.HARM, end.kind());
        assertEquals(0, end.arm());
        assertTrue(end.why().contains("died"), end.why());
    }

    @Example
    void oneThatIsChangedUnderTheSameNameBeginsWithNothing() {
        ExperimentModel fleet = fleet(4, 1000);
        fleet.traffic = 2;
        fleet.run(30_000);
        long before = fleet.parts[0].all().counts(0).asked();
        assertTrue(before > 500, "" + before);
        Experiment next = trial(2, 1000, Duration.ofHours(1));
        fleet.traffic = 0;
        for (int i = 0; i < 5; i++) {
            fleet.restate(i, next);
        }
        fleet.run(10_000);
        assertEquals(0, fleet.parts[0].all().counts(0).asked(), "no count of the former");
    }

    @Example
    void aRestartLosesAtMostTheLastSnapshotAndCountsNothingTwice() {
        ExperimentModel fleet = fleet(5, 1000);
        fleet.traffic = 4;
        fleet.run(40_000);
        fleet.traffic = 0;
        fleet.run(5000);
        long asked = fleet.parts[0].all().counts(0).asked()
                + fleet.parts[0].all().counts(1).asked();
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 5; i++) {
                fleet.kill(i, 500);
                fleet.run(4000);
            }
        }
        fleet.run(10_000);
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    asked,
                    fleet.parts[i].all().counts(0).asked()
                            + fleet.parts[i].all().counts(1).asked(),
                    "at " + i);
        }
        assertEquals(15, fleet.parts[0].all().deaths());
    }

    @Example
    void noDifferenceEndsAtTheLongestTimeThatClocksCannotJumpOver() {
        ExperimentModel fleet = new ExperimentModel(6, 5, trial(1, 1000, Duration.ofSeconds(60)));
        fleet.traffic = 2;
        fleet.run(20_000);
        for (int i = 0; i < 5; i++) {
            fleet.jump(i, 3_600_000);
        }
        fleet.run(20_000);
        assertTrue(fleet.ended().isEmpty(), "an hour that never was");
        until(fleet, 120_000, fleet::allEnded);
        assertEquals(StoppingDecision.Kind.TIME, fleet.ended().iterator().next().kind());
        assertEquals(0, fleet.ended().iterator().next().arm());
    }

    @Example
    void underAnyTroubleThereIsOneEndAndAllComeToIt() {
        for (int seed = 0; seed < Integer.getInteger("merlinlever.seeds", 4); seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            ExperimentModel fleet = fleet(100 + seed, 10_000);
            fleet.good = chance.nextBoolean() ? new double[] {0.5, 0.65} : new double[] {0.65, 0.5};
            for (int step = 0; step < 2500; step++) {
                if (chance.nextInt(80) == 0) {
                    fleet.trouble();
                }
                fleet.step();
                assertTrue(fleet.ended().size() <= 1, "seed " + seed + ": " + fleet.ended());
            }
            fleet.heal();
            until(fleet, 240_000, fleet::allEnded);
            assertEquals(1, fleet.ended().size(), "seed " + seed);
        }
    }
}
