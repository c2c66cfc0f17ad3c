package merlinlever.fleet.replication;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeSet;

/**
 * An entry as a replica stores it.
 *
 * @param value null if the entry was removed (a tombstone) or is in conflict
 * @param digests SHA-256 in hexadecimal of the values published under this version: one, or in a conflict the lowest two
 * @param publishedAt when the owner published it, by this replica's steady clock; too late by the delay of messages at most
 */
record StoredEntry(
        EntryKey key, long incarnation, long sequence, byte[] value, List<String> digests, Duration publishedAt) {

    /** Estimated memory of an entry beside its strings and value. */
    private static final int OVERHEAD_BYTES = 100;

    /** What identifies an entry; ordered by owner, then topic. */
    record EntryKey(String owner, String topic) implements Comparable<EntryKey> {
        @Override
        public int compareTo(EntryKey other) {
            int byOwner = owner.compareTo(other.owner);
            return byOwner != 0 ? byOwner : topic.compareTo(other.topic);
        }
    }

    static StoredEntry of(VersionedEntry entry, Duration publishedAt) {
        byte[] value = entry.value() == null ? null : entry.value().clone();
        return new StoredEntry(
                new EntryKey(entry.owner(), entry.topic()),
                entry.incarnation(),
                entry.sequence(),
                value,
                List.of(digest(value)),
                publishedAt);
    }

    boolean isConflicted() {
        return digests.size() > 1;
    }

    /** Whether the owner removed the entry. */
    boolean isTombstone() {
        return value == null && !isConflicted();
    }

    boolean isNewerThan(StoredEntry other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }

    Duration age(Duration now) {
        return now.minus(publishedAt);
    }

    VersionedEntry toVersionedEntry() {
        return new VersionedEntry(key.owner, key.topic, incarnation, sequence, value == null ? null : value.clone());
    }

    SharedStore.VersionConflict toConflict() {
        return new SharedStore.VersionConflict(
                key.owner, key.topic, incarnation, sequence, digests.get(0), digests.get(1));
    }

    StoredEntry withPublishedAt(Duration time) {
        return new StoredEntry(key, incarnation, sequence, value, digests, time);
    }

    /**
     * Joins two entries of one version: the same value twice, or a conflict. As only the lowest two digests are kept, the join stays small
     * and is still associative, commutative and idempotent.
     */
    StoredEntry mergedWith(StoredEntry other) {
        TreeSet<String> all = new TreeSet<>(digests);
        all.addAll(other.digests);
        List<String> lowestTwo = all.stream().limit(2).toList();
        Duration latest = publishedAt.compareTo(other.publishedAt) > 0 ? publishedAt : other.publishedAt;
        return new StoredEntry(key, incarnation, sequence, lowestTwo.size() > 1 ? null : value, lowestTwo, latest);
    }

    /** Estimated memory, for the limit of the table. */
    int sizeBytes() {
        return OVERHEAD_BYTES + key.owner.length() + key.topic.length() + (value == null ? 0 : value.length);
    }

    /** A hash of key, version and digests: equal where the entries are. */
    long fingerprint() {
        MessageDigest sha256 = sha256();
        sha256.update((key.owner + " " + key.topic + " " + incarnation + " " + sequence + " " + digests)
                .getBytes(StandardCharsets.US_ASCII));
        return ByteBuffer.wrap(sha256.digest()).getLong();
    }

    /** SHA-256 in hexadecimal of a value, or of its absence if it is null. */
    static String digest(byte[] value) {
        MessageDigest sha256 = sha256();
        sha256.update((byte) (value == null ? 0 : 1));
        return HexFormat.of().formatHex(value == null ? sha256.digest() : sha256.digest(value));
    }

    static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
