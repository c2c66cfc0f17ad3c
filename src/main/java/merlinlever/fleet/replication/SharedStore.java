package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The entries that all backends of a fleet share, as this backend holds them now. Each backend writes its own entries; what it writes
 * reaches the others within some gossip rounds. All times are of the steady clock of this process. Event loop only.
 */
public interface SharedStore {

    /**
     * Two different values were published under one version, which only a duplicated or faulty owner does. Neither value is served until
     * the owner publishes a higher version.
     *
     * @param lowerDigest SHA-256 of one value, in hexadecimal; the lower of the two
     * @param higherDigest of the other value
     */
    record VersionConflict(
            String owner, String topic, long incarnation, long sequence, String lowerDigest, String higherDigest) {}

    /** Is notified of changes that come from other backends, but not of this backend's own writes. */
    interface EntryListener {

        /** A newer version was received; its value is null if the owner removed the entry. */
        void entryReceived(Duration now, VersionedEntry entry);

        /** The entry was dropped because its owner no longer refreshes it, or because this backend was paused for too long. */
        default void entryExpired(Duration now, String owner, String topic) {}

        /** The entry is no longer served; whether to keep using an earlier version is up to the listener. */
        default void conflictDetected(Duration now, VersionConflict conflict) {}
    }

    /**
     * Writes this backend's own entry on the topic.
     *
     * @return false if the topic or value is invalid, or there is no room for it
     */
    boolean put(Duration now, String topic, byte[] value);

    /** Removes this backend's own entry on the topic everywhere. */
    void remove(Duration now, String topic);

    /**
     * Distributes an entry of an owner outside the fleet (a partner site) under the owner's own version.
     *
     * @return whether it is valid and newer than what was known
     */
    boolean relay(Duration now, VersionedEntry entry);

    /** The present value of an owner on a topic, unless it was removed or is in conflict. */
    Optional<VersionedEntry> get(String owner, String topic);

    /** The present values of all owners on a topic, sorted by owner. */
    List<VersionedEntry> entries(String topic);

    /** All conflicts that no higher version has resolved yet. */
    List<VersionConflict> conflicts();

    /** Adds a listener for good. */
    void addListener(EntryListener listener);
}
