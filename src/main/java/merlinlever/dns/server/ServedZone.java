package merlinlever.dns.server;

import java.util.ArrayList;
import java.util.List;
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
 * One zone in service. Questions see the last version that is on the disk; an update is decided on the last one that is
 * on its way there, and becomes seen, in order, when it has got there.
 */
public final class ServedZone {

    /** Who hears that a new version is seen. */
    public interface VersionListener {
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
    /** What waits for the newest step that is on its way, and whether the last step got there. */
    private List<Runnable> waitingForNewestWrite;

    private boolean lastWriteSucceeded;

    /** @param updaters names of keys as text, as are {@code transferers} */
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

    public byte[] origin() {
        return origin;
    }

    public String name() {
        return name;
    }

    public Zone zone() {
        return published;
    }

    public DifferenceHistory history() {
        return history;
    }

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

    public void addListener(VersionListener watcher) {
        listeners.add(watcher);
    }

    /** Decides an update; {@code done} hears the code, at once or when the disk has it, or -1 where the disk would not. */
    void update(
            long at, byte[] mark, List<UpdateEntry> prerequisites, List<UpdateEntry> changes, Consumer<Integer> done) {
        DynamicUpdate.UpdateResult outcome = DynamicUpdate.apply(staged, prerequisites, changes);
        if (outcome.difference() == null) {
            if (waitingForNewestWrite == null) {
                done.accept(outcome.code());
            } else {
                // It was decided on what is not on the disk yet, and stands or falls with it.
                waitingForNewestWrite.add(() -> done.accept(lastWriteSucceeded ? outcome.code() : -1));
            }
            return;
        }
        write(at, mark, outcome.zone(), outcome.difference(), well -> done.accept(well ? DynamicUpdate.NOERROR : -1));
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
     * The operator's file was read again and is good. It takes the place of what is served where its serial comes after;
     * returns a line about it.
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

    /** Whether all updates have been heard of from the disk. */
    boolean isIdle() {
        return writesInFlight == 0 && store.isIdle();
    }
}
