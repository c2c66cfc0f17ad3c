package merlinlever.fleet.replication;

import static merlinlever.fleet.replication.ReplicationFixture.bytes;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import merlinlever.fleet.replication.SharedStore.VersionConflict;
import merlinlever.testing.faults.ReplicationModel;
import org.junit.jupiter.api.Test;

class VersionConflictTest {

    private static VersionedEntry siteEntry(long sequence, String value) {
        return new VersionedEntry("site", "table", 4, sequence, bytes(value));
    }

    @Test
    void conflictingValuesAreReportedAndNotServedUntilAHigherVersion() {
        ReplicationModel fleet = new ReplicationModel(6, 4, ReplicationFixture.SHORT_RETENTION);
        List<VersionConflict> reported = new ArrayList<>();
        fleet.replicas[3].addListener(new SharedStore.EntryListener() {
            @Override
            public void entryReceived(Duration now, VersionedEntry entry) {}

            @Override
            public void conflictDetected(Duration now, VersionConflict conflict) {
                reported.add(conflict);
            }
        });
        fleet.partition[2] = 1;
        fleet.partition[3] = 1;
        assertTrue(fleet.replicas[0].relay(fleet.clock(0), siteEntry(7, "one")));
        assertTrue(fleet.replicas[2].relay(fleet.clock(2), siteEntry(7, "two")));
        assertFalse(fleet.replicas[2].relay(fleet.clock(2), siteEntry(6, "older")));
        fleet.run(2000);
        assertTrue(fleet.replicas[1].get("site", "table").isPresent()
                && fleet.replicas[3].get("site", "table").isPresent());
        fleet.heal();
        fleet.run(4000);
        List<String> digests = Stream.of("one", "two")
                .map(value -> StoredEntry.digest(bytes(value)))
                .sorted()
                .toList();
        VersionConflict conflict = new VersionConflict("site", "table", 4, 7, digests.get(0), digests.get(1));
        for (int i = 0; i < 4; i++) {
            assertEquals(List.of(conflict), fleet.replicas[i].conflicts(), "at b" + i);
            assertTrue(fleet.replicas[i].get("site", "table").isEmpty()
                    && fleet.replicas[i].entries("table").isEmpty());
            assertFalse(
                    fleet.replicas[i].relay(fleet.clock(i), siteEntry(7, "one")),
                    "a conflicting value must not be accepted again");
        }
        assertEquals(List.of(conflict), reported);
        assertTrue(fleet.areEqual());
        assertTrue(fleet.replicas[1].relay(fleet.clock(1), siteEntry(8, "three")));
        fleet.run(4000);
        for (int i = 0; i < 4; i++) {
            assertEquals(List.of(), fleet.replicas[i].conflicts());
            assertArrayEquals(
                    bytes("three"),
                    fleet.replicas[i].get("site", "table").orElseThrow().value());
        }
    }
}
