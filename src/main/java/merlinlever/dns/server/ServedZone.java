package merlinlever.dns.server;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import merlinlever.dns.journal.ZoneStore;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.state.Difference;
import merlinlever.dns.state.DifferenceHistory;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.ReplayWindow;
import merlinlever.dns.state.SerialNumbers;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.state.Zone;

/**
 * One zone in service. Queries see the published version, which is on the disk; an update is decided on the staged version,
 * whose writes may be in flight, and versions are published in order as their writes complete. Used on the event loop.
 */
public final class ServedZone {

    /** Is told of each new version. */
    public interface VersionListener {
        /** Queries see a new version of the zone. */
        void versionPublished(ServedZone zone);
    }

    private final byte[] origin;
    private final String name;
    private final Set<String> updaters;
    private final Set<String> transferers;
    private final ZoneStore store;
    private final DifferenceHistory history = new DifferenceHistory();
    private final ReplayWindow replays;
    private final List<VersionListener> listeners = new ArrayList<>();
    private Zone published;
    private Zone staged;
    private int writesInFlight;
    /** Run after the newest write in flight; null where none is. */
    private List<Runnable> waitingForNewestWrite;

    private boolean lastWriteSucceeded;

    /**
     * A zone in service.
     *
     * @param updaters names of the keys that may update it, as text
     * @param transferers names of the keys that may transfer it, as text
     */
    public ServedZone(Zone zone, Set<String> updaters, Set<String> transferers, ZoneStore store, ReplayWindow replays) {
        this.origin = zone.origin();
        this.name = DomainNames.text(origin);
        this.updaters = Set.copyOf(updaters);
        this.transferers = Set.copyOf(transferers);
        this.store = store;
        this.replays = replays;
        published = zone;
        staged = zone;
    }

    /** The name of its apex, on the wire. */
    public byte[] origin() {
        return origin;
    }

    /** The name of its apex, as text. */
    public String name() {
        return name;
    }

    /** The published version. */
    public Zone zone() {
        return published;
    }

    /** The differences between the last versions. */
    public DifferenceHistory history() {
        return history;
    }

    /** The keys of updates that could be replayed. */
    public ReplayWindow replays() {
        return replays;
    }

    boolean mayUpdate(byte[] key) {
        return updaters.contains(DomainNames.text(key));
    }

    boolean mayTransfer(byte[] key) {
        return transferers.contains(DomainNames.text(key));
    }

    boolean acceptsUpdates() {
        return !updaters.isEmpty();
    }

    /** Tells the listener of each new version from now on. */
    public void addListener(VersionListener watcher) {
        listeners.add(watcher);
    }

    /**
     * Decides an update.
     *
     * @param unixSeconds when it came
     * @param replayKey that its duplicates are known by
     * @param done gets the response code at once or when the update is on the disk; nothing where the disk failed
     */
    void update(
            long unixSeconds,
            byte[] replayKey,
            List<UpdateEntry> prerequisites,
            List<UpdateEntry> changes,
            Consumer<OptionalInt> done) {
        DynamicUpdate.UpdateResult outcome = DynamicUpdate.apply(staged, prerequisites, changes);
        if (outcome.difference() == null) {
            if (waitingForNewestWrite == null) {
                done.accept(OptionalInt.of(outcome.code()));
            } else {
                // It was decided on a version that is not on the disk yet, and fails if that write fails.
                waitingForNewestWrite.add(() -> done.accept(codeIf(lastWriteSucceeded, outcome.code())));
            }
            return;
        }
        write(
                unixSeconds,
                replayKey,
                outcome.zone(),
                outcome.difference(),
                succeeded -> done.accept(codeIf(succeeded, DynamicUpdate.NOERROR)));
    }

    private static OptionalInt codeIf(boolean written, int code) {
        return written ? OptionalInt.of(code) : OptionalInt.empty();
    }

    private void write(long at, byte[] mark, Zone made, Difference difference, Consumer<Boolean> done) {
        staged = made;
        writesInFlight++;
        List<Runnable> behind = new ArrayList<>(0);
        waitingForNewestWrite = behind;
        store.append(at, mark, difference, well -> {
            writesInFlight--;
            lastWriteSucceeded = well;
            if (well) {
                published = made;
                history.add(difference);
                if (mark.length > 0) {
                    replays.add(at, mark);
                }
            } else if (writesInFlight == 0) {
                staged = published;
            }
            if (waitingForNewestWrite == behind) {
                waitingForNewestWrite = null;
            }
            done.accept(well);
            behind.forEach(Runnable::run);
            if (well) {
                listeners.forEach(watcher -> watcher.versionPublished(this));
                if (store.isSnapshotDue()) {
                    store.snapshot(published, at);
                }
            }
        });
    }

    /**
     * Replaces the zone by the reloaded zone file if its serial is newer.
     *
     * @param at Unix seconds
     * @return a log line about it
     */
    public String reload(Zone file, long at) {
        Difference difference = Difference.between(staged, file);
        if (difference.records() == 2 && difference.from() == difference.to()) {
            return name + ": the file says what is served, serial " + difference.to();
        }
        if (!SerialNumbers.after(difference.to(), difference.from())) {
            return name + ": the file is not taken over: its serial " + difference.to() + " does not come after "
                    + difference.from() + ", which is served";
        }
        write(at, new byte[0], file, difference, well -> {});
        return name + ": taken from the file: serial " + difference.to() + ", "
                + (difference.removed().size() - 1) + " records out, "
                + (difference.added().size() - 1) + " in";
    }

    /** Whether no write is in flight. */
    boolean isIdle() {
        return writesInFlight == 0 && store.isIdle();
    }
}
