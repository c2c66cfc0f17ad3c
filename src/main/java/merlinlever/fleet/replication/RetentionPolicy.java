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

    /** After this time the entry is dropped. */
    Duration lifetime(StoredEntry entry) {
        return entry.isTombstone() ? retention.plus(retention.dividedBy(8)) : retention;
    }

    /** After this time the entry is neither sent nor accepted any more. */
    Duration shareableFor(StoredEntry entry) {
        Duration lifetime = lifetime(entry);
        return lifetime.minus(lifetime.dividedBy(8));
    }

    /** How often owners publish their entries again, under a new version. */
    Duration refreshInterval() {
        return retention.dividedBy(4);
    }

    /** A replica that was paused for so long drops the entries of others, as they may have dropped them meanwhile. */
    Duration maxPause() {
        return retention.dividedBy(2);
    }
}
