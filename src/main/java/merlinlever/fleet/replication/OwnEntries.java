package merlinlever.fleet.replication;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** The entries that this backend wrote or removed since its process started, and the allocation of their versions. */
final class OwnEntries {

    /** Maximum number of topics of one owner; all of them are written to disk together. */
    static final int MAX_TOPICS = 64;
    /** Maximum total size of the values of one owner. */
    static final int MAX_TOTAL_BYTES = 256 << 10;

    private final String self;
    private final TreeMap<String, StoredEntry> byTopic = new TreeMap<>();
    /** Own entries that are not published yet. */
    private final TreeMap<String, StoredEntry> unpublished = new TreeMap<>();

    private long incarnation;
    private long sequence;
    /** Highest incarnation of this backend's entries that another process wrote and other backends hold, or -1. */
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

    /** Returns a copy of all entries, sorted by topic. */
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

    /** Returns an entry under the next version. The version is allocated by {@link #add} only. */
    StoredEntry nextVersion(Duration now, String topic, byte[] value) {
        return StoredEntry.of(new VersionedEntry(self, topic, incarnation, sequence + 1, value), now);
    }

    void add(StoredEntry entry) {
        sequence = entry.sequence();
        byTopic.put(entry.key().topic(), entry);
        unpublished.put(entry.key().topic(), entry);
    }

    /** Returns a modifiable view of the entries that wait to be published; an entry is removed once it is published. */
    Collection<StoredEntry> unpublished() {
        return unpublished.values();
    }

    void removeExpiredTombstones(Duration now, RetentionPolicy policy) {
        byTopic.values()
                .removeIf(entry -> entry.value() == null && entry.age(now).compareTo(policy.lifetime(entry)) >= 0);
    }

    /**
     * Records an entry of this backend that another backend holds. A version newer than this process has written comes
     * from an earlier process whose disk was lost, or from a second process under the same name.
     */
    void observeForeign(StoredEntry entry) {
        StoredEntry own = byTopic.get(entry.key().topic());
        if (entry.incarnation() > incarnation
                || (entry.incarnation() == incarnation && entry.sequence() > sequence)
                || (own != null && entry.isNewerThan(own))) {
            foreignIncarnation = Math.max(foreignIncarnation, entry.incarnation());
        }
    }

    /**
     * Raises the incarnation above the newer versions seen by {@link #observeForeign}; false if none was seen since
     * the last call.
     */
    boolean raiseIncarnationIfOvertaken() {
        if (foreignIncarnation < 0) {
            return false;
        }
        incarnation = Math.max(incarnation, foreignIncarnation) + 1;
        foreignIncarnation = -1;
        return true;
    }
}
