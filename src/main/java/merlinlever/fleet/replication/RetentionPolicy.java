package merlinlever.fleet.replication;

import java.time.Duration;

/**
 * How long entries live after their owner published them last. An entry is sent and accepted for seven eighths of its lifetime only, so
 * that neither clocks that run at different rates nor late messages bring back what others have dropped. A tombstone is kept longer
 * than any copy of the removed value can live, so a removed entry cannot reappear.
 *
 * @param retention the lifetime of a value
 */
record RetentionPolicy(Duration retention) {

    /** A tombstone lives longer by this part of the retention; an entry is no more shared in this last part of its lifetime. */
    private static final int SAFETY_DIVISOR = 8;

    private static final int REFRESHES_PER_RETENTION = 4;

    /** After this time the entry is dropped. */
    Duration lifetime(StoredEntry entry) {
        return entry.isTombstone() ? retention.plus(retention.dividedBy(SAFETY_DIVISOR)) : retention;
    }

    /** After this time the entry is neither sent nor accepted any more. */
    Duration shareableFor(StoredEntry entry) {
        Duration lifetime = lifetime(entry);
        return lifetime.minus(lifetime.dividedBy(SAFETY_DIVISOR));
    }

    /** How often owners publish their entries again, under a new version. */
    Duration refreshInterval() {
        return retention.dividedBy(REFRESHES_PER_RETENTION);
    }

    /** A replica that was paused for so long drops the entries of others, as they may have dropped them meanwhile. */
    Duration maxPause() {
        return retention.dividedBy(2);
    }
}
