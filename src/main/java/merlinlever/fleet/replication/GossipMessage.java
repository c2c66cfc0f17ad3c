package merlinlever.fleet.replication;

import java.util.List;
import merlinlever.fleet.replication.EntryTable.EntryVersion;
import merlinlever.fleet.replication.StoredEntry.EntryKey;

/** What replicas send each other; {@link GossipCodec} has the bytes. */
sealed interface GossipMessage {

    /** Starts a comparison: the receiver answers with its versions in the buckets that differ. */
    record BucketChecksums(long[] checksums) implements GossipMessage {}

    /**
     * Versions that the sender holds. The receiver requests what is newer there and sends what is newer here.
     *
     * @param completeBuckets bit mask of the buckets of which these are all versions; 0 if new entries are only announced
     */
    record VersionList(long completeBuckets, List<EntryVersion> versions) implements GossipMessage {}

    /** Whole entries. */
    record EntryBatch(List<AgedEntry> entries) implements GossipMessage {}

    /** Requests whole entries. */
    record EntryRequest(List<EntryKey> keys) implements GossipMessage {}

    /**
     * An entry under way. As clocks of two processes have no common origin, it travels with its age.
     *
     * @param entry with a publication time of 0
     * @param ageMs how long before the receipt it was published, at least
     */
    record AgedEntry(StoredEntry entry, long ageMs) {}
}
