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

    private final InstanceSupervisor supervisor = new InstanceSupervisor(SupervisorSettings.DEFAULTS, true);

    private static Duration ms(long ms) {
        return Duration.ofMillis(ms);
    }

    private static InstanceStatus status(String phase, int inFlight) {
        return new InstanceStatus(phase, true, false, 0, 0, inFlight, 10, 0, 0, Map.of(), 0, List.of(), null);
    }

    @Test
    void whatDiesIsLaunchedAgainAfterGrowingPausesUntilTheBudgetIsSpent() {
        supervisor.start(ms(0));
        long at = 0;
        long[] pauses = new long[8];
        int deaths = 0;
        while (deaths < 8 && at < 60_000) {
            if (supervisor.nextAction(ms(at)) == InstanceSupervisor.SupervisorAction.LAUNCH) {
                supervisor.processStarted(ms(at));
                supervisor.processEnded(ms(at), "status 1");
                pauses[deaths++] = at;
            }
            at += 10;
        }
        assertEquals(5, deaths);
        assertEquals(
                List.of(0L, 200L, 600L, 1400L, 3000L),
                java.util.Arrays.stream(pauses).limit(5).boxed().toList());
        assertEquals(InstanceSupervisor.InstanceState.GIVEN_UP, supervisor.state(ms(at)));
        supervisor.start(ms(at));
        assertEquals(InstanceSupervisor.SupervisorAction.LAUNCH, supervisor.nextAction(ms(at)));
    }

    @Test
    void silenceIsNotDeathAndNothingIsLaunchedBeside() {
        supervisor.start(ms(0));
        assertEquals(InstanceSupervisor.SupervisorAction.LAUNCH, supervisor.nextAction(ms(0)));
        assertEquals(InstanceSupervisor.SupervisorAction.NONE, supervisor.nextAction(ms(1)));
        supervisor.processStarted(ms(5));
        assertEquals(InstanceSupervisor.InstanceState.STARTING, supervisor.state(ms(100)));
        supervisor.statusReceived(ms(200), status("cold", 0));
        assertEquals(InstanceSupervisor.InstanceState.COLD, supervisor.state(ms(300)));
        supervisor.statusReceived(ms(400), status("warm", 0));
        assertEquals(InstanceSupervisor.InstanceState.WARM, supervisor.state(ms(2900)));
        assertEquals(InstanceSupervisor.InstanceState.UNREACHABLE, supervisor.state(ms(2901)));
        assertTrue(supervisor.reason(ms(4400)).startsWith("not reached for 4000 ms"));
        for (long at = 3000; at < 600_000; at += 100) {
            assertEquals(InstanceSupervisor.SupervisorAction.NONE, supervisor.nextAction(ms(at)));
        }
        supervisor.statusReceived(ms(600_000), status("warm", 0));
        assertEquals(InstanceSupervisor.InstanceState.WARM, supervisor.state(ms(600_001)));
    }

    @Test
    void oneThatLeavesIsToldOnceAndWaitedFor() {
        supervisor.start(ms(0));
        supervisor.nextAction(ms(0));
        supervisor.processStarted(ms(0));
        supervisor.statusReceived(ms(10), status("warm", 7));
        supervisor.drain();
        assertEquals(InstanceSupervisor.SupervisorAction.DRAIN, supervisor.nextAction(ms(20)));
        for (long at = 30; at < 60_000; at += 10) {
            assertEquals(InstanceSupervisor.SupervisorAction.NONE, supervisor.nextAction(ms(at)));
            assertEquals(InstanceSupervisor.InstanceState.DRAINING, supervisor.state(ms(at)));
        }
        supervisor.processEnded(ms(60_000), "status 143");
        assertEquals(InstanceSupervisor.SupervisorAction.NONE, supervisor.nextAction(ms(99_000)));
        assertEquals(InstanceSupervisor.InstanceState.DOWN, supervisor.state(ms(99_000)));
    }

    @Test
    void startWhileItLeavesLaunchesItOnceItIsDown() {
        supervisor.start(ms(0));
        supervisor.nextAction(ms(0));
        supervisor.processStarted(ms(0));
        supervisor.drain();
        assertEquals(InstanceSupervisor.SupervisorAction.DRAIN, supervisor.nextAction(ms(20)));
        supervisor.start(ms(30));
        assertEquals(InstanceSupervisor.SupervisorAction.NONE, supervisor.nextAction(ms(40)));
        supervisor.processEnded(ms(50), "status 143");
        assertEquals(InstanceSupervisor.SupervisorAction.LAUNCH, supervisor.nextAction(ms(50)));
    }

    @Test
    void anOrderIsDoneOnceAndALaterOneTakesItsPlace() {
        OrderTracker orders = new OrderTracker(List.of(supervisor));
        OrderTracker.Order start = orders.accept(ms(0), "order-one", OrderTracker.OrderVerb.START, false, List.of(0));
        supervisor.nextAction(ms(0));
        supervisor.processStarted(ms(0));
        OrderTracker.Order stop = orders.accept(ms(10), "order-two", OrderTracker.OrderVerb.STOP, false, List.of(0));
        assertEquals(OrderTracker.OrderProgress.SUPERSEDED, start.progress(0));
        assertEquals(InstanceSupervisor.SupervisorAction.DRAIN, supervisor.nextAction(ms(10)));
        assertSame(start, orders.accept(ms(20), "order-one", OrderTracker.OrderVerb.START, false, List.of(0)));
        assertFalse(supervisor.isDesired());
        assertEquals(OrderTracker.OrderProgress.UNDER_WAY, stop.progress(0));
        supervisor.processEnded(ms(30), "status 143");
        assertEquals(List.of(stop), orders.updateProgress(ms(30)));
        assertEquals(OrderTracker.OrderProgress.DONE, stop.progress(0));
    }

    @Test
    void aRestartIsDoneWhenItsSuccessorServes() {
        OrderTracker orders = new OrderTracker(List.of(supervisor));
        supervisor.start(ms(0));
        supervisor.nextAction(ms(0));
        supervisor.processStarted(ms(0));
        supervisor.statusReceived(ms(5), status("warm", 0));
        OrderTracker.Order restart =
                orders.accept(ms(10), "order-three", OrderTracker.OrderVerb.RESTART, false, List.of(0));
        orders.updateProgress(ms(10));
        assertEquals(OrderTracker.OrderProgress.UNDER_WAY, restart.progress(0));
        assertEquals(InstanceSupervisor.SupervisorAction.DRAIN, supervisor.nextAction(ms(10)));
        supervisor.processEnded(ms(20), "status 143");
        assertEquals(InstanceSupervisor.SupervisorAction.LAUNCH, supervisor.nextAction(ms(20)));
        supervisor.processStarted(ms(20));
        orders.updateProgress(ms(30));
        assertEquals(OrderTracker.OrderProgress.UNDER_WAY, restart.progress(0));
        supervisor.statusReceived(ms(40), status("cold", 0));
        orders.updateProgress(ms(40));
        assertEquals(OrderTracker.OrderProgress.DONE, restart.progress(0));
    }

    /** Any orders, deaths and answers: never two processes, a DRAIN at most once a process, none launched that is not wanted. */
    @Test
    void anyOrderOfEventsKeepsOneProcessAtTheMost() {
        for (long seed = 0; seed < 3000; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            InstanceSupervisor one = new InstanceSupervisor(SupervisorSettings.DEFAULTS, true);
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
                        one.drain();
                        wanted = false;
                    }
                    case 2 -> {
                        if (chance.nextInt(4) == 0) {
                            one.kill();
                            wanted = false;
                        }
                    }
                    case 3 -> {
                        one.restart(ms(at));
                        wanted = true;
                    }
                    case 4 -> {
                        if (running) {
                            one.processEnded(ms(at), "died");
                            running = false;
                        }
                    }
                    case 5 -> one.statusReceived(ms(at), status("warm", 1));
                    default -> {}
                }
                InstanceSupervisor.SupervisorAction act = one.nextAction(ms(at));
                if (act == InstanceSupervisor.SupervisorAction.LAUNCH) {
                    assertTrue(!running && wanted, "seed " + seed);
                    if (chance.nextInt(5) == 0) {
                        one.launchFailed(ms(at), "no");
                    } else {
                        one.processStarted(ms(at));
                        running = true;
                        leaves = 0;
                    }
                } else if (act != InstanceSupervisor.SupervisorAction.NONE) {
                    assertTrue(running, "seed " + seed);
                    leaves += act == InstanceSupervisor.SupervisorAction.DRAIN ? 1 : 0;
                    assertTrue(leaves <= 1, "seed " + seed);
                }
                assertEquals(running, one.hasProcess(), "seed " + seed);
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
        peers.addSample(one);
        peers.addSample(one);
        assertFalse(peers.isOutlier(2));
        peers.addSample(one);
        assertTrue(peers.isOutlier(2));
        double[] nearly = {100, 98, 60, 101};
        for (int i = 0; i < 9; i++) {
            peers.addSample(nearly);
        }
        assertTrue(peers.isOutlier(2));
        for (int i = 0; i < 3; i++) {
            peers.addSample(fine);
        }
        assertFalse(peers.isOutlier(2));
        for (int i = 0; i < 9; i++) {
            peers.addSample(new double[] {100, Double.NaN, 10, Double.NaN});
        }
        assertFalse(peers.isOutlier(2), "two are no peers");
    }
}
