package merlinlever.fleet.replication;

import java.util.List;
import merlinlever.fleet.replication.EntryTable.EntryVersion;
import merlinlever.fleet.replication.StoredEntry.EntryKey;

/** A message between replicas, encoded by {@link GossipCodec}. */
sealed interface GossipMessage {

    /** Starts a comparison; the receiver answers with its versions in the buckets that differ. */
    record BucketChecksums(long[] checksums) implements GossipMessage {}

    /**
     * Versions of the sender's entries. The receiver requests the entries that are newer at the sender, and sends the
     * entries that are newer at the receiver.
     *
     * @param completeBuckets bit mask of the buckets whose versions are all listed; 0 in an announcement of new entries
     */
    record VersionList(long completeBuckets, List<EntryVersion> versions) implements GossipMessage {}

    /** Entries with their values. */
    record EntryBatch(List<AgedEntry> entries) implements GossipMessage {}

    /** Requests entries with their values. */
    record EntryRequest(List<EntryKey> keys) implements GossipMessage {}

    /**
     * An entry in a message. The entry is sent with its age instead of a time, as the steady clocks of two processes
     * have different origins.
     *
     * @param entry the entry, with a publication time of 0
     * @param ageMs minimum time between publication and receipt, in ms
     */
    record AgedEntry(StoredEntry entry, long ageMs) {}
}
