package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * This backend's view of the entries that all backends of a fleet share. Each backend writes only its own entries,
 * which reach the other backends within a few gossip rounds. All times are by the steady clock of this process. Must be
 * used on the event loop only.
 */
public interface SharedStore {

    /**
     * Two different values under the same version, published by a duplicate or faulty owner. Neither value is served
     * until the owner publishes a higher version.
     *
     * @param lowerDigest the lower of the two values' SHA-256 digests, in hexadecimal
     * @param higherDigest the higher digest
     */
    record VersionConflict(
            String owner, String topic, long incarnation, long sequence, String lowerDigest, String higherDigest) {}

    /** Listener for changes received from other backends; this backend's own writes are not reported. */
    interface EntryListener {

        /** A newer version was received; its value is null if the owner removed the entry. */
        void entryReceived(Duration now, VersionedEntry entry);

        /**
         * The entry was dropped because its owner no longer refreshes it, or because this backend was paused or cut
         * off.
         */
        default void entryExpired(Duration now, String owner, String topic) {}

        /** The entry is no longer served because of a conflict; the listener may keep using an earlier version. */
        default void conflictDetected(Duration now, VersionConflict conflict) {}
    }

    /**
     * Writes this backend's own entry on the topic.
     *
     * @return false if the topic or value is invalid, or the store is full
     */
    boolean put(Duration now, String topic, byte[] value);

    /** Removes this backend's own entry on the topic at all backends. */
    void remove(Duration now, String topic);

    /**
     * Distributes an entry of an owner outside the fleet (a partner site) under the owner's own version.
     *
     * @return whether the entry is valid and newer than the stored entry
     */
    boolean relay(Duration now, VersionedEntry entry);

    /** Returns the current entry of an owner on a topic; empty if it was removed or is in conflict. */
    Optional<VersionedEntry> get(String owner, String topic);

    /** Returns the current entries of all owners on a topic, sorted by owner. */
    List<VersionedEntry> entries(String topic);

    /** Returns all conflicts that no higher version has resolved yet. */
    List<VersionConflict> conflicts();

    /** Adds a listener; listeners cannot be removed. */
    void addListener(EntryListener listener);
}
