package merlinlever.dns.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import merlinlever.common.log.EventLog;
import merlinlever.common.storage.StateDirectory;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.Difference;
import merlinlever.dns.state.Zone;

/**
 * The journal and snapshots of one zone. What comes while the disk is at work waits and leaves in one write with one
 * force. All calls come from one thread, all answers return to it; the disk's work is done on the executor for it.
 */
public final class ZoneStore {

    /** A message that a repeat is known by, with its time in Unix seconds. */
    public record TimedReplayKey(long unixSeconds, byte[] key) {}

    /** What lay on the disk. */
    public record RecoveredZone(
            Zone zone, List<Difference> differences, List<TimedReplayKey> replayKeys, String warnings) {}

    /** State that cannot be used; the message is one line for the operator. */
    public static final class UnusableStateException extends Exception {
        private static final long serialVersionUID = 1;

        UnusableStateException(String message) {
            super(message);
        }
    }

    /** An update that waits for the disk. */
    private record PendingUpdate(long at, byte[] mark, Difference difference, Consumer<Boolean> done) {}

    private static final int CHUNK = 1 << 16;

    private final StateDirectory folder;
    private final String name;
    private final Executor disk;
    private final Executor snapshots;
    private final Executor callerThread;
    private final EventLog faultLog;
    private final int snapshotAfter;
    /** How long marks are wanted, in seconds. */
    private final long replayWindowSeconds;

    // At home.
    private List<PendingUpdate> pendingUpdates = new ArrayList<>();
    private boolean writing, snapshotting;
    private int updatesSinceSnapshot;
    /** Of the last write, those that have not been told yet: no version that the caller has seen holds all of it. */
    private int unheard;

    private final List<TimedReplayKey> replayKeys = new ArrayList<>();
    private boolean failed;
    private int maxUpdatesPerWrite = Integer.MAX_VALUE;

    // On the disk's thread, one job at a time.
    private StateDirectory.AppendableFile journalFile;
    private long sequence;
    private long durableLength;
    private boolean hasTornTail;

    /**
     * @param callerThread runs things on the caller's thread
     * @param faultLog hears lines about the disk
     */
    public ZoneStore(
            StateDirectory folder,
            byte[] origin,
            Executor disk,
            Executor snapshots,
            Executor callerThread,
            EventLog faultLog,
            int snapshotAfter,
            long replayWindowSeconds) {
        this.folder = folder;
        this.name = JournalFormat.fileName(origin);
        this.disk = disk;
        this.snapshots = snapshots;
        this.callerThread = callerThread;
        this.faultLog = faultLog;
        this.snapshotAfter = snapshotAfter;
        this.replayWindowSeconds = replayWindowSeconds;
    }

    private String journal(long base) {
        return name + String.format(".journal.%016x", base);
    }

    private List<String> journals() throws IOException {
        return folder.fileNames().stream()
                .filter(file -> file.matches(java.util.regex.Pattern.quote(name) + "\\.journal\\.[0-9a-f]{16}"))
                .toList();
    }

    // ---- at the start

    /** Brings back what was answered, or null where there is no state of this zone. Done by the caller before all else. */
    public RecoveredZone recover(byte[] origin) throws UnusableStateException {
        try {
            for (String left : folder.fileNames()) {
                if (left.equals(name + ".snapshot.new")) {
                    folder.delete(left);
                }
            }
            List<String> journals = journals();
            if (!folder.fileNames().contains(name + ".snapshot")) {
                if (!journals.isEmpty()) {
                    throw new UnusableStateException(name + ".snapshot is missing beside " + journals.get(0)
                            + "; bring it back from a copy, or move the zone's files away to start from the zone file");
                }
                return null;
            }
            List<Difference> steps = new ArrayList<>();
            Zone zone = snapshot(folder.read(name + ".snapshot"), origin);
            long snapshotAt = sequence;
            String told = "";
            for (int i = 0; i < journals.size(); i++) {
                boolean last = i == journals.size() - 1;
                byte[] file = folder.read(journals.get(i));
                long base = JournalFormat.base(file);
                if (base < 0 && last && file.length <= JournalFormat.HEADER) {
                    // Killed between its making and its header.
                    folder.delete(journals.get(i));
                    continue;
                }
                if (base < 0 || !journals.get(i).equals(journal(base)) || base > sequence) {
                    throw new UnusableStateException(journals.get(i)
                            + (base > sequence
                                    ? ": begins at update " + base + ", but only " + sequence + " are known"
                                    : ": its header is spoilt"));
                }
                JournalRecovery.RecoveredEntries read = JournalRecovery.read(journals.get(i), file);
                for (JournalFormat.JournalEntry step : read.entries()) {
                    remember(step.unixSeconds(), step.replayKey());
                    if (step.sequence() <= snapshotAt) {
                        continue;
                    }
                    if (step.sequence() != sequence + 1 || step.difference().from() != zone.serial()) {
                        throw new UnusableStateException(journals.get(i) + ": update " + step.sequence()
                                + " does not follow update " + sequence);
                    }
                    zone = step.difference().applyTo(zone);
                    steps.add(step.difference());
                    sequence = step.sequence();
                }
                if (read.durableLength() < file.length) {
                    told += journals.get(i) + ": the last " + (file.length - read.durableLength())
                            + " octets were not whole and are dropped, nobody was answered for them; ";
                }
                if (last) {
                    journalFile = folder.openForAppend(journals.get(i));
                    durableLength = read.durableLength();
                    if (durableLength < file.length) {
                        journalFile.truncate(durableLength);
                    }
                }
            }
            if (journalFile == null) {
                startJournal();
            }
            updatesSinceSnapshot = steps.size();
            return new RecoveredZone(zone, steps, List.copyOf(replayKeys), told);
        } catch (JournalRecovery.CorruptJournalException e) {
            throw new UnusableStateException(e.getMessage());
        } catch (IOException e) {
            throw new UnusableStateException(name + ": the state cannot be read: " + e.getMessage());
        }
    }

    /** A zone that had no state has one from here on. */
    public void initialize(Zone zone) throws UnusableStateException {
        try {
            write(zone, 0, List.of());
            startJournal();
        } catch (IOException e) {
            throw new UnusableStateException(name + ": no state can be written: " + e.getMessage());
        }
    }

    private void startJournal() throws IOException {
        String file = journal(sequence);
        StateDirectory.AppendableFile begun = folder.openForAppend(file);
        begun.truncate(0);
        begun.write(ByteBuffer.wrap(JournalFormat.header(sequence)));
        begun.sync();
        folder.sync();
        if (journalFile != null) {
            journalFile.close();
        }
        journalFile = begun;
        durableLength = begun.length();
    }

    private void remember(long at, byte[] mark) {
        if (mark.length > 0) {
            replayKeys.add(new TimedReplayKey(at, mark));
        }
    }

    // ---- updates

    /**
     * Puts an update into the journal. {@code done} hears, later, whether it is on the disk; where it is not, neither are
     * those that were put behind it before that was heard, which hear the same.
     */
    public void append(long at, byte[] mark, Difference difference, Consumer<Boolean> done) {
        pendingUpdates.add(new PendingUpdate(at, mark, difference, done));
        flush();
    }

    /** Whether all that was put has been heard of. */
    public boolean isIdle() {
        return !writing && pendingUpdates.isEmpty() && !snapshotting;
    }

    /** For measuring what many updates a force are worth. */
    public void limitUpdatesPerWrite(int most) {
        maxUpdatesPerWrite = most;
    }

    private void flush() {
        if (writing || pendingUpdates.isEmpty()) {
            return;
        }
        writing = true;
        List<PendingUpdate> batch = pendingUpdates;
        pendingUpdates = new ArrayList<>();
        if (batch.size() > maxUpdatesPerWrite) {
            pendingUpdates.addAll(batch.subList(maxUpdatesPerWrite, batch.size()));
            batch = batch.subList(0, maxUpdatesPerWrite);
        }
        write(batch);
    }

    private void write(List<PendingUpdate> batch) {
        disk.execute(() -> {
            IOException failure = writeBatch(batch);
            callerThread.execute(() -> batchWritten(batch, failure));
        });
    }

    private IOException writeBatch(List<PendingUpdate> batch) {
        try {
            if (hasTornTail) {
                journalFile.truncate(durableLength);
                hasTornTail = false;
            }
            long next = sequence;
            for (PendingUpdate each : batch) {
                journalFile.write(JournalFormat.entry(
                        new JournalFormat.JournalEntry(++next, durableLength, each.at, each.mark, each.difference)));
            }
            journalFile.sync();
            sequence = next;
            durableLength = journalFile.length();
            return null;
        } catch (IOException e) {
            hasTornTail = true;
            try {
                journalFile.truncate(durableLength);
                hasTornTail = false;
            } catch (IOException again) {
                // Tried again before the next write: until then nothing is added behind what may not be whole.
            }
            return e;
        }
    }

    private void batchWritten(List<PendingUpdate> batch, IOException failure) {
        writing = false;
        if (failure != null) {
            if (!failed) {
                faultLog.info("updates of " + name + " are turned away: the journal cannot be written: "
                        + failure.getMessage());
            }
            failed = true;
            List<PendingUpdate> behind = pendingUpdates;
            pendingUpdates = new ArrayList<>();
            batch.forEach(each -> each.done.accept(false));
            behind.forEach(each -> each.done.accept(false));
        } else {
            if (failed) {
                faultLog.info("the journal of " + name + " can be written again");
            }
            failed = false;
            for (PendingUpdate each : batch) {
                remember(each.at, each.mark);
                updatesSinceSnapshot++;
            }
            unheard = batch.size();
            for (PendingUpdate each : batch) {
                unheard--;
                each.done.accept(true);
            }
        }
        flush();
    }

    // ---- snapshots

    /** Whether so many updates have come since the last snapshot that the next one is due. */
    public boolean isSnapshotDue() {
        return updatesSinceSnapshot >= snapshotAfter
                && unheard == 0
                && !snapshotting
                && !writing
                && pendingUpdates.isEmpty();
    }

    /** Writes the zone as all that was heard of made it; the journal goes on in a new file meanwhile. Call when due. */
    public void snapshot(Zone zone, long now) {
        snapshotting = true;
        updatesSinceSnapshot = 0;
        replayKeys.removeIf(mark -> now - mark.unixSeconds > replayWindowSeconds);
        List<TimedReplayKey> kept = List.copyOf(replayKeys);
        writing = true;
        disk.execute(() -> {
            IOException failure = null;
            long upTo = sequence;
            try {
                if (hasTornTail) {
                    journalFile.truncate(durableLength);
                    hasTornTail = false;
                }
                startJournal();
            } catch (IOException e) {
                failure = e;
            }
            IOException begun = failure;
            callerThread.execute(() -> {
                writing = false;
                if (begun != null) {
                    snapshotFinished(begun);
                } else {
                    writeSnapshot(zone, upTo, kept);
                }
                flush();
            });
        });
    }

    private void writeSnapshot(Zone zone, long upTo, List<TimedReplayKey> kept) {
        try {
            snapshots.execute(() -> {
                IOException failure = null;
                try {
                    write(zone, upTo, kept);
                    for (String old : journals()) {
                        if (old.compareTo(journal(upTo)) < 0) {
                            folder.delete(old);
                        }
                    }
                } catch (IOException e) {
                    failure = e;
                }
                IOException ended = failure;
                callerThread.execute(() -> snapshotFinished(ended));
            });
        } catch (RejectedExecutionException e) {
            snapshotFinished(null);
        }
    }

    private void snapshotFinished(IOException failure) {
        snapshotting = false;
        if (failure != null) {
            faultLog.info("no snapshot of " + name + ": " + failure.getMessage() + "; its journals are kept");
        }
    }

    private void write(Zone zone, long upTo, List<TimedReplayKey> kept) throws IOException {
        String made = name + ".snapshot.new";
        folder.delete(made);
        CRC32C crc = new CRC32C();
        StateDirectory.AppendableFile file = folder.openForAppend(made);
        try {
            ByteBuffer room = ByteBuffer.allocate(CHUNK + 16);
            room.putInt(JournalFormat.SNAPSHOT).putLong(upTo).putInt(kept.size());
            for (TimedReplayKey mark : kept) {
                room = flushed(file, room, crc, 9 + mark.key.length);
                room.putLong(mark.unixSeconds).put((byte) mark.key.length).put(mark.key);
            }
            room = flushed(file, room, crc, 4);
            room.putInt(zone.records());
            List<ResourceRecord> chunk = new ArrayList<>();
            byte[][] next = {new byte[0]};
            while (next[0] != null) {
                chunk.clear();
                byte[] from = next[0];
                next[0] = null;
                zone.names().from(from, (key, owner) -> {
                    if (chunk.size() > 1000) {
                        next[0] = key;
                        return false;
                    }
                    byte[] wire = DomainNames.wire(key);
                    for (int i = 0; i < owner.sets(); i++) {
                        owner.at(i).forEachRecord(wire, chunk::add);
                    }
                    return true;
                });
                for (ResourceRecord rec : chunk) {
                    room = flushed(file, room, crc, JournalFormat.size(rec));
                    JournalFormat.put(room, rec);
                }
            }
            room = flushed(file, room, crc, Integer.MAX_VALUE);
            room.putInt((int) crc.getValue()).flip();
            file.write(room);
            file.sync();
        } finally {
            file.close();
        }
        folder.rename(made, name + ".snapshot");
    }

    /** Makes room for more octets; asked for too many, it only writes out. */
    private static ByteBuffer flushed(StateDirectory.AppendableFile file, ByteBuffer room, CRC32C crc, int more)
            throws IOException {
        if (room.remaining() >= more) {
            return room;
        }
        room.flip();
        crc.update(room.duplicate());
        file.write(room);
        room.clear();
        return more == Integer.MAX_VALUE || more <= room.capacity() ? room : ByteBuffer.allocate(more + CHUNK);
    }

    private Zone snapshot(byte[] file, byte[] origin) throws UnusableStateException {
        CRC32C crc = new CRC32C();
        crc.update(file, 0, Math.max(0, file.length - 4));
        ByteBuffer in = ByteBuffer.wrap(file);
        if (file.length < 24
                || in.getInt() != JournalFormat.SNAPSHOT
                || in.getInt(file.length - 4) != (int) crc.getValue()) {
            throw new UnusableStateException(
                    name + ".snapshot: spoilt; bring it back from a copy, or move the zone's files away to start "
                            + "from the zone file");
        }
        sequence = in.getLong();
        for (int count = in.getInt(); count > 0; count--) {
            long at = in.getLong();
            byte[] mark = new byte[in.get() & 0xff];
            in.get(mark);
            remember(at, mark);
        }
        Zone zone = Zone.of(origin, JournalFormat.records(in));
        if (zone.names().size() == 0 || zone.names().get(DomainNames.key(origin)) == null || zone.soa() == null) {
            throw new UnusableStateException(name + ".snapshot: is of another zone");
        }
        return zone;
    }

    /** Lets go of the file; what was not forced was never answered. */
    public void close() {
        if (journalFile != null) {
            journalFile.close();
        }
    }
}
