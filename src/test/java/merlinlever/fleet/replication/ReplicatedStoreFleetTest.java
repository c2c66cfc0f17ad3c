package merlinlever.fleet.replication;

import static merlinlever.fleet.replication.ReplicationFixture.SHORT_RETENTION;
import static merlinlever.fleet.replication.ReplicationFixture.bytes;
import static merlinlever.fleet.replication.ReplicationFixture.text;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import merlinlever.testing.faults.ReplicationModel;
import org.junit.jupiter.api.Test;

/** Convergence of fleets of replicas on a simulated network with faults. */
class ReplicatedStoreFleetTest {

    private static final int TOPICS = 3;

    @Test
    void replicasConvergeToTheLastWritesAfterAnyFaults() {
        for (int seed = 0; seed < Integer.getInteger("merlinlever.seeds", 25); seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int size = 2 + random.nextInt(7);
            ReplicationModel fleet = new ReplicationModel(seed, size, SHORT_RETENTION);
            List<TreeMap<String, String>> lastWrites = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                lastWrites.add(new TreeMap<>());
            }
            for (int step = 0; step < 1500; step++) {
                if (random.nextInt(80) == 0) {
                    fleet.injectRandomFault();
                }
                int i = random.nextInt(size);
                if (fleet.isUp(i) && random.nextInt(10) == 0) {
                    writeOrRemove(fleet, i, random, step, lastWrites.get(i));
                }
                fleet.step();
            }
            fleet.heal();
            fleet.run(8000);
            for (int i = 0; i < size; i++) {
                rewriteLastValues(fleet, i, lastWrites.get(i));
            }
            fleet.run(8000);
            assertTrue(fleet.areEqual(), "seed " + seed + ": the replicas differ");
            assertAllReplicasHold(fleet, lastWrites, seed);
        }
    }

    private static void writeOrRemove(
            ReplicationModel fleet, int i, SplittableRandom random, int step, TreeMap<String, String> lastWrites) {
        String topic = "t" + random.nextInt(TOPICS);
        String value = "v" + step + "x".repeat(random.nextInt(40) == 0 ? 3000 : 1);
        if (random.nextInt(4) == 0) {
            fleet.replicas[i].remove(fleet.clock(i), topic);
            lastWrites.remove(topic);
        } else if (fleet.replicas[i].put(fleet.clock(i), topic, bytes(value))) {
            lastWrites.put(topic, value);
        }
    }

    /** Writes the expected values again, above any newer versions that earlier processes of the backend published. */
    private static void rewriteLastValues(ReplicationModel fleet, int i, TreeMap<String, String> lastWrites) {
        for (int topic = 0; topic < TOPICS; topic++) {
            String value = lastWrites.get("t" + topic);
            if (value == null) {
                fleet.replicas[i].remove(fleet.clock(i), "t" + topic);
            } else {
                assertTrue(fleet.replicas[i].put(fleet.clock(i), "t" + topic, bytes(value)));
            }
        }
    }

    private static void assertAllReplicasHold(
            ReplicationModel fleet, List<TreeMap<String, String>> lastWrites, int seed) {
        for (int i = 0; i < lastWrites.size(); i++) {
            for (int k = 0; k < lastWrites.size(); k++) {
                for (int topic = 0; topic < TOPICS; topic++) {
                    String value = fleet.replicas[k]
                            .get("b" + i, "t" + topic)
                            .map(entry -> text(entry.value()))
                            .orElse(null);
                    assertEquals(
                            lastWrites.get(i).get("t" + topic),
                            value,
                            "seed " + seed + ": entry of b" + i + " at b" + k);
                }
            }
        }
    }

    private static long count(ReplicatedStore replica) {
        return replica.get("b0", "count")
                .map(entry -> Long.parseLong(text(entry.value())))
                .orElse(0L);
    }

    @Test
    void restartedOwnerNeverPublishesLessThanOthersReceivedBefore() {
        for (int seed = 0; seed < 20; seed++) {
            ReplicationModel fleet = new ReplicationModel(seed, 4, SHORT_RETENTION);
            SplittableRandom random = new SplittableRandom(seed);
            long received = 0;
            for (int step = 0; step < 2000; step++) {
                if (random.nextInt(200) == 0) {
                    fleet.kill(0, random.nextInt(2000), false);
                }
                if (fleet.isUp(0)) {
                    // Like a counter, the process continues from the value of the previous process.
                    long count = count(fleet.replicas[0]);
                    assertTrue(
                            count >= received,
                            "seed " + seed + ": the owner continues from " + count + ", others have received "
                                    + received);
                    fleet.replicas[0].put(fleet.clock(0), "count", bytes("" + (count + 1)));
                }
                fleet.step();
                received = Math.max(received, count(fleet.replicas[1]));
            }
            assertTrue(received > 200, "too few values received: " + received);
        }
    }

    @Test
    void removedEntryNeverReappearsFromPausedOrPartitionedReplicas() {
        for (int seed = 0; seed < 12; seed++) {
            ReplicationModel fleet = new ReplicationModel(seed, 5, SHORT_RETENTION);
            for (int i = 0; i < 5; i++) {
                fleet.replicas[i].put(fleet.clock(i), "keep", bytes("k"));
            }
            fleet.replicas[0].put(fleet.clock(0), "gone", bytes("old"));
            fleet.run(5000);
            assertTrue(fleet.replicas[4].get("b0", "gone").isPresent());
            // Pauses one replica or partitions two, for less than the retention up to well over it.
            long absenceMs = 10_000 + 15_000L * seed;
            if (seed % 2 == 0) {
                fleet.pause(4, absenceMs);
            } else {
                fleet.partition[3] = 1;
                fleet.partition[4] = 1;
            }
            fleet.run(500);
            fleet.replicas[0].remove(fleet.clock(0), "gone");
            fleet.run(absenceMs);
            fleet.heal();
            fleet.run(300);
            for (int step = 0; step < 400; step++) {
                fleet.step();
                for (int i = 0; i < 3; i++) {
                    assertTrue(
                            fleet.replicas[i].get("b0", "gone").isEmpty(),
                            "seed " + seed + ": the removed entry is back at b" + i);
                }
            }
            assertTrue(fleet.areEqual(), "seed " + seed);
            assertTrue(
                    fleet.replicas[4].get("b0", "gone").isEmpty(),
                    "seed " + seed + ": the absent replica still holds the removed entry");
            assertTrue(
                    fleet.replicas[0].get("b4", "keep").isPresent()
                            && fleet.replicas[4].get("b0", "keep").isPresent(),
                    "refreshed entries must be kept");
        }
    }

    @Test
    void onlyEntriesOfDeadOwnersExpire() {
        ReplicationModel fleet = new ReplicationModel(5, 4, SHORT_RETENTION);
        List<String> expired = new ArrayList<>();
        fleet.replicas[1].addListener(new SharedStore.EntryListener() {
            @Override
            public void entryReceived(Duration now, VersionedEntry entry) {}

            @Override
            public void entryExpired(Duration now, String owner, String topic) {
                expired.add(owner + " " + topic);
            }
        });
        for (int i = 0; i < 4; i++) {
            fleet.replicas[i].put(fleet.clock(i), "count", bytes("c"));
        }
        fleet.run(3000);
        fleet.kill(3, 1_000_000, false);
        fleet.run(50_000);
        assertTrue(fleet.replicas[1].get("b3", "count").isPresent(), "the entry expired too early");
        fleet.run(15_000);
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    List.of("b0", "b1", "b2"),
                    fleet.replicas[i].entries("count").stream()
                            .map(VersionedEntry::owner)
                            .toList());
        }
        assertEquals(List.of("b3 count"), expired);
    }

    @Test
    void ownerThatLostItsDiskPublishesAboveItsEarlierVersions() {
        ReplicationModel fleet = new ReplicationModel(8, 3, SHORT_RETENTION);
        for (int k = 0; k < 9; k++) {
            fleet.replicas[0].put(fleet.clock(0), "count", bytes("former" + k));
            fleet.run(300);
        }
        fleet.kill(0, 100, true);
        // Runs up to the first step of the restarted replica, which has received no messages yet.
        fleet.run(100);
        assertTrue(fleet.replicas[0].get("b0", "count").isEmpty(), "the restarted replica still has an entry");
        fleet.replicas[0].put(fleet.clock(0), "count", bytes("now"));
        fleet.run(4000);
        assertArrayEquals(
                bytes("now"), fleet.replicas[2].get("b0", "count").orElseThrow().value());
        assertTrue(fleet.areEqual());
    }
}
