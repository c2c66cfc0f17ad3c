package merlinlever.fleet.replication;

import java.time.Duration;

/**
 * Lifetime of entries after their owner last published them. An entry is sent and accepted only during the first seven
 * eighths of its lifetime, so that neither clock drift nor delayed messages restore an entry that others have dropped.
 * A tombstone outlives all copies of the removed value, so a removed entry cannot reappear.
 *
 * @param retention the lifetime of a value
 */
record RetentionPolicy(Duration retention) {

    /**
     * Divisor of the safety margin: a tombstone lives longer than a value by this fraction of the retention, and an
     * entry is no longer shared during this last fraction of its lifetime.
     */
    private static final int SAFETY_DIVISOR = 8;

    private static final int REFRESHES_PER_RETENTION = 4;

    /** Returns the age at which the entry is dropped. */
    Duration lifetime(StoredEntry entry) {
        return entry.isTombstone() ? retention.plus(retention.dividedBy(SAFETY_DIVISOR)) : retention;
    }

    /** Returns the age from which the entry is neither sent nor accepted. */
    Duration shareableFor(StoredEntry entry) {
        Duration lifetime = lifetime(entry);
        return lifetime.minus(lifetime.dividedBy(SAFETY_DIVISOR));
    }

    /** Returns the interval at which owners publish their entries again, under a new version. */
    Duration refreshInterval() {
        return retention.dividedBy(REFRESHES_PER_RETENTION);
    }

    /** Returns the pause after which a replica drops all foreign entries, as other replicas may have dropped them. */
    Duration maxPause() {
        return retention.dividedBy(2);
    }
}
