package merlinlever.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Runs members on a virtual clock and a network that loses, delays, duplicates and partitions messages. */
class SwimProtocolTest {

    private static final int SEEDS = Integer.getInteger("members.seeds", 1000);

    private static final class VirtualNetwork {
        private static final int TICK_MS = 50;

        final SplittableRandom random;
        final SwimProtocol[] members;
        final boolean[] running;
        final boolean[] paused;
        final TreeMap<Long, List<Runnable>> scheduled = new TreeMap<>();
        /** Side of the network partition by member. */
        final int[] side;

        long nowMs;
        int lossPercent;

        VirtualNetwork(long seed, int count) {
            random = new SplittableRandom(seed);
            members = new SwimProtocol[count];
            running = new boolean[count];
            paused = new boolean[count];
            side = new int[count];
            for (int i = 0; i < count; i++) {
                start(i);
            }
        }

        Duration now() {
            return Duration.ofMillis(nowMs);
        }

        void start(int i) {
            members[i] = new SwimProtocol(
                    now(),
                    new MemberTable("n" + i, "g" + i, "p" + i, 0),
                    SwimSettings.defaults(List.of("g0", "g1")),
                    random.split(),
                    line -> {});
            running[i] = true;
        }

        void run(long durationMs) {
            for (long end = nowMs + durationMs; nowMs < end; ) {
                nowMs += TICK_MS;
                while (!scheduled.isEmpty() && scheduled.firstKey() <= nowMs) {
                    scheduled.pollFirstEntry().getValue().forEach(Runnable::run);
                }
                for (int i = 0; i < members.length; i++) {
                    if (running[i] && !paused[i]) {
                        send(i, members[i].tick(now()));
                    }
                }
            }
        }

        void schedule(long atMs, Runnable task) {
            scheduled.computeIfAbsent(atMs, absent -> new ArrayList<>()).add(task);
        }

        void send(int sender, List<OutboundDatagram> datagrams) {
            for (OutboundDatagram datagram : datagrams) {
                int recipient = Integer.parseInt(datagram.address().substring(1));
                for (int copies = random.nextInt(50) == 0 ? 2 : 1; copies > 0; copies--) {
                    if (side[sender] == side[recipient] && random.nextInt(100) >= lossPercent) {
                        long atMs = nowMs + 1 + random.nextInt(random.nextInt(20) == 0 ? 600 : 30);
                        schedule(atMs, () -> deliver(sender, recipient, datagram.message()));
                    }
                }
            }
        }

        void deliver(int sender, int recipient, MembershipMessage message) {
            if (!running[recipient] || side[sender] != side[recipient]) {
                return;
            }
            if (paused[recipient]) {
                schedule(nowMs + TICK_MS, () -> deliver(sender, recipient, message));
                return;
            }
            members[recipient].receive(now(), "g" + sender, message);
            send(recipient, members[recipient].tick(now()));
        }

        MemberStatus status(int observer, int subject) {
            return members[observer]
                    .memberTable()
                    .find("n" + subject)
                    .orElseThrow()
                    .status();
        }

        void assertAllSee(MemberStatus expected, int subject, String when) {
            for (int i = 0; i < members.length; i++) {
                if (i != subject && running[i] && !paused[i]) {
                    assertEquals(expected, status(i, subject), when + ": n" + i + " about n" + subject);
                }
            }
        }
    }

    @Test
    void failuresAreDetectedAndLiveMembersRecoverFromPausesAndPartitions() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            try {
                runScenario(seed);
            } catch (AssertionError e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }

    private static void runScenario(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        VirtualNetwork network = new VirtualNetwork(seed, 3 + random.nextInt(5));
        int count = network.members.length;
        network.lossPercent = random.nextInt(3) * 10;
        network.run(20_000);
        for (int i = 0; i < count; i++) {
            assertEquals(count, network.members[i].memberTable().size(), "number of known members");
        }
        switch (random.nextInt(4)) {
            case 0 -> killAndRestart(network, 1 + random.nextInt(count - 1));
            case 1 -> partition(network, 1 + random.nextInt(count - 1));
            case 2 -> pause(network, random.nextInt(count));
            default -> leaveAndRestart(network, 1 + random.nextInt(count - 1));
        }
        network.lossPercent = 0;
        network.run(90_000);
        for (int i = 0; i < count; i++) {
            network.assertAllSee(MemberStatus.ALIVE, i, "after recovery");
        }
    }

    private static void killAndRestart(VirtualNetwork network, int killed) {
        network.running[killed] = false;
        network.run(60_000);
        network.assertAllSee(MemberStatus.DEAD, killed, "after the kill");
        network.start(killed);
    }

    private static void partition(VirtualNetwork network, int otherSide) {
        Arrays.fill(network.side, 0, otherSide, 1);
        network.run(60_000);
        Arrays.fill(network.side, 0);
    }

    /** Pauses a member; afterwards the member and its peers must consider each other alive again. */
    private static void pause(VirtualNetwork network, int paused) {
        network.paused[paused] = true;
        network.run(45_000);
        network.paused[paused] = false;
    }

    private static void leaveAndRestart(VirtualNetwork network, int leaving) {
        network.members[leaving].leave(network.now());
        network.send(leaving, network.members[leaving].tick(network.now()));
        network.running[leaving] = false;
        network.run(40_000);
        for (int i = 0; i < network.members.length; i++) {
            if (i != leaving) {
                MemberStatus status = network.status(i, leaving);
                assertTrue(
                        status == MemberStatus.LEFT || status == MemberStatus.DEAD, "status after leaving: " + status);
            }
        }
        network.start(leaving);
    }
}
