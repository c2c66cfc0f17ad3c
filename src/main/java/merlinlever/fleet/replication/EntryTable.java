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
 * All entries of one replica, and how two tables become one: of each key the higher version wins, and of one version all values that were
 * published under it are joined. That is a join of a semilattice (delta-state CRDT: Almeida et al. 2018), so neither order nor
 * repetition of merges matters as long as there is room.
 */
final class EntryTable {

    /** Limits of the whole table. */
    static final int MAX_ENTRIES = 2000;

    static final long MAX_BYTES = 8L << 20;
    /** Keys are hashed to so many buckets, whose checksums are compared to find differences. */
    static final int BUCKET_COUNT = 64;

    /** What a merge did to the table. */
    enum MergeResult {
        /** The entry was new, or of a higher version. */
        NEWER,
        /** The table had this very entry. */
        UNCHANGED,
        /** The table has a higher version. */
        OLDER,
        /** The table had, or now has, another value under the same version. */
        CONFLICT,
        /** The entry was rejected, as the table is full. */
        NO_ROOM
    }

    private static final class Row {
        private final StoredEntry entry;
        private final long fingerprint;
        /** Near the end of its lifetime: still served here, but no longer sent. */
        private boolean unshared;

        Row(StoredEntry entry) {
            this.entry = entry;
            fingerprint = entry.fingerprint();
        }
    }

    /** The version of an entry without its value, for comparisons. */
    record EntryVersion(EntryKey key, long incarnation, long sequence, long fingerprint) {

        /** Negative, zero or positive as this version is lower, the same or higher. */
        int compareVersion(EntryVersion other) {
            return incarnation != other.incarnation
                    ? Long.compare(incarnation, other.incarnation)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final TreeMap<EntryKey, Row> rows = new TreeMap<>();
    private final long[] bucketChecksums = new long[BUCKET_COUNT];
    private long sizeBytes;

    /** The bucket of a key: the same at every replica, as the Java specification defines String's hash code. */
    static int bucket(EntryKey key) {
        int hash = 31 * key.owner().hashCode() + key.topic().hashCode();
        return (hash ^ (hash >>> 6) ^ (hash >>> 12) ^ (hash >>> 18) ^ (hash >>> 24)) & (BUCKET_COUNT - 1);
    }

    /** The entry, or null if there is none. */
    StoredEntry get(EntryKey key) {
        Row row = rows.get(key);
        return row == null ? null : row.entry;
    }

    /** All entries, sorted by owner, then topic. */
    List<StoredEntry> entries() {
        return rows.values().stream().map(row -> row.entry).toList();
    }

    int size() {
        return rows.size();
    }

    long sizeBytes() {
        return sizeBytes;
    }

    /** Whether the entry fits, in place of its earlier version if there is one. */
    boolean hasRoomFor(StoredEntry entry) {
        Row row = rows.get(entry.key());
        return (row != null || rows.size() < MAX_ENTRIES)
                && sizeBytes + entry.sizeBytes() - (row == null ? 0 : row.entry.sizeBytes()) <= MAX_BYTES;
    }

    MergeResult merge(StoredEntry entry) {
        StoredEntry known = get(entry.key());
        if (known != null && known.isNewerThan(entry)) {
            return MergeResult.OLDER;
        }
        boolean newer = known == null || entry.isNewerThan(known);
        StoredEntry merged = newer ? entry : known.mergedWith(entry);
        boolean unchanged = !newer && merged.digests().equals(known.digests());
        if (!unchanged && !hasRoomFor(merged)) {
            return MergeResult.NO_ROOM;
        }
        if (!unchanged || merged.publishedAt().compareTo(known.publishedAt()) > 0) {
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
            bucketChecksums[bucket(key)] ^= row.unshared ? 0 : row.fingerprint;
        }
    }

    /** Drops entries past their lifetime, which are returned, and stops sharing those near it. */
    List<StoredEntry> expire(Duration now, RetentionPolicy policy) {
        List<StoredEntry> expired = new ArrayList<>();
        for (Row row : List.copyOf(rows.values())) {
            Duration age = row.entry.age(now);
            if (age.compareTo(policy.lifetime(row.entry)) >= 0) {
                remove(row.entry.key());
                expired.add(row.entry);
            } else if (!row.unshared && age.compareTo(policy.shareableFor(row.entry)) >= 0) {
                row.unshared = true;
                bucketChecksums[bucket(row.entry.key())] ^= row.fingerprint;
            }
        }
        return expired;
    }

    /** Whether there is an entry of that key that is young enough to be sent. */
    boolean isShareable(EntryKey key) {
        Row row = rows.get(key);
        return row != null && !row.unshared;
    }

    /** Of each bucket the exclusive-or of the fingerprints of its shareable entries. */
    long[] bucketChecksums() {
        return bucketChecksums.clone();
    }

    /** The version held of that key, or null if there is none. */
    EntryVersion version(EntryKey key) {
        Row row = rows.get(key);
        return row == null ? null : version(key, row);
    }

    private static EntryVersion version(EntryKey key, Row row) {
        return new EntryVersion(key, row.entry.incarnation(), row.entry.sequence(), row.fingerprint);
    }

    /** The versions of all shareable entries in some buckets, given as a bit mask. */
    List<EntryVersion> versions(long bucketMask) {
        List<EntryVersion> versions = new ArrayList<>();
        rows.forEach((key, row) -> {
            if (((bucketMask >>> bucket(key)) & 1) == 1 && !row.unshared) {
                versions.add(version(key, row));
            }
        });
        return versions;
    }

    /** SHA-256 over all entries in hexadecimal: equal where two tables are. */
    String digest() {
        MessageDigest sha256 = StoredEntry.sha256();
        rows.values()
                .forEach(row -> sha256.update(
                        ByteBuffer.allocate(Long.BYTES).putLong(row.fingerprint).array()));
        return HexFormat.of().formatHex(sha256.digest());
    }
}
