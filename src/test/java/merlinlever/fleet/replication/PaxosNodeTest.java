package merlinlever.fleet.replication;

import static merlinlever.fleet.replication.ReplicationFixture.bytes;
import static merlinlever.fleet.replication.ReplicationFixture.text;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class PaxosNodeTest {

    private static final int REGISTERS = 3;
    /** Time after which a fleet without state files votes. */
    private static final int FIRST_RECOVERY_MS = 13_000;

    private static PaxosFleet startedFleet(long seed, int voterCount, int size) {
        PaxosFleet fleet = new PaxosFleet(seed, voterCount, size);
        fleet.run(FIRST_RECOVERY_MS);
        return fleet;
    }

    private static void propose(PaxosFleet fleet, int i, String register, String value) {
        fleet.nodes[i].propose(fleet.clock(i), register, bytes(value));
    }

    @Test
    void eachRegisterGetsOneValueDespiteFaults() {
        int chosenUnderFaults = 0;
        for (int seed = 0; seed < Integer.getInteger("merlinlever.seeds", 40); seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int voterCount = random.nextBoolean() ? 3 : 5;
            PaxosFleet fleet = startedFleet(seed, voterCount, voterCount + 1);
            Map<String, Set<String>> chosen = new TreeMap<>();
            long diskLostUntilMs = 0;
            for (int step = 0; step < 2500; step++) {
                int i = random.nextInt(voterCount);
                switch (random.nextInt(120)) {
                    case 0 -> fleet.makeLeader(i, 200 + random.nextInt(8000));
                    case 1 -> fleet.start(i);
                    case 2 -> {
                        // Only one voter at a time loses its disk, until it has recovered its state from the others.
                        if (fleet.nowMs > diskLostUntilMs) {
                            diskLostUntilMs = fleet.nowMs + 30_000;
                            fleet.disks[i] = null;
                            fleet.start(i);
                        }
                    }
                    case 3 -> Arrays.setAll(fleet.partition, k -> random.nextInt(2));
                    case 4, 5 -> Arrays.fill(fleet.partition, 0);
                    case 6 -> fleet.lossRate = random.nextDouble() * 0.4;
                    default -> propose(fleet, i, "r" + random.nextInt(REGISTERS), "b" + i + "at" + fleet.nowMs);
                }
                fleet.step();
                assertOneValuePerRegister(fleet, chosen, seed);
            }
            chosenUnderFaults += chosen.size();
            healAndWriteAllRegisters(fleet);
            assertOneValuePerRegister(fleet, chosen, seed);
            assertAllNodesKnowAllRegisters(fleet, seed);
        }
        assertTrue(chosenUnderFaults > 40, "too few registers chosen under faults: " + chosenUnderFaults);
    }

    private static void healAndWriteAllRegisters(PaxosFleet fleet) {
        fleet.lossRate = 0;
        Arrays.fill(fleet.partition, 0);
        fleet.makeLeader(0, 1_000_000);
        fleet.run(15_000);
        for (int r = 0; r < REGISTERS; r++) {
            propose(fleet, 0, "r" + r, "last");
        }
        fleet.run(8000);
    }

    private static void assertAllNodesKnowAllRegisters(PaxosFleet fleet, int seed) {
        for (PaxosNode node : fleet.nodes) {
            for (int r = 0; r < REGISTERS; r++) {
                assertTrue(
                        node.chosen("r" + r).isPresent(),
                        "seed " + seed + ": not all nodes have learned r" + r + " " + node.statusJson());
            }
            assertTrue(node.statusJson().contains("\"conflicts\":0"));
        }
    }

    private static void assertOneValuePerRegister(PaxosFleet fleet, Map<String, Set<String>> chosen, int seed) {
        for (PaxosNode node : fleet.nodes) {
            for (int r = 0; r < REGISTERS; r++) {
                String register = "r" + r;
                node.chosen(register).ifPresent(value -> chosen.computeIfAbsent(register, missing -> new HashSet<>())
                        .add(text(value)));
            }
        }
        chosen.forEach(
                (register, values) -> assertEquals(1, values.size(), "seed " + seed + ", " + register + ": " + values));
    }

    @Test
    void onlyALeaderThatMayDecideWrites() {
        PaxosFleet fleet = startedFleet(1, 3, 3);
        propose(fleet, 0, "end", "a");
        fleet.run(2000);
        assertTrue(fleet.nodes[0].chosen("end").isEmpty(), "the node is not the leader");
        fleet.makeLeader(0, 100_000);
        fleet.mayDecide = false;
        propose(fleet, 0, "end", "a");
        fleet.run(2000);
        assertTrue(fleet.nodes[0].chosen("end").isEmpty(), "the leader is in a minority");
        fleet.mayDecide = true;
        propose(fleet, 0, "end", "a");
        fleet.step();
        fleet.leaderUntilMs[0] = 0;
        fleet.run(2000);
        assertTrue(fleet.nodes[0].chosen("end").isEmpty(), "the leader lost its leadership after the proposal");
        fleet.makeLeader(1, 100_000);
        propose(fleet, 1, "end", "b");
        fleet.run(3000);
        for (PaxosNode node : fleet.nodes) {
            assertArrayEquals(bytes("b"), node.chosen("end").orElseThrow());
        }
    }

    @Test
    void laterLeaderKeepsAValueThatMayHaveBeenChosen() {
        PaxosFleet fleet = startedFleet(4, 3, 3);
        fleet.disksBlocked = true;
        fleet.partition[2] = 1;
        fleet.makeLeader(0, 1_000_000);
        propose(fleet, 0, "end", "a");
        fleet.run(4000);
        assertTrue(fleet.nodes[0].chosen("end").isEmpty());
        assertTrue(
                fleet.nodes[1].statusJson().contains("\"begun\":0"), "no promise is on disk, so no value is proposed");
        fleet.disksBlocked = false;
        while (!fleet.nodes[1].statusJson().contains("\"begun\":1")) {
            fleet.step();
        }
        // b1 writes the accepted value to disk, but its answer is lost: b0 doesn't learn that the value is chosen.
        fleet.partition[0] = 2;
        fleet.run(300);
        assertTrue(fleet.nodes[0].chosen("end").isEmpty());
        fleet.dropDatagrams();
        fleet.leaderUntilMs[0] = 0;
        fleet.partition[2] = 0;
        fleet.start(1);
        fleet.makeLeader(2, 1_000_000);
        propose(fleet, 2, "end", "c");
        fleet.run(3000);
        assertArrayEquals(bytes("a"), fleet.nodes[2].chosen("end").orElseThrow());
    }

    @Test
    void voterThatLostItsDiskRecoversBeforeItVotes() {
        PaxosFleet fleet = startedFleet(2, 3, 3);
        fleet.makeLeader(0, 1_000_000);
        // b0 and b1 choose a value; then b1 loses its disk and b0 is cut off. b1 and b2 must not choose another value.
        fleet.partition[2] = 1;
        propose(fleet, 0, "end", "a");
        fleet.run(1000);
        assertTrue(fleet.nodes[0].chosen("end").isPresent());
        fleet.disks[1] = null;
        fleet.start(1);
        Arrays.fill(fleet.partition, 0);
        fleet.partition[0] = 1;
        fleet.makeLeader(2, 1_000_000);
        propose(fleet, 2, "end", "c");
        fleet.run(30_000);
        assertTrue(fleet.nodes[2].chosen("end").isEmpty()
                && fleet.nodes[1].statusJson().contains("\"votes\":false"));
        fleet.partition[0] = 0;
        fleet.run(5000);
        assertArrayEquals(bytes("a"), fleet.nodes[2].chosen("end").orElseThrow());
        assertTrue(fleet.nodes[1].statusJson().contains("\"votes\":true"));
    }
}
