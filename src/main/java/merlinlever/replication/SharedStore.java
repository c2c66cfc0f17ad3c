package merlinlever.replication;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** What the backends of a fleet know in common, as one of them holds it now; what is put here reaches the others in time. */
public interface SharedStore {

    /** One value under two digests of the same owner, topic, incarnation and sequence: neither is taken, both owners are told. */
    record VersionConflict(String owner, String topic, long incarnation, long sequence, String one, String other) {}

    /** Hears of what came anew from other backends; what this one puts or passes itself it knows. */
    interface EntryListener {
        /** A newer word; without a value where its owner took it back. */
        void came(Duration now, VersionedEntry snapshot);

        /** The word counts no longer: it grew too old without its owner's refresh, or this one was away for too long. */
        default void gone(Duration now, String owner, String topic) {}

        /** The word was claimed twice and is set aside; what was adopted of an earlier version is the hearer's to keep or end. */
        default void clashed(Duration now, VersionConflict clash) {}
    }

    /** This backend's own word on the topic, in place of its last; false where there is no room for it. */
    boolean put(Duration now, String topic, byte[] value);

    /** Takes this backend's word back. */
    void remove(Duration now, String topic);

    /** Passes on what another owner said outside (a partner site), under the owner's own version; false where it is not newer or clashes. */
    boolean pass(Duration now, VersionedEntry snapshot);

    Optional<VersionedEntry> of(String owner, String topic);

    /** Of all owners, in the order of their names; what was taken back is not among it. */
    List<VersionedEntry> all(String topic);

    /** Those that stand now: a later word of the owner ends one. */
    List<VersionConflict> clashes();

    void hears(EntryListener hearer);
}
