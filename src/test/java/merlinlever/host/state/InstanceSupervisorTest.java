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
    void crashedInstanceIsRelaunchedWithGrowingBackoffUntilGivenUp() {
        supervisor.start(ms(0));
        long nowMillis = 0;
        long[] launchTimes = new long[8];
        int crashes = 0;
        while (crashes < 8 && nowMillis < 60_000) {
            if (supervisor.nextAction(ms(nowMillis)) == InstanceSupervisor.SupervisorAction.LAUNCH) {
                supervisor.processStarted(ms(nowMillis));
                supervisor.processEnded(ms(nowMillis), "status 1");
                launchTimes[crashes++] = nowMillis;
            }
            nowMillis += 10;
        }
        assertEquals(5, crashes);
        assertEquals(
                List.of(0L, 200L, 600L, 1400L, 3000L),
                java.util.Arrays.stream(launchTimes).limit(5).boxed().toList());
        assertEquals(InstanceSupervisor.InstanceState.GIVEN_UP, supervisor.state(ms(nowMillis)));
        supervisor.start(ms(nowMillis));
        assertEquals(InstanceSupervisor.SupervisorAction.LAUNCH, supervisor.nextAction(ms(nowMillis)));
    }

    @Test
    void unreachableInstanceIsNotLaunchedAgain() {
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
        assertTrue(supervisor.reason(ms(4400)).startsWith("no status report for 4000 ms"));
        for (long nowMillis = 3000; nowMillis < 600_000; nowMillis += 100) {
            assertEquals(InstanceSupervisor.SupervisorAction.NONE, supervisor.nextAction(ms(nowMillis)));
        }
        supervisor.statusReceived(ms(600_000), status("warm", 0));
        assertEquals(InstanceSupervisor.InstanceState.WARM, supervisor.state(ms(600_001)));
    }

    @Test
    void drainIsRequestedOnceAndAwaited() {
        supervisor.start(ms(0));
        supervisor.nextAction(ms(0));
        supervisor.processStarted(ms(0));
        supervisor.statusReceived(ms(10), status("warm", 7));
        supervisor.drain();
        assertEquals(InstanceSupervisor.SupervisorAction.DRAIN, supervisor.nextAction(ms(20)));
        for (long nowMillis = 30; nowMillis < 60_000; nowMillis += 10) {
            assertEquals(InstanceSupervisor.SupervisorAction.NONE, supervisor.nextAction(ms(nowMillis)));
            assertEquals(InstanceSupervisor.InstanceState.DRAINING, supervisor.state(ms(nowMillis)));
        }
        supervisor.processEnded(ms(60_000), "status 143");
        assertEquals(InstanceSupervisor.SupervisorAction.NONE, supervisor.nextAction(ms(99_000)));
        assertEquals(InstanceSupervisor.InstanceState.DOWN, supervisor.state(ms(99_000)));
    }

    @Test
    void startDuringDrainLaunchesAfterTheProcessEnds() {
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
    void orderIsAppliedOnceAndSupersededByALaterOrder() {
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
    void restartIsDoneWhenTheNewProcessServes() {
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

    /**
     * Guards against a second process, a repeated DRAIN and an undesired launch, with random sequences of orders and
     * events.
     */
    @Test
    void atMostOneProcessExistsWithRandomEvents() {
        for (long seed = 0; seed < 3000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            InstanceSupervisor instance = new InstanceSupervisor(SupervisorSettings.DEFAULTS, true);
            boolean running = false;
            boolean desired = false;
            int drains = 0;
            for (long nowMillis = 0; nowMillis < 20_000; nowMillis += random.nextInt(300)) {
                switch (random.nextInt(8)) {
                    case 0 -> {
                        instance.start(ms(nowMillis));
                        desired = true;
                    }
                    case 1 -> {
                        instance.drain();
                        desired = false;
                    }
                    case 2 -> {
                        if (random.nextInt(4) == 0) {
                            instance.kill();
                            desired = false;
                        }
                    }
                    case 3 -> {
                        instance.restart(ms(nowMillis));
                        desired = true;
                    }
                    case 4 -> {
                        if (running) {
                            instance.processEnded(ms(nowMillis), "crashed");
                            running = false;
                        }
                    }
                    case 5 -> instance.statusReceived(ms(nowMillis), status("warm", 1));
                    default -> {}
                }
                InstanceSupervisor.SupervisorAction action = instance.nextAction(ms(nowMillis));
                if (action == InstanceSupervisor.SupervisorAction.LAUNCH) {
                    assertTrue(!running && desired, "seed " + seed);
                    if (random.nextInt(5) == 0) {
                        instance.launchFailed(ms(nowMillis), "launch failed");
                    } else {
                        instance.processStarted(ms(nowMillis));
                        running = true;
                        drains = 0;
                    }
                } else if (action != InstanceSupervisor.SupervisorAction.NONE) {
                    assertTrue(running, "seed " + seed);
                    drains += action == InstanceSupervisor.SupervisorAction.DRAIN ? 1 : 0;
                    assertTrue(drains <= 1, "seed " + seed);
                }
                assertEquals(running, instance.hasProcess(), "seed " + seed);
                InstanceSupervisor.InstanceState state = instance.state(ms(nowMillis));
                assertTrue(running
                        || state == InstanceSupervisor.InstanceState.DOWN
                        || state == InstanceSupervisor.InstanceState.GIVEN_UP
                        || state == InstanceSupervisor.InstanceState.STARTING);
            }
        }
    }

    @Test
    void outlierIsDetectedAgainstPeersAfterSeveralSamples() {
        OutlierDetector detector = new OutlierDetector(4);
        double[] recovered = {100, 98, 103, 101};
        double[] slowThird = {100, 98, 40, 101};
        detector.addSample(slowThird);
        detector.addSample(slowThird);
        assertFalse(detector.isOutlier(2));
        detector.addSample(slowThird);
        assertTrue(detector.isOutlier(2));
        double[] belowRecovery = {100, 98, 60, 101};
        for (int i = 0; i < 9; i++) {
            detector.addSample(belowRecovery);
        }
        assertTrue(detector.isOutlier(2));
        for (int i = 0; i < 3; i++) {
            detector.addSample(recovered);
        }
        assertFalse(detector.isOutlier(2));
        for (int i = 0; i < 9; i++) {
            detector.addSample(new double[] {100, Double.NaN, 10, Double.NaN});
        }
        assertFalse(detector.isOutlier(2), "two instances are too few for a comparison");
    }
}
