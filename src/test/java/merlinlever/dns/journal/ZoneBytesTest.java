package merlinlever.dns.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayDeque;
import java.util.List;
import merlinlever.compatibility.Fixture;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.Rdata;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.state.Zone;
import org.junit.jupiter.api.Test;

/** A zone's files: the snapshot, the journal that goes on from it, and what is read back from both. */
class ZoneBytesTest {

    private final ArrayDeque<Runnable> work = new ArrayDeque<>();
    private final Fixture fixture = new Fixture("zone.txt");

    private ZoneStore store(InMemoryStateDirectory folder, byte[] origin) {
        return new ZoneStore(folder, origin, work::add, work::add, Runnable::run, line -> {}, 2, 600);
    }

    private void work() {
        while (!work.isEmpty()) {
            work.poll().run();
        }
    }

    @Test
    void theSnapshotAndTheJournal() throws Exception {
        byte[] origin = DomainNames.absolute("example.org.");
        Zone zone = Zone.of(
                origin,
                List.of(
                        new ResourceRecord(
                                origin,
                                RecordTypes.SOA,
                                60,
                                Rdata.fromText(
                                        RecordTypes.SOA, List.of("ns", "host", "1", "1", "1", "1", "1"), origin)),
                        new ResourceRecord(origin, RecordTypes.NS, 60, DomainNames.absolute("ns.example.org."))));
        InMemoryStateDirectory folder = new InMemoryStateDirectory();
        ZoneStore store = store(folder, origin);
        assertNull(store.recover(origin));
        store.initialize(zone);
        for (int i = 1; i <= 3; i++) {
            DynamicUpdate.UpdateResult outcome = DynamicUpdate.apply(
                    zone,
                    List.of(),
                    List.of(new UpdateEntry(
                            DomainNames.absolute("n" + i + ".example.org."),
                            RecordTypes.A,
                            RecordTypes.IN,
                            60,
                            new byte[] {10, 0, 0, (byte) i})));
            zone = outcome.zone();
            store.append(1_700_000_000L + i, new byte[] {(byte) i, 7}, outcome.difference(), well -> {});
            work();
            if (store.isSnapshotDue()) {
                store.snapshot(zone, 1_700_000_010L);
                work();
            }
        }
        assertEquals(List.of("example.org..journal.0000000000000002", "example.org..snapshot"), folder.fileNames());
        InMemoryStateDirectory before = new InMemoryStateDirectory();
        for (String name : folder.fileNames()) {
            fixture.assertMatches(name, folder.read(name));
            before.put(name, fixture.bytes(name));
        }
        ZoneStore.RecoveredZone recovered = store(before, origin).recover(origin);
        assertEquals(zone.serial(), recovered.zone().serial());
        assertEquals(zone.records(), recovered.zone().records());
        assertEquals(3, recovered.replayKeys().size());
    }
}
