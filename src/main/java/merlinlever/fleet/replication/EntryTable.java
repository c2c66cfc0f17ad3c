package merlinlever.fleet.replication;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeMap;
import merlinlever.fleet.replication.StoredEntry.EntryKey;

/**
 * The entries of one replica, and the rules by which entries are merged: the higher version of a key wins, and
 * different values under the same version are joined into a conflict. The merge is the join of a semilattice
 * (delta-state CRDT: Almeida et al. 2018), so the order and the repetition of merges don't matter as long as the table
 * isn't full.
 */
final class EntryTable {

    static final int MAX_ENTRIES = 2000;

    static final long MAX_BYTES = 8L << 20;
    /** Number of hash buckets of the keys; replicas compare the checksums of their buckets to find differences. */
    static final int BUCKET_COUNT = 64;

    /** Effect of a merge on the table. */
    enum MergeResult {
        /** The entry was new, or of a higher version. */
        NEWER,
        /** The table already held the same entry. */
        UNCHANGED,
        /** The table holds a higher version. */
        OLDER,
        /** Different values were published under the same version. */
        CONFLICT,
        /** The entry was rejected because the table is full. */
        NO_ROOM
    }

    private static final class Row {
        private final StoredEntry entry;
        private final long fingerprint;
        /** Whether the entry is near the end of its lifetime: it is still served here, but no longer sent. */
        private boolean sharingEnded;

        Row(StoredEntry entry) {
            this.entry = entry;
            fingerprint = entry.fingerprint();
        }
    }

    /** Version and fingerprint of an entry, without its value. */
    record EntryVersion(EntryKey key, long incarnation, long sequence, long fingerprint) {

        /** Returns a negative number, zero or a positive number if this version is lower, equal or higher. */
        int compareVersion(EntryVersion other) {
            return incarnation != other.incarnation
                    ? Long.compare(incarnation, other.incarnation)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private static final int HASH_MULTIPLIER = 31;
    /** Number of bits of a bucket number; the bits of a hash code are folded into them. */
    private static final int BUCKET_BITS = Integer.numberOfTrailingZeros(BUCKET_COUNT);

    private final TreeMap<EntryKey, Row> rows = new TreeMap<>();
    private final long[] bucketChecksums = new long[BUCKET_COUNT];
    private long sizeBytes;

    /**
     * Returns the bucket of a key, which is the same at all replicas: the Java specification defines String.hashCode.
     */
    static int bucket(EntryKey key) {
        int hash = HASH_MULTIPLIER * key.owner().hashCode() + key.topic().hashCode();
        int folded = 0;
        // The two highest bits are left out for compatibility with the released versions.
        for (int shift = 0; shift + BUCKET_BITS <= Integer.SIZE; shift += BUCKET_BITS) {
            folded ^= hash >>> shift;
        }
        return folded & (BUCKET_COUNT - 1);
    }

    /** Returns the entry, or null if the table has no entry of this key. */
    StoredEntry get(EntryKey key) {
        Row row = rows.get(key);
        return row == null ? null : row.entry;
    }

    /** Returns all entries, sorted by owner and then by topic. */
    List<StoredEntry> entries() {
        return rows.values().stream().map(row -> row.entry).toList();
    }

    int size() {
        return rows.size();
    }

    long sizeBytes() {
        return sizeBytes;
    }

    /** Whether the table has room for the entry, which replaces an earlier version of the same key. */
    boolean hasRoomFor(StoredEntry entry) {
        Row row = rows.get(entry.key());
        return (row != null || rows.size() < MAX_ENTRIES)
                && sizeBytes + entry.sizeBytes() - (row == null ? 0 : row.entry.sizeBytes()) <= MAX_BYTES;
    }

    MergeResult merge(StoredEntry entry) {
        StoredEntry existing = get(entry.key());
        if (existing != null && existing.isNewerThan(entry)) {
            return MergeResult.OLDER;
        }
        boolean newer = existing == null || entry.isNewerThan(existing);
        StoredEntry merged = newer ? entry : existing.mergedWith(entry);
        boolean unchanged = !newer && merged.digests().equals(existing.digests());
        if (!unchanged && !hasRoomFor(merged)) {
            return MergeResult.NO_ROOM;
        }
        if (!unchanged || merged.publishedAt().compareTo(existing.publishedAt()) > 0) {
            store(merged);
        }
        if (unchanged) {
            return MergeResult.UNCHANGED;
        }
        return merged.isConflicted() ? MergeResult.CONFLICT : MergeResult.NEWER;
    }

    private void store(StoredEntry entry) {
        remove(entry.key());
        Row row = new Row(entry);
        rows.put(entry.key(), row);
        bucketChecksums[bucket(entry.key())] ^= row.fingerprint;
        sizeBytes += entry.sizeBytes();
    }

    void remove(EntryKey key) {
        Row row = rows.remove(key);
        if (row != null) {
            sizeBytes -= row.entry.sizeBytes();
            bucketChecksums[bucket(key)] ^= row.sharingEnded ? 0 : row.fingerprint;
        }
    }

    /** Removes and returns the entries past their lifetime, and stops sharing the entries near the end of theirs. */
    List<StoredEntry> expire(Duration now, RetentionPolicy policy) {
        List<StoredEntry> expired = new ArrayList<>();
        for (Row row : List.copyOf(rows.values())) {
            Duration age = row.entry.age(now);
            if (age.compareTo(policy.lifetime(row.entry)) >= 0) {
                remove(row.entry.key());
                expired.add(row.entry);
            } else if (!row.sharingEnded && age.compareTo(policy.shareableFor(row.entry)) >= 0) {
                row.sharingEnded = true;
                bucketChecksums[bucket(row.entry.key())] ^= row.fingerprint;
            }
        }
        return expired;
    }

    /** Whether the table has an entry of this key that is young enough to be sent. */
    boolean isShareable(EntryKey key) {
        Row row = rows.get(key);
        return row != null && !row.sharingEnded;
    }

    /** Returns for each bucket the exclusive or of the fingerprints of its shareable entries. */
    long[] bucketChecksums() {
        return bucketChecksums.clone();
    }

    /** Returns the version of the key's entry, or null if the table has no entry of this key. */
    EntryVersion version(EntryKey key) {
        Row row = rows.get(key);
        return row == null ? null : version(key, row);
    }

    private static EntryVersion version(EntryKey key, Row row) {
        return new EntryVersion(key, row.entry.incarnation(), row.entry.sequence(), row.fingerprint);
    }

    /** Returns the versions of all shareable entries in the buckets of the bit mask. */
    List<EntryVersion> versions(long bucketMask) {
        List<EntryVersion> versions = new ArrayList<>();
        rows.forEach((key, row) -> {
            if (((bucketMask >>> bucket(key)) & 1) == 1 && !row.sharingEnded) {
                versions.add(version(key, row));
            }
        });
        return versions;
    }

    /** Returns the SHA-256 of all entries in hexadecimal; equal tables have equal digests. */
    String digest() {
        MessageDigest sha256 = StoredEntry.sha256();
        rows.values()
                .forEach(row -> sha256.update(
                        ByteBuffer.allocate(Long.BYTES).putLong(row.fingerprint).array()));
        return HexFormat.of().formatHex(sha256.digest());
    }
}
