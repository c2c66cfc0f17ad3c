package merlinlever.fleet.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.QuorumStatus;
import merlinlever.testing.faults.QuotaModel;
import merlinlever.testing.faults.timeline.FixedFleetView;
import org.junit.jupiter.api.Test;

class QuotaCoordinatorTest {

    /** How many seeds; more of them where it is asked for outside CI. */
    private static final int SEEDS = Integer.getInteger("merlinlever.seeds", 60);

    private static FleetQuota callsPerSecond(long limit) {
        return new FleetQuota(
                "calls",
                "calls",
                limit,
                FleetQuota.QuotaKind.PER_SECOND,
                Duration.ofSeconds(2),
                0.01,
                Duration.ofSeconds(1),
                Map.of());
    }

    @Test
    void underAnyFaultsTheLimitIsNeverExceeded() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int backends = 2 + random.nextInt(7);
            QuotaModel fleet = new QuotaModel(seed, backends, callsPerSecond(1 + random.nextInt(60)));
            for (int step = 0; step < 3000; step++) {
                if (random.nextInt(60) == 0) {
                    fleet.trouble();
                }
                if (random.nextInt(40) == 0) {
                    fleet.wanted[random.nextInt(backends)][0] = random.nextInt(80);
                }
                fleet.step();
                assertTrue(
                        fleet.over <= 0,
                        "seed " + seed + ": " + fleet.over + " over the limit at " + fleet.now + " ms");
            }
        }
    }

    @Test
    void theQuotaIsUsedUpUnderLoadAndRedividedWithinSomeLeases() {
        QuotaModel fleet = new QuotaModel(5, 6, callsPerSecond(50));
        Arrays.stream(fleet.wanted).forEach(wanted -> wanted[0] = 30);
        for (int step = 0; step < 600; step++) {
            fleet.step();
        }
        fleet.used = 0;
        fleet.usable = 0;
        for (int step = 0; step < 600; step++) {
            fleet.step();
        }
        assertTrue(fleet.used >= 0.95 * fleet.usable, "used " + fleet.used + " of " + fleet.usable);
        // Only one wants any: some leases later it has nearly all of it, and the others hold little.
        for (int i = 1; i < 6; i++) {
            fleet.wanted[i][0] = 0;
        }
        fleet.wanted[0][0] = 200;
        for (int step = 0; step < 500; step++) {
            fleet.step();
        }
        long held = fleet.nodes[0].available(fleet.clock(0), 0);
        assertTrue(held >= 45, "held " + held);
        assertEquals(0, Math.max(0, fleet.over));
    }

    /** It grants nothing even to itself, and grants again when it is permitted to. */
    @Test
    void aLeaderGrantsOnlyWhileItsQuorumStatusPermits() {
        QuotaModel model = new QuotaModel(5, 3, callsPerSecond(100));
        AtomicReference<QuorumStatus> status = new AtomicReference<>(QuorumStatus.MINORITY);
        FleetView view = new FixedFleetView(now -> status.get());
        for (int i = 0; i < 3; i++) {
            model.nodes[i].setFleetView(view);
            model.wanted[i][0] = 50;
        }
        boolean hadLeader = false;
        for (int i = 0; i < 1000; i++) {
            model.step();
            hadLeader |= model.leader() >= 0;
            assertEquals(0, model.share(0) + model.share(1) + model.share(2));
        }
        assertTrue(hadLeader, "there was a leader all the while");
        status.set(QuorumStatus.MAJORITY);
        for (int i = 0; i < 500; i++) {
            model.step();
        }
        assertTrue(model.share(0) + model.share(1) + model.share(2) > 90);
    }
}
