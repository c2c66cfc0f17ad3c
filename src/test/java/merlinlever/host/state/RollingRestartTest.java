package merlinlever.host.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RollingRestartTest {

    /** A fleet in virtual time: restarted instances drain, are cold for a while, and become warm. */
    private static final class Fleet {
        final int count;
        final long[] restartedAt;
        final long[] launches;
        final long[] rejections;
        final boolean[] unreachableHosts = new boolean[10];
        boolean crashes;
        boolean rejects;
        boolean staysCold;
        long nowMillis;

        Fleet(int count) {
            this.count = count;
            restartedAt = new long[count];
            java.util.Arrays.fill(restartedAt, -100_000);
            launches = new long[count];
            rejections = new long[count];
        }

        List<RollingRestart.InstanceObservation> observations() {
            List<RollingRestart.InstanceObservation> observations = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                long millisSinceRestart = nowMillis - restartedAt[i];
                boolean restarted = restartedAt[i] >= 0;
                InstanceSupervisor.InstanceState state = unreachableHosts[i / 4]
                        ? InstanceSupervisor.InstanceState.UNREACHABLE
                        : millisSinceRestart < 500
                                ? InstanceSupervisor.InstanceState.DRAINING
                                : restarted && crashes
                                        ? InstanceSupervisor.InstanceState.GIVEN_UP
                                        : millisSinceRestart < 2000 || (restarted && staysCold)
                                                ? InstanceSupervisor.InstanceState.COLD
                                                : InstanceSupervisor.InstanceState.WARM;
                observations.add(new RollingRestart.InstanceObservation(
                        "t" + i,
                        "m" + i / 4,
                        state,
                        launches[i] + (restarted && millisSinceRestart >= 500 ? 1 : 0),
                        restarted && millisSinceRestart < 500 ? 0 : rejections[i]));
            }
            return observations;
        }

        int unavailable() {
            return (int) observations().stream()
                    .filter(observation -> !observation.isServing())
                    .count();
        }

        void tick() {
            nowMillis += 100;
            for (int i = 0; i < count; i++) {
                rejections[i] += rejects && restartedAt[i] >= 0 ? 3 : nowMillis % 1000 == 0 && i == 0 ? 1 : 0;
            }
        }
    }

    private static RollingRestart newRestart(int count, double maxUnavailableFraction) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("t" + i);
        }
        return new RollingRestart(
                new RollingRestart.RollingRestartSettings(
                        2, maxUnavailableFraction, Duration.ofSeconds(10), Duration.ofSeconds(2), 2),
                names);
    }

    private static int peakUnavailable;

    private static void run(RollingRestart restart, Fleet fleet, long until) {
        while (fleet.nowMillis < until
                && restart.phase() != RollingRestart.RolloutPhase.DONE
                && restart.phase() != RollingRestart.RolloutPhase.STOPPED) {
            fleet.tick();
            List<String> batch = restart.nextBatch(Duration.ofMillis(fleet.nowMillis), fleet.observations());
            long hosts = batch.stream()
                    .map(name -> Integer.parseInt(name.substring(1)) / 4)
                    .distinct()
                    .count();
            assertTrue(hosts <= 1, "batch spans several machines: " + batch);
            for (String name : batch) {
                int i = Integer.parseInt(name.substring(1));
                assertTrue(fleet.restartedAt[i] < 0, name + " is restarted twice");
                fleet.restartedAt[i] = fleet.nowMillis;
            }
            peakUnavailable = Math.max(peakUnavailable, fleet.unavailable());
        }
    }

    @Test
    void allInstancesAreRestartedOnceWithinTheUnavailabilityLimit() {
        SplittableRandom random = new SplittableRandom(2);
        for (int round = 0; round < 200; round++) {
            int count = 1 + random.nextInt(40);
            double fraction = random.nextInt(50) / 100.0;
            Fleet fleet = new Fleet(count);
            RollingRestart restart = newRestart(count, fraction);
            peakUnavailable = 0;
            run(restart, fleet, 900_000);
            assertEquals(RollingRestart.RolloutPhase.DONE, restart.phase(), restart.reason());
            assertEquals(count, restart.completed().size());
            assertTrue(
                    peakUnavailable <= Math.max(1, (int) (fraction * count)),
                    peakUnavailable + " of " + count + " unavailable with fraction " + fraction);
        }
    }

    @Test
    void faultyVersionStopsTheRestartAfterTheFirstBatch() {
        for (int fault = 0; fault < 3; fault++) {
            Fleet fleet = new Fleet(12);
            fleet.crashes = fault == 0;
            fleet.staysCold = fault == 1;
            fleet.rejects = fault == 2;
            RollingRestart restart = newRestart(12, 0.25);
            run(restart, fleet, 100_000);
            assertEquals(RollingRestart.RolloutPhase.STOPPED, restart.phase());
            assertTrue(
                    restart.completed().size() + restart.restarting().size() <= 2, "stopped at " + restart.completed());
            String expected =
                    new String[] {"keeps crashing", "is not warm 10 s", "requests per second are rejected"}[fault];
            assertTrue(restart.reason().contains(expected), restart.reason());
            assertTrue(
                    restart.nextBatch(Duration.ofHours(1), fleet.observations()).isEmpty());
        }
    }

    @Test
    void restartWaitsWhileAMachineIsUnreachable() {
        Fleet fleet = new Fleet(16);
        RollingRestart restart = newRestart(16, 0.25);
        run(restart, fleet, 12_000);
        int completedBefore = restart.completed().size();
        assertTrue(completedBefore > 0 && completedBefore < 8);
        fleet.unreachableHosts[3] = true;
        run(restart, fleet, 60_000);
        assertEquals(RollingRestart.RolloutPhase.RESTARTING, restart.phase());
        assertTrue(restart.reason().contains("waiting"), restart.reason());
        int completedWhileUnreachable = restart.completed().size();
        fleet.unreachableHosts[3] = false;
        run(restart, fleet, 300_000);
        assertEquals(RollingRestart.RolloutPhase.DONE, restart.phase(), restart.reason());
        assertTrue(completedWhileUnreachable <= completedBefore + 2);
    }
}
