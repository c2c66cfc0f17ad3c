package merlinlever.fleet.replication;

import static merlinlever.fleet.replication.ReplicationFixture.bytes;
import static merlinlever.fleet.replication.ReplicationFixture.singleReplica;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReplicatedStoreTest {

    @Test
    void pausedReplicaDropsForeignEntriesAndRejectsStaleMessagesFromItsBuffers() {
        ReplicatedStore store = singleReplica("b0", "b1");
        store.put(Duration.ZERO, "own", bytes("m"));
        StoredEntry foreignEntry = StoredEntry.of(new VersionedEntry("b1", "foreign", 1, 1, bytes("t")), Duration.ZERO);
        byte[] message = GossipCodec.encodeEntries(Duration.ZERO, List.of(foreignEntry));
        store.receive(Duration.ZERO, "b1", message);
        assertTrue(store.get("b1", "foreign").isPresent());
        // The replica detects a pause of half the retention by its own clock. If the clock stopped as well, other
        // replicas report the pause, and discardForeignEntries is called.
        store.tick(Duration.ofSeconds(31));
        assertTrue(
                store.get("b1", "foreign").isEmpty() && store.get("b0", "own").isPresent());
        store.receive(Duration.ofSeconds(31), "b1", message);
        assertTrue(store.get("b1", "foreign").isPresent(), "a message that may have waited for 31 s is not too old");
        store.tick(Duration.ofSeconds(32));
        store.discardForeignEntries(Duration.ofSeconds(33));
        assertTrue(
                store.get("b1", "foreign").isEmpty() && store.get("b0", "own").isPresent());
    }

    @Test
    void ageOfAMessageReadAfterAPauseIncludesThePause() {
        StoredEntry entry = StoredEntry.of(new VersionedEntry("b1", "foreign", 1, 1, bytes("t")), Duration.ZERO);
        byte[] message = GossipCodec.encodeEntries(Duration.ZERO, List.of(entry));
        ReplicatedStore store = singleReplica("b2", "b1");
        store.tick(Duration.ofSeconds(55));
        store.receive(Duration.ofMillis(55_100), "b1", message);
        assertTrue(store.get("b1", "foreign").isEmpty(), "a message that may have waited for 55 of 60 s is too old");
        store.tick(Duration.ofMillis(56_100));
        store.receive(Duration.ofMillis(56_200), "b1", message);
        assertTrue(store.get("b1", "foreign").isPresent(), "a message read a second later has not waited");
    }

    @Test
    void ownTopicsAndBytesAreLimited() {
        ReplicatedStore store = singleReplica("b0");
        assertFalse(store.put(Duration.ZERO, "t", new byte[VersionedEntry.MAX_VALUE_BYTES + 1]));
        assertFalse(store.put(Duration.ZERO, "with space", bytes("x")));
        int count = 0;
        while (count < 100 && store.put(Duration.ZERO, "t" + count, new byte[3000])) {
            count++;
        }
        assertEquals(OwnEntries.MAX_TOPICS, count);
        assertFalse(store.put(Duration.ZERO, "t0", new byte[VersionedEntry.MAX_VALUE_BYTES])
                && store.put(Duration.ZERO, "t1", new byte[VersionedEntry.MAX_VALUE_BYTES])
                && store.put(Duration.ZERO, "t2", new byte[VersionedEntry.MAX_VALUE_BYTES])
                && store.put(Duration.ZERO, "t3", new byte[VersionedEntry.MAX_VALUE_BYTES])
                && store.put(Duration.ZERO, "t4", new byte[VersionedEntry.MAX_VALUE_BYTES])
                && store.put(Duration.ZERO, "t5", new byte[VersionedEntry.MAX_VALUE_BYTES]));
    }

    private static int relayMany(ReplicatedStore store, byte[] value) {
        int count = 0;
        while (count < 3000 && store.relay(Duration.ZERO, new VersionedEntry("s" + count, "table", 1, 1, value))) {
            count++;
        }
        return count;
    }

    @Test
    void fullTableAcceptsOnlyNewVersionsOfStoredEntries() {
        ReplicatedStore store = singleReplica("b1");
        assertEquals(EntryTable.MAX_ENTRIES, relayMany(store, bytes("x")));
        assertTrue(
                store.relay(Duration.ZERO, new VersionedEntry("s0", "table", 1, 2, bytes("newer"))),
                "a full table must accept a newer version of a stored entry");
    }

    @Test
    void totalBytesAreLimited() {
        int count = relayMany(singleReplica("b2"), new byte[VersionedEntry.MAX_VALUE_BYTES]);
        assertTrue(count >= 500 && count <= 512, "number of entries in 8 MiB: " + count);
    }
}
