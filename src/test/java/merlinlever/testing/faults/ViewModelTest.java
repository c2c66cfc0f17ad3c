package merlinlever.testing.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.TreeSet;
import merlinlever.fleet.view.GuardedAction;
import merlinlever.fleet.view.QuorumStatus;
import org.junit.jupiter.api.Test;

/** Fleets of real memberships, terms and views in virtual time, in each hard case. */
class ViewModelTest {

    /** So many where it is asked for outside CI. */
    private static final int SEEDS = Integer.getInteger("merlinlever.seeds", 25);

    private static ViewModel fleet(long seed, int n, int voters) {
        ViewModel model = new ViewModel(seed, n, voters, false);
        model.startAll();
        long took = model.untilAgreed(30_000);
        assertTrue(took >= 0, "never agreed at the start: " + model.log);
        model.run(6000);
        return model;
    }

    private static void sound(ViewModel model) {
        assertEquals("[]", model.breaches.toString(), () -> String.join("\n", model.log));
    }

    private static TreeSet<String> names(int... places) {
        TreeSet<String> names = new TreeSet<>();
        for (int place : places) {
            names.add(ViewModel.name(place));
        }
        return names;
    }

    private static void agrees(ViewModel model, long most, int changes, long since) {
        long took = model.untilAgreed(most);
        assertTrue(
                took >= 0,
                () -> "not agreed within " + most + " ms on " + model.running() + "\n" + String.join("\n", model.log));
        assertEquals(changes, model.changesSince(since), () -> String.join("\n", model.log));
        sound(model);
    }

    @Test
    void aDeathAndItsReturnAreOneChangeEach() {
        for (int n : new int[] {3, 5, 9, 24}) {
            ViewModel model = fleet(n, n, Math.min(5, n));
            for (int i = 0; i < n; i++) {
                assertEquals(QuorumStatus.FULL, model.nodes[i].standing());
            }
            long since = model.highest();
            model.kill(n - 1);
            agrees(model, 15_000, 1, since);
            model.run(8000);
            since = model.highest();
            model.start(n - 1);
            agrees(model, 15_000, 1, since);
        }
    }

    @Test
    void halvesOfThreeAndFive() {
        ViewModel three = fleet(31, 3, 3);
        three.sides(0, 0, 1);
        three.run(16_000);
        assertEquals(QuorumStatus.MAJORITY, three.nodes[0].standing());
        assertEquals(names(0, 1), three.nodes[0].sight.view().members());
        assertEquals(QuorumStatus.ISOLATED, three.nodes[2].standing());
        long since = three.highest();
        three.heal();
        agrees(three, 15_000, 1, since);
        // Three ways: nobody may decide, nothing is numbered, and it is whole again without a change.
        three.run(8000);
        since = three.highest();
        three.sides(0, 1, 2);
        three.run(20_000);
        for (ViewModel.FleetNode node : three.nodes) {
            assertEquals(QuorumStatus.ISOLATED, node.standing());
            assertFalse(node.may(GuardedAction.DECIDE));
        }
        three.heal();
        three.run(10_000);
        agrees(three, 5000, 0, since);
        assertEquals(QuorumStatus.FULL, three.nodes[0].standing());
    }

    @Test
    void threeAndTwoWithOneThatBothReach() {
        for (int seed = 0; seed < 4; seed++) {
            ViewModel model = fleet(seed, 5, 5);
            long since = model.highest();
            for (int a : new int[] {0, 1}) {
                for (int b : new int[] {3, 4}) {
                    model.cut(a, b, true);
                    model.cut(b, a, true);
                }
            }
            model.run(40_000);
            assertTrue(model.changesSince(since) <= 1, () -> String.join("\n", model.log));
            model.heal();
            assertTrue(model.untilAgreed(20_000) >= 0);
            assertTrue(model.changesSince(since) <= 2);
            sound(model);
        }
    }

    @Test
    void oneWayLinksAndSlowOnesAndLossAreNoDeath() {
        ViewModel model = fleet(41, 7, 5);
        long since = model.highest();
        model.cut(1, 2, true);
        model.cut(5, 0, true);
        model.run(30_000);
        model.heal();
        model.slow = 1500;
        model.run(30_000);
        model.slow = 0;
        model.loss = 0.2;
        model.run(120_000);
        model.heal();
        model.run(6000);
        agrees(model, 10_000, 0, since);
        // One that nobody hears any more, though it hears all, is one change.
        for (int k = 0; k < 6; k++) {
            model.cut(6, k, true);
        }
        model.run(15_000);
        assertEquals(names(0, 1, 2, 3, 4, 5), model.nodes[0].sight.view().members());
        assertEquals(QuorumStatus.ISOLATED, model.nodes[6].standing());
        assertEquals(1, model.changesSince(since));
        sound(model);
    }

    @Test
    void stoodStillForHalfAMinuteAndBack() {
        for (boolean still : new boolean[] {false, true}) {
            ViewModel model = fleet(51, 5, 5);
            long since = model.highest();
            int who = model.leader();
            model.pause(who, 30_000, still);
            model.run(29_000);
            agrees(model, 1000, 1, since);
            since = model.highest();
            model.run(1050);
            // Where its clock went on it knows at once that it knows nothing; where that stood too, nothing tells it,
            // but its lease lies behind.
            assertTrue(
                    still || model.nodes[who].standing() == QuorumStatus.RECOVERING,
                    () -> model.nodes[who].standing() + "");
            agrees(model, 15_000, 1, since);
        }
    }

    @Test
    void aFlapEachSecondIsNoChangeAndASlowOneIsDamped() {
        ViewModel model = fleet(61, 5, 5);
        long since = model.highest();
        for (int i = 0; i < 40; i++) {
            model.pause(4, 1000, false);
            model.run(2000);
        }
        assertEquals(0, model.changesSince(since), () -> String.join("\n", model.log));
        for (int i = 0; i < 12; i++) {
            model.pause(3, 8000, false);
            model.run(16_000);
        }
        // Twelve times away: each return waits twice as long as the one before.
        assertTrue(model.changesSince(since) <= 9, () -> model.changesSince(since) + " changes");
        sound(model);
    }

    @Test
    void aQuickRestartIsNoChangeAndNumbersStillGoForward() {
        ViewModel model = fleet(71, 5, 5);
        long since = model.highest();
        for (int i = 0; i < 5; i++) {
            model.kill(i);
            model.run(1500);
            model.start(i);
            assertEquals(QuorumStatus.RECOVERING, model.nodes[i].standing());
            model.run(9000);
        }
        agrees(model, 10_000, 0, since);
        // All at once: the next views are of a higher term.
        since = model.highest();
        for (int i = 0; i < 5; i++) {
            model.kill(i);
        }
        model.startAll();
        assertTrue(model.untilAgreed(30_000) >= 0 && model.highest() > since);
        sound(model);
    }

    @Test
    void twoUnderOneNameAreToldAndTakeNobodyAlong() {
        ViewModel model = new ViewModel(81, 6, 5, false);
        for (int i = 0; i < 5; i++) {
            model.start(i);
        }
        model.run(15_000);
        long since = model.highest();
        model.start(5, "b4");
        boolean told = false;
        for (int i = 0; i < 600; i++) {
            model.step();
            told |= model.nodes[4].standing() == QuorumStatus.CONFLICTING
                    || model.nodes[5].standing() == QuorumStatus.CONFLICTING;
        }
        assertTrue(told);
        assertTrue(model.changesSince(since) <= 1);
        assertEquals(QuorumStatus.FULL.compareTo(model.nodes[0].standing()) <= 0, true);
        model.kill(5);
        model.run(20_000);
        assertEquals(names(0, 1, 2, 3, 4), model.nodes[0].sight.view().members());
        sound(model);
    }

    @Test
    void fiftyThatJoinInTwoSecondsAreTwoChangesAtTheMost() {
        ViewModel model = new ViewModel(91, 55, 5, false);
        for (int i = 0; i < 5; i++) {
            model.start(i);
        }
        model.run(15_000);
        long since = model.highest();
        for (int i = 5; i < 55; i++) {
            model.start(i);
            if (i % 2 == 0) {
                model.run(80 / ViewModel.STEP * ViewModel.STEP);
            }
        }
        assertTrue(model.untilAgreed(20_000) >= 0, () -> String.join("\n", model.log));
        assertTrue(model.changesSince(since) <= 2, () -> model.changesSince(since) + " changes");
        sound(model);
    }

    @Test
    void underAnyTroubleOfOneNumberThereIsOneMembershipAndAllAgreeInTheEnd() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            int n = 3 + chance.nextInt(7);
            ViewModel model = new ViewModel(seed, n, Math.min(n, 3 + 2 * chance.nextInt(2)), false);
            model.startAll();
            model.run(chance.nextInt(12_000));
            int quiet = 0;
            int side = 0;
            for (int step = 0; step < 1200; step++) {
                if (chance.nextInt(80) == 0) {
                    trouble(model, chance);
                    side = model.parted();
                    quiet = 0;
                }
                model.step();
                quiet++;
                if (quiet * ViewModel.STEP > 8000 && side > 0) {
                    assertTrue(
                            model.decidersOnOneSide(), "seed " + seed + " at " + model.now + ": two sides may decide");
                }
            }
            model.heal();
            for (int i = 0; i < n; i++) {
                if (model.nodes[i] == null) {
                    model.start(i);
                }
            }
            int which = seed;
            assertTrue(
                    model.untilAgreed(400_000) >= 0,
                    () -> "seed " + which + " never agreed\n" + String.join("\n", model.log));
            assertEquals("[]", model.breaches.toString(), () -> "seed " + which + "\n" + String.join("\n", model.log));
        }
    }

    private static void trouble(ViewModel model, SplittableRandom chance) {
        int i = chance.nextInt(model.n);
        switch (chance.nextInt(9)) {
            case 0, 1 -> {
                if (model.nodes[i] != null) {
                    model.kill(i);
                } else {
                    model.start(i);
                }
            }
            case 2 -> model.pause(i, chance.nextInt(12_000), chance.nextBoolean());
            case 3 -> model.sides(chance.ints(model.n, 0, 3).toArray());
            case 4 -> model.cut(i, chance.nextInt(model.n), true);
            case 5 -> model.loss = chance.nextDouble() * 0.5;
            case 6 -> model.replays = 0.3;
            case 7 -> model.slow = chance.nextInt(1500);
            default -> model.heal();
        }
    }
}
