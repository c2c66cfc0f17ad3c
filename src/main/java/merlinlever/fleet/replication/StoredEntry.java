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
 * An entry in the table of a replica.
 *
 * @param value null if the entry was removed (a tombstone) or is in conflict
 * @param digests SHA-256 in hexadecimal of the value published under this version; in a conflict the lowest two digests
 * @param publishedAt time of publication by this replica's steady clock; late by at most the delay of messages
 */
record StoredEntry(
        EntryKey key, long incarnation, long sequence, byte[] value, List<String> digests, Duration publishedAt) {

    /** Estimated memory of an entry without its strings and value. */
    private static final int OVERHEAD_BYTES = 100;

    /** Identifies an entry. Keys are ordered by owner and then by topic. */
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
     * Joins two entries of the same version; different values become a conflict. Only the lowest two digests are kept,
     * which bounds the size and keeps the join associative, commutative and idempotent.
     */
    StoredEntry mergedWith(StoredEntry other) {
        TreeSet<String> all = new TreeSet<>(digests);
        all.addAll(other.digests);
        List<String> lowestTwo = all.stream().limit(2).toList();
        Duration latest = publishedAt.compareTo(other.publishedAt) > 0 ? publishedAt : other.publishedAt;
        return new StoredEntry(key, incarnation, sequence, lowestTwo.size() > 1 ? null : value, lowestTwo, latest);
    }

    /** Returns the estimated memory, which counts towards the limit of the table. */
    int sizeBytes() {
        return OVERHEAD_BYTES + key.owner.length() + key.topic.length() + (value == null ? 0 : value.length);
    }

    /** Returns a hash of key, version and digests; equal entries have equal fingerprints. */
    long fingerprint() {
        MessageDigest sha256 = sha256();
        sha256.update((key.owner + " " + key.topic + " " + incarnation + " " + sequence + " " + digests)
                .getBytes(StandardCharsets.US_ASCII));
        return ByteBuffer.wrap(sha256.digest()).getLong();
    }

    /** Returns the SHA-256 of a value in hexadecimal; a removed value (null) has a digest too. */
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
