package merlinlever.host.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RollingRestartTest {

    /** A fleet in virtual time: restarted ones are down for a while, then cold, then warm. */
    private static final class Fleet {
        final int count;
        final long[] restartedAt;
        final long[] launches;
        final long[] turned;
        final boolean[] deadHost = new boolean[10];
        boolean crashes;
        boolean rejects;
        boolean staysCold;
        long ms;

        Fleet(int count) {
            this.count = count;
            restartedAt = new long[count];
            java.util.Arrays.fill(restartedAt, -100_000);
            launches = new long[count];
            turned = new long[count];
        }

        List<RollingRestart.InstanceObservation> seen() {
            List<RollingRestart.InstanceObservation> seen = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                long since = ms - restartedAt[i];
                boolean made = restartedAt[i] >= 0;
                InstanceSupervisor.InstanceState state = deadHost[i / 4]
                        ? InstanceSupervisor.InstanceState.UNREACHABLE
                        : since < 500
                                ? InstanceSupervisor.InstanceState.DRAINING
                                : made && crashes
                                        ? InstanceSupervisor.InstanceState.GIVEN_UP
                                        : since < 2000 || (made && staysCold)
                                                ? InstanceSupervisor.InstanceState.COLD
                                                : InstanceSupervisor.InstanceState.WARM;
                seen.add(new RollingRestart.InstanceObservation(
                        "t" + i,
                        "m" + i / 4,
                        state,
                        launches[i] + (made && since >= 500 ? 1 : 0),
                        made && since < 500 ? 0 : turned[i]));
            }
            return seen;
        }

        int away() {
            return (int) seen().stream().filter(each -> !each.isServing()).count();
        }

        void tick() {
            ms += 100;
            for (int i = 0; i < count; i++) {
                turned[i] += rejects && restartedAt[i] >= 0 ? 3 : ms % 1000 == 0 && i == 0 ? 1 : 0;
            }
        }
    }

    private static RollingRestart roll(int count, double mostAway) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add("t" + i);
        }
        return new RollingRestart(
                new RollingRestart.RollingRestartSettings(
                        2, mostAway, Duration.ofSeconds(10), Duration.ofSeconds(2), 2),
                names);
    }

    private static int most;

    private static void run(RollingRestart roll, Fleet fleet, long until) {
        while (fleet.ms < until
                && roll.phase() != RollingRestart.RolloutPhase.DONE
                && roll.phase() != RollingRestart.RolloutPhase.STOPPED) {
            fleet.tick();
            List<String> chosen = roll.nextBatch(Duration.ofMillis(fleet.ms), fleet.seen());
            long hosts = chosen.stream()
                    .map(name -> Integer.parseInt(name.substring(1)) / 4)
                    .distinct()
                    .count();
            assertTrue(hosts <= 1, "one machine at a time: " + chosen);
            for (String name : chosen) {
                int i = Integer.parseInt(name.substring(1));
                assertTrue(fleet.restartedAt[i] < 0, name + " is restarted twice");
                fleet.restartedAt[i] = fleet.ms;
            }
            most = Math.max(most, fleet.away());
        }
    }

    @Test
    void allAreRestartedOnceAndNeverMoreThanAllowedAreAway() {
        SplittableRandom chance = new SplittableRandom(2);
        for (int round = 0; round < 200; round++) {
            int count = 1 + chance.nextInt(40);
            double part = chance.nextInt(50) / 100.0;
            Fleet fleet = new Fleet(count);
            RollingRestart roll = roll(count, part);
            most = 0;
            run(roll, fleet, 900_000);
            assertEquals(RollingRestart.RolloutPhase.DONE, roll.phase(), roll.reason());
            assertEquals(count, roll.completed().size());
            assertTrue(most <= Math.max(1, (int) (part * count)), most + " of " + count + " away at " + part);
        }
    }

    @Test
    void aBadVersionStopsItBehindTheFirstBatch() {
        for (int bad = 0; bad < 3; bad++) {
            Fleet fleet = new Fleet(12);
            fleet.crashes = bad == 0;
            fleet.staysCold = bad == 1;
            fleet.rejects = bad == 2;
            RollingRestart roll = roll(12, 0.25);
            run(roll, fleet, 100_000);
            assertEquals(RollingRestart.RolloutPhase.STOPPED, roll.phase());
            assertTrue(roll.completed().size() + roll.restarting().size() <= 2, "stopped at " + roll.completed());
            String expected =
                    new String[] {"keeps dying", "is not warm 10 s", "operations a second are turned away"}[bad];
            assertTrue(roll.reason().contains(expected), roll.reason());
            assertTrue(roll.nextBatch(Duration.ofHours(1), fleet.seen()).isEmpty());
        }
    }

    @Test
    void aMachineThatIsLostMeanwhileCountsAndItWaits() {
        Fleet fleet = new Fleet(16);
        RollingRestart roll = roll(16, 0.25);
        run(roll, fleet, 12_000);
        int done = roll.completed().size();
        assertTrue(done > 0 && done < 8);
        fleet.deadHost[3] = true;
        run(roll, fleet, 60_000);
        assertEquals(RollingRestart.RolloutPhase.RESTARTING, roll.phase());
        assertTrue(roll.reason().contains("waiting"), roll.reason());
        int stood = roll.completed().size();
        fleet.deadHost[3] = false;
        run(roll, fleet, 300_000);
        assertEquals(RollingRestart.RolloutPhase.DONE, roll.phase(), roll.reason());
        assertTrue(stood <= done + 2);
    }
}
