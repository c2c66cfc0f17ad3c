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
 * A served zone. Queries read the published version, which is on the disk. Updates apply to the staged version, whose
 * disk writes may be in flight. Versions are published in order as their writes complete. Used on the event loop.
 */
public final class ServedZone {

    /** Receives an event for each new version. */
    public interface VersionListener {
        /** Called after a new version of the zone was published. */
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
    /** Tasks to run after the newest write in flight; null if no write is in flight. */
    private List<Runnable> afterNewestWrite;

    private boolean lastWriteSucceeded;

    /**
     * Creates a served zone.
     *
     * @param updaters names of the keys that may update the zone, as text
     * @param transferers names of the keys that may transfer the zone, as text
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

    /** Returns the name of the zone apex on the wire. */
    public byte[] origin() {
        return origin;
    }

    /** Returns the name of the zone apex as text. */
    public String name() {
        return name;
    }

    /** Returns the published version. */
    public Zone zone() {
        return published;
    }

    /** Returns the differences between recent versions. */
    public DifferenceHistory history() {
        return history;
    }

    /** Returns the replay keys of recent updates. */
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

    /** Adds a listener for new versions. */
    public void addListener(VersionListener listener) {
        listeners.add(listener);
    }

    /**
     * Applies an update.
     *
     * @param unixSeconds the time of receipt
     * @param replayKey the key that identifies duplicates of the update
     * @param done receives the response code, after the disk write if one is needed; empty if the write failed
     */
    void update(
            long unixSeconds,
            byte[] replayKey,
            List<UpdateEntry> prerequisites,
            List<UpdateEntry> changes,
            Consumer<OptionalInt> done) {
        DynamicUpdate.UpdateResult result = DynamicUpdate.apply(staged, prerequisites, changes);
        if (result.difference() == null) {
            if (afterNewestWrite == null) {
                done.accept(OptionalInt.of(result.code()));
            } else {
                // The result depends on a version whose write is in flight, and fails with that write.
                afterNewestWrite.add(() -> done.accept(codeIf(lastWriteSucceeded, result.code())));
            }
            return;
        }
        write(
                unixSeconds,
                replayKey,
                result.zone(),
                result.difference(),
                succeeded -> done.accept(codeIf(succeeded, DynamicUpdate.NOERROR)));
    }

    private static OptionalInt codeIf(boolean written, int code) {
        return written ? OptionalInt.of(code) : OptionalInt.empty();
    }

    private void write(
            long unixSeconds, byte[] replayKey, Zone newVersion, Difference difference, Consumer<Boolean> done) {
        staged = newVersion;
        writesInFlight++;
        List<Runnable> afterThisWrite = new ArrayList<>(0);
        afterNewestWrite = afterThisWrite;
        store.append(unixSeconds, replayKey, difference, succeeded -> {
            writesInFlight--;
            lastWriteSucceeded = succeeded;
            if (succeeded) {
                published = newVersion;
                history.add(difference);
                if (replayKey.length > 0) {
                    replays.add(unixSeconds, replayKey);
                }
            } else if (writesInFlight == 0) {
                staged = published;
            }
            if (afterNewestWrite == afterThisWrite) {
                afterNewestWrite = null;
            }
            done.accept(succeeded);
            afterThisWrite.forEach(Runnable::run);
            if (succeeded) {
                listeners.forEach(listener -> listener.versionPublished(this));
                if (store.isSnapshotDue()) {
                    store.snapshot(published, unixSeconds);
                }
            }
        });
    }

    /**
     * Replaces the zone with the reloaded zone file if the serial of the file is newer.
     *
     * @param unixSeconds the current time
     * @return a log line that describes the result
     */
    public String reload(Zone file, long unixSeconds) {
        Difference difference = Difference.between(staged, file);
        if (difference.records() == 2 && difference.from() == difference.to()) {
            return name + ": zone file is identical to the served zone, serial " + difference.to();
        }
        if (!SerialNumbers.after(difference.to(), difference.from())) {
            return name + ": zone file ignored: its serial " + difference.to() + " is not newer than the served serial "
                    + difference.from();
        }
        write(unixSeconds, new byte[0], file, difference, succeeded -> {});
        return name + ": zone file loaded: serial " + difference.to() + ", "
                + (difference.removed().size() - 1) + " records removed, "
                + (difference.added().size() - 1) + " added";
    }

    /** Whether no write is in flight. */
    boolean isIdle() {
        return writesInFlight == 0 && store.isIdle();
    }
}
