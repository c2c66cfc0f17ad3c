package merlinlever.host.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class InstanceSupervisorTest {

    private final InstanceSupervisor keeper = new InstanceSupervisor(InstanceSupervisor.SupervisorSettings.USUAL, true);

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    private static InstanceStatus told(String phase, int inHand) {
        return new InstanceStatus(phase, true, false, 0, 0, inHand, 10, 0, 0, Map.of(), 0);
    }

    @Test
    void whatDiesIsLaunchedAgainAfterGrowingPausesUntilTheBudgetIsSpent() {
        keeper.start(ms(0));
        long at = 0;
        long[] pauses = new long[8];
        int deaths = 0;
        while (deaths < 8 && at < 60_000) {
            if (keeper.settle(ms(at)) == InstanceSupervisor.SupervisorAction.LAUNCH) {
                keeper.there(ms(at), ms(at));
                keeper.ended(ms(at), "status 1");
                pauses[deaths++] = at;
            }
            at += 10;
        }
        assertEquals(5, deaths);
        assertEquals(
                List.of(0L, 200L, 600L, 1400L, 3000L),
                java.util.Arrays.stream(pauses).limit(5).boxed().toList());
        assertEquals(InstanceSupervisor.InstanceState.GIVEN_UP, keeper.state(ms(at)));
        keeper.start(ms(at));
        assertEquals(InstanceSupervisor.SupervisorAction.LAUNCH, keeper.settle(ms(at)));
    }

    @Test
    void silenceIsNotDeathAndNothingIsLaunchedBeside() {
        keeper.start(ms(0));
        assertEquals(InstanceSupervisor.SupervisorAction.LAUNCH, keeper.settle(ms(0)));
        assertEquals(InstanceSupervisor.SupervisorAction.NOTHING, keeper.settle(ms(1)));
        keeper.there(ms(5), ms(5));
        assertEquals(InstanceSupervisor.InstanceState.STARTING, keeper.state(ms(100)));
        keeper.told(ms(200), told("cold", 0));
        assertEquals(InstanceSupervisor.InstanceState.COLD, keeper.state(ms(300)));
        keeper.told(ms(400), told("warm", 0));
        assertEquals(InstanceSupervisor.InstanceState.WARM, keeper.state(ms(2900)));
        assertEquals(InstanceSupervisor.InstanceState.UNREACHED, keeper.state(ms(2901)));
        assertTrue(keeper.why(ms(4400)).startsWith("not reached for 4000 ms"));
        for (long at = 3000; at < 600_000; at += 100) {
            assertEquals(InstanceSupervisor.SupervisorAction.NOTHING, keeper.settle(ms(at)));
        }
        keeper.told(ms(600_000), told("warm", 0));
        assertEquals(InstanceSupervisor.InstanceState.WARM, keeper.state(ms(600_001)));
    }

    @Test
    void oneThatLeavesIsToldOnceAndWaitedFor() {
        keeper.start(ms(0));
        keeper.settle(ms(0));
        keeper.there(ms(0), ms(0));
        keeper.told(ms(10), told("warm", 7));
        keeper.leave(ms(20));
        assertEquals(InstanceSupervisor.SupervisorAction.LEAVE, keeper.settle(ms(20)));
        for (long at = 30; at < 60_000; at += 10) {
            assertEquals(InstanceSupervisor.SupervisorAction.NOTHING, keeper.settle(ms(at)));
            assertEquals(InstanceSupervisor.InstanceState.DRAINING, keeper.state(ms(at)));
        }
        keeper.ended(ms(60_000), "status 143");
        assertEquals(InstanceSupervisor.SupervisorAction.NOTHING, keeper.settle(ms(99_000)));
        assertEquals(InstanceSupervisor.InstanceState.DOWN, keeper.state(ms(99_000)));
    }

    @Test
    void startWhileItLeavesLaunchesItOnceItIsDown() {
        keeper.start(ms(0));
        keeper.settle(ms(0));
        keeper.there(ms(0), ms(0));
        keeper.leave(ms(20));
        assertEquals(InstanceSupervisor.SupervisorAction.LEAVE, keeper.settle(ms(20)));
        keeper.start(ms(30));
        assertEquals(InstanceSupervisor.SupervisorAction.NOTHING, keeper.settle(ms(40)));
        keeper.ended(ms(50), "status 143");
        assertEquals(InstanceSupervisor.SupervisorAction.LAUNCH, keeper.settle(ms(50)));
    }

    @Test
    void anOrderIsDoneOnceAndALaterOneTakesItsPlace() {
        OrderTracker orders = new OrderTracker(List.of(keeper));
        OrderTracker.Order start = orders.take(ms(0), "order-one", OrderTracker.OrderVerb.START, false, List.of(0));
        keeper.settle(ms(0));
        keeper.there(ms(0), ms(0));
        OrderTracker.Order stop = orders.take(ms(10), "order-two", OrderTracker.OrderVerb.STOP, false, List.of(0));
        assertEquals(OrderTracker.OrderProgress.SUPERSEDED, start.end(0));
        assertEquals(InstanceSupervisor.SupervisorAction.LEAVE, keeper.settle(ms(10)));
        assertSame(start, orders.take(ms(20), "order-one", OrderTracker.OrderVerb.START, false, List.of(0)));
        assertFalse(keeper.wanted());
        assertEquals(OrderTracker.OrderProgress.UNDER_WAY, stop.end(0));
        keeper.ended(ms(30), "status 143");
        assertEquals(List.of(stop), orders.look(ms(30)));
        assertEquals(OrderTracker.OrderProgress.DONE, stop.end(0));
    }

    @Test
    void aRestartIsDoneWhenItsSuccessorServes() {
        OrderTracker orders = new OrderTracker(List.of(keeper));
        keeper.start(ms(0));
        keeper.settle(ms(0));
        keeper.there(ms(0), ms(0));
        keeper.told(ms(5), told("warm", 0));
        OrderTracker.Order restart =
                orders.take(ms(10), "order-three", OrderTracker.OrderVerb.RESTART, false, List.of(0));
        orders.look(ms(10));
        assertEquals(OrderTracker.OrderProgress.UNDER_WAY, restart.end(0));
        assertEquals(InstanceSupervisor.SupervisorAction.LEAVE, keeper.settle(ms(10)));
        keeper.ended(ms(20), "status 143");
        assertEquals(InstanceSupervisor.SupervisorAction.LAUNCH, keeper.settle(ms(20)));
        keeper.there(ms(20), ms(20));
        orders.look(ms(30));
        assertEquals(OrderTracker.OrderProgress.UNDER_WAY, restart.end(0));
        keeper.told(ms(40), told("cold", 0));
        orders.look(ms(40));
        assertEquals(OrderTracker.OrderProgress.DONE, restart.end(0));
    }

    /** Any orders, deaths and answers: never two processes, a LEAVE at most once a process, none launched that is not wanted. */
    @Test
    void anyOrderOfEventsKeepsOneProcessAtTheMost() {
        for (long seed = 0; seed < 3000; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            InstanceSupervisor one = new InstanceSupervisor(InstanceSupervisor.SupervisorSettings.USUAL, true);
            boolean running = false;
            boolean wanted = false;
            int leaves = 0;
            for (long at = 0; at < 20_000; at += chance.nextInt(300)) {
                switch (chance.nextInt(8)) {
                    case 0 -> {
                        one.start(ms(at));
                        wanted = true;
                    }
                    case 1 -> {
                        one.leave(ms(at));
                        wanted = false;
                    }
                    case 2 -> {
                        if (chance.nextInt(4) == 0) {
                            one.kill(ms(at));
                            wanted = false;
                        }
                    }
                    case 3 -> {
                        one.restart(ms(at));
                        wanted = true;
                    }
                    case 4 -> {
                        if (running) {
                            one.ended(ms(at), "died");
                            running = false;
                        }
                    }
                    case 5 -> one.told(ms(at), told("warm", 1));
                    default -> {}
                }
                InstanceSupervisor.SupervisorAction act = one.settle(ms(at));
                if (act == InstanceSupervisor.SupervisorAction.LAUNCH) {
                    assertTrue(!running && wanted, "seed " + seed);
                    if (chance.nextInt(5) == 0) {
                        one.launchFailed(ms(at), "no");
                    } else {
                        one.there(ms(at), ms(at));
                        running = true;
                        leaves = 0;
                    }
                } else if (act != InstanceSupervisor.SupervisorAction.NOTHING) {
                    assertTrue(running, "seed " + seed);
                    leaves += act == InstanceSupervisor.SupervisorAction.LEAVE ? 1 : 0;
                    assertTrue(leaves <= 1, "seed " + seed);
                }
                assertEquals(running, one.there(), "seed " + seed);
                InstanceSupervisor.InstanceState state = one.state(ms(at));
                assertTrue(running
                        || state == InstanceSupervisor.InstanceState.DOWN
                        || state == InstanceSupervisor.InstanceState.GIVEN_UP
                        || state == InstanceSupervisor.InstanceState.STARTING);
            }
        }
    }

    @Test
    void slowIsToldAgainstPeersAndNotAtOnce() {
        OutlierDetector peers = new OutlierDetector(4);
        double[] fine = {100, 98, 103, 101};
        double[] one = {100, 98, 40, 101};
        peers.look(one);
        peers.look(one);
        assertFalse(peers.slow(2));
        peers.look(one);
        assertTrue(peers.slow(2));
        double[] nearly = {100, 98, 60, 101};
        for (int i = 0; i < 9; i++) {
            peers.look(nearly);
        }
        assertTrue(peers.slow(2));
        for (int i = 0; i < 3; i++) {
            peers.look(fine);
        }
        assertFalse(peers.slow(2));
        for (int i = 0; i < 9; i++) {
            peers.look(new double[] {100, Double.NaN, 10, Double.NaN});
        }
        assertFalse(peers.slow(2), "two are no peers");
    }
}
