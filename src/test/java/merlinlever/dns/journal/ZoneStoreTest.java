package merlinlever.dns.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.common.storage.StateDirectory;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.Rdata;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.Difference;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.state.Zone;
import org.junit.jupiter.api.Test;

/** The journal on a disk in memory that is killed, filled and spoilt at every place. */
class ZoneStoreTest {

    private final byte[] origin = name("example.org.");
    private final List<String> trouble = new ArrayList<>();
    private final ArrayDeque<Runnable> disk = new ArrayDeque<>();
    private final ArrayDeque<Runnable> snapshots = new ArrayDeque<>();

    private static byte[] name(String text) {
        try {
            return DomainNames.absolute(text);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private Zone zone() throws Exception {
        return Zone.of(
                origin,
                List.of(
                        new ResourceRecord(
                                origin,
                                RecordTypes.SOA,
                                60,
                                Rdata.fromText(
                                        RecordTypes.SOA, List.of("ns", "host", "1", "1", "1", "1", "1"), origin)),
                        new ResourceRecord(origin, RecordTypes.NS, 60, name("ns.example.org."))));
    }

    private ZoneStore store(StateDirectory folder, int snapshotAfter) {
        return new ZoneStore(
                folder,
                origin,
                disk::add,
                snapshots::add,
                Runnable::run,
                event -> trouble.add(event.text()),
                snapshotAfter,
                600);
    }

    private void work() {
        while (!disk.isEmpty() || !snapshots.isEmpty()) {
            (disk.isEmpty() ? snapshots : disk).poll().run();
        }
    }

    private static DynamicUpdate.UpdateResult changed(Zone zone, int i) {
        return DynamicUpdate.apply(
                zone,
                List.of(),
                List.of(new UpdateEntry(name("n" + i + ".example.org."), RecordTypes.A, RecordTypes.IN, 60, new byte[] {
                    10, 0, 0, (byte) i
                })));
    }

    private static boolean same(Zone a, Zone b) {
        return a.serial() == b.serial() && Difference.between(a, b).records() == 2;
    }

    @Test
    void afterAKillAtAnyOctetExactlyTheAnsweredUpdatesAreThere() throws Exception {
        InMemoryStateDirectory folder = new InMemoryStateDirectory();
        ZoneStore store = store(folder, 1000);
        assertNull(store.recover(origin));
        Zone zone = zone();
        store.initialize(zone);
        List<Zone> answered = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            DynamicUpdate.UpdateResult outcome = changed(zone, i);
            zone = outcome.zone();
            Zone made = zone;
            store.append(0, new byte[] {(byte) i}, outcome.difference(), well -> answered.add(made));
            if (i == 2) {
                work();
            }
        }
        // Four are answered; the disk is at work on the last two, which leave in one write.
        disk.poll().run();
        assertEquals(4, answered.size());
        Zone last = answered.get(3);
        disk.poll().run();
        byte[] journal = folder.read("example.org..journal.0000000000000000");
        int forced = 0;
        List<JournalFormat.JournalEntry> steps =
                JournalRecovery.read("j", journal).entries();
        for (int i = 0, at = JournalFormat.HEADER; i < 6; i++) {
            forced = i == 4 ? at : forced;
            at += JournalFormat.FRONT + JournalFormat.lengthAt(journal, at);
        }
        assertEquals(6, steps.size());
        for (int length = forced; length <= journal.length; length++) {
            InMemoryStateDirectory left = folder.after(0);
            left.put("example.org..journal.0000000000000000", java.util.Arrays.copyOf(journal, length));
            ZoneStore.RecoveredZone recovered = store(left, 1000).recover(origin);
            assertTrue(
                    recovered.differences().size() >= 4
                            && recovered.differences().size() <= 6,
                    "at " + length);
            assertTrue(recovered.differences().size() > 4 || same(last, recovered.zone()));
            assertEquals(recovered.differences().size(), recovered.replayKeys().size());
        }
        // Of one write any page may have got there without those before it: still no spoilt middle.
        for (int at = forced; at < journal.length; at++) {
            byte[] torn = journal.clone();
            torn[at] ^= 0x40;
            InMemoryStateDirectory left = folder.after(0);
            left.put("example.org..journal.0000000000000000", torn);
            assertTrue(store(left, 1000).recover(origin).differences().size() >= 4, "at " + at);
        }
    }

    @Test
    void whatWasForcedAndIsSpoiltIsRefusedWithItsPlace() throws Exception {
        InMemoryStateDirectory folder = new InMemoryStateDirectory();
        ZoneStore store = store(folder, 1000);
        store.recover(origin);
        Zone zone = zone();
        store.initialize(zone);
        for (int i = 0; i < 4; i++) {
            DynamicUpdate.UpdateResult outcome = changed(zone, i);
            zone = outcome.zone();
            store.append(0, new byte[0], outcome.difference(), well -> {});
            work();
        }
        String name = "example.org..journal.0000000000000000";
        byte[] journal = folder.read(name);
        int lastEntry = JournalFormat.HEADER;
        for (int i = 0; i < 3; i++) {
            lastEntry += JournalFormat.FRONT + JournalFormat.lengthAt(journal, lastEntry);
        }
        for (int at = 0; at < lastEntry; at++) {
            byte[] bad = journal.clone();
            bad[at] ^= 1;
            InMemoryStateDirectory left = folder.after(0);
            left.put(name, bad);
            String said = assertThrows(
                            ZoneStore.UnusableStateException.class,
                            () -> store(left, 1000).recover(origin),
                            "at " + at)
                    .getMessage();
            assertTrue(said.contains("spoilt"), said);
        }
        byte[] snapshot = folder.read("example.org..snapshot");
        for (int at = 0; at < snapshot.length; at++) {
            byte[] bad = snapshot.clone();
            bad[at] ^= 1;
            InMemoryStateDirectory left = folder.after(0);
            left.put("example.org..snapshot", bad);
            assertThrows(ZoneStore.UnusableStateException.class, () -> store(left, 1000)
                    .recover(origin));
        }
        InMemoryStateDirectory left = folder.after(0);
        left.delete("example.org..snapshot");
        assertThrows(
                ZoneStore.UnusableStateException.class, () -> store(left, 1000).recover(origin));
    }

    @Test
    void aFullDiskTurnsAwayAllThatStoodOnItAndWorksAgainLater() throws Exception {
        InMemoryStateDirectory folder = new InMemoryStateDirectory();
        ZoneStore store = store(folder, 1000);
        store.recover(origin);
        Zone zone = zone();
        store.initialize(zone);
        folder.room = 100;
        List<Boolean> heard = new ArrayList<>();
        Zone staged = zone;
        for (int i = 0; i < 3; i++) {
            DynamicUpdate.UpdateResult outcome = changed(staged, i);
            staged = outcome.zone();
            store.append(0, new byte[0], outcome.difference(), heard::add);
        }
        work();
        assertEquals(List.of(false, false, false), heard);
        assertEquals(1, trouble.size());
        assertTrue(same(zone, store(folder.after(1000), 1000).recover(origin).zone()));
        folder.room = Long.MAX_VALUE;
        store.append(0, new byte[0], changed(zone, 9).difference(), heard::add);
        work();
        assertTrue(heard.get(3));
        assertTrue(same(
                changed(zone, 9).zone(),
                store(folder.after(0), 1000).recover(origin).zone()));
    }

    @Test
    void snapshotsBoundTheJournalAndAKillBetweenAnyTwoStepsLosesNothing() throws Exception {
        SplittableRandom chance = new SplittableRandom(3);
        for (int round = 0; round < 300; round++) {
            InMemoryStateDirectory folder = new InMemoryStateDirectory();
            disk.clear();
            snapshots.clear();
            ZoneStore store = store(folder, 3);
            store.recover(origin);
            Zone[] answered = {zone()};
            Zone staged = answered[0];
            store.initialize(staged);
            int steps = chance.nextInt(60);
            for (int i = 0; i < steps; i++) {
                int what = chance.nextInt(3);
                if (what == 0) {
                    DynamicUpdate.UpdateResult outcome = changed(staged, i);
                    staged = outcome.zone();
                    Zone made = staged;
                    store.append(0, new byte[0], outcome.difference(), well -> {
                        answered[0] = made;
                        if (store.isSnapshotDue()) {
                            store.snapshot(answered[0], 0);
                        }
                    });
                } else if (!(what == 1 ? disk : snapshots).isEmpty()) {
                    (what == 1 ? disk : snapshots).poll().run();
                }
            }
            InMemoryStateDirectory left = folder.after(0);
            ZoneStore.RecoveredZone recovered = store(left, 3).recover(origin);
            assertNotNull(recovered);
            assertTrue(same(answered[0], recovered.zone()), "round " + round);
            work();
            assertTrue(
                    folder.fileNames().size() <= 3 || !store.isIdle(),
                    folder.fileNames().toString());
            assertFalse(folder.fileNames().contains("example.org..snapshot.new"));
        }
    }
}
