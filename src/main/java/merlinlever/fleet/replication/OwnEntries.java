package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** What this backend wrote or removed since its process started, and the versions for it. */
final class OwnEntries {

    /** The topics of one owner; all are written to the disk together. */
    static final int MAX_TOPICS = 64;
    /** The values of one owner in total. */
    static final int MAX_TOTAL_BYTES = 256 << 10;

    private final String self;
    private final TreeMap<String, StoredEntry> byTopic = new TreeMap<>();
    /** Of those, what is not published yet. */
    private final TreeMap<String, StoredEntry> unpublished = new TreeMap<>();

    private long incarnation;
    private long sequence;
    /** The highest incarnation under which others hold entries that this process did not write, or -1. */
    private long foreignIncarnation = -1;

    OwnEntries(String self, long incarnation) {
        this.self = self;
        this.incarnation = incarnation;
    }

    long incarnation() {
        return incarnation;
    }

    long sequence() {
        return sequence;
    }

    Optional<StoredEntry> get(String topic) {
        return Optional.ofNullable(byTopic.get(topic));
    }

    boolean contains(String topic) {
        return byTopic.containsKey(topic);
    }

    /** A copy of all entries, sorted by topic. */
    List<StoredEntry> all() {
        return List.copyOf(byTopic.values());
    }

    boolean hasRoomFor(String topic, byte[] value) {
        long bytes = value.length;
        for (StoredEntry entry : byTopic.values()) {
            if (!entry.key().topic().equals(topic) && entry.value() != null) {
                bytes += entry.value().length;
            }
        }
        return (byTopic.containsKey(topic) || byTopic.size() < MAX_TOPICS) && bytes <= MAX_TOTAL_BYTES;
    }

    /** An entry of the next version, which is not used up before {@link #add}. */
    StoredEntry nextVersion(Duration now, String topic, byte[] value) {
        return StoredEntry.of(new VersionedEntry(self, topic, incarnation, sequence + 1, value), now);
    }

    void add(StoredEntry entry) {
        sequence = entry.sequence();
        byTopic.put(entry.key().topic(), entry);
        unpublished.put(entry.key().topic(), entry);
    }

    /** What waits to be published, for the caller to remove from. */
    Collection<StoredEntry> unpublished() {
        return unpublished.values();
    }

    void removeExpiredTombstones(Duration now, RetentionPolicy policy) {
        byTopic.values()
                .removeIf(entry -> entry.value() == null && entry.age(now).compareTo(policy.lifetime(entry)) >= 0);
    }

    /** Another backend holds an entry of this one that is newer: of a process before whose disk is lost, or of a duplicate. */
    void observeForeign(StoredEntry entry) {
        StoredEntry own = byTopic.get(entry.key().topic());
        if (entry.incarnation() > incarnation
                || (entry.incarnation() == incarnation && entry.sequence() > sequence)
                || (own != null && entry.isNewerThan(own))) {
            foreignIncarnation = Math.max(foreignIncarnation, entry.incarnation());
        }
    }

    /** Goes above the versions observed by {@link #observeForeign}; false if there were none since the last call. */
    boolean raiseIncarnationIfOvertaken() {
        if (foreignIncarnation < 0) {
            return false;
        }
        incarnation = Math.max(incarnation, foreignIncarnation) + 1;
        foreignIncarnation = -1;
        return true;
    }
}
