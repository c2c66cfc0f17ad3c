package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.TreeMap;
import merlinlever.common.log.EventLog;

/**
 * The latest route table of one partner, the active part of the table, and the end of its lease. The lease starts no
 * later than the partner's last confirmation of the table. Delayed, duplicate or lost messages therefore never extend
 * the permitted routes, and a lost withdrawal or tighter restriction takes effect at the latest when the lease
 * expires. Times are durations since the start of the process. Not thread-safe.
 */
final class PartnerTable {

    private final String site;
    private final Relation relation;
    private final double clockDrift;
    /** Latest table that the partner published; null before the first. */
    private RouteTable latest;

    /** Digest of the latest table. */
    private String digest;
    /**
     * The table in use: the latest table, or its intersection with the previous one while the newly permitted routes
     * are not adopted. Null before the first table.
     */
    private RouteTable active;

    private Duration validUntil = Duration.ZERO;
    /** Table that was active before the latest one, used when two different tables carry the version of the latest. */
    private RouteTable previous;

    private Duration previousValidUntil = Duration.ZERO;
    private boolean conflicting;

    /**
     * Creates the state of a partner without a table.
     *
     * @param clockDrift maximum relative rate difference between the partner's clock and the clock of this process
     */
    PartnerTable(String site, Relation relation, double clockDrift) {
        this.site = site;
        this.relation = relation;
        this.clockDrift = clockDrift;
    }

    String site() {
        return site;
    }

    Relation relation() {
        return relation;
    }

    /**
     * Handles a table received for this partner.
     *
     * @param mayWiden whether newly permitted routes may be adopted now
     * @return whether the active table changed
     */
    boolean offer(Duration now, RouteTable table, String tableDigest, boolean mayWiden, EventLog log) {
        if (!table.site().equals(site) || table.relation() != relation) {
            log.info("route-table-rejected partner=" + site + " reason=wrong-relation site=" + table.site()
                    + " relation=" + table.relation().wireName() + " expected=" + relation.wireName());
            return false;
        }
        if (latest != null && !table.isLaterThan(latest)) {
            return handleOldVersion(table, tableDigest, log);
        }
        expire(now);
        boolean isLeaseValid = now.compareTo(validUntil) < 0;
        previous = isLeaseValid ? active : null;
        previousValidUntil = isLeaseValid ? validUntil : Duration.ZERO;
        conflicting = false;
        latest = table;
        digest = tableDigest;
        // A shorter lease of the new table also shortens the current lease.
        Duration latestExpiry = now.plus(table.lease());
        if (validUntil.compareTo(latestExpiry) > 0) {
            validUntil = latestExpiry;
        }
        if (mayWiden) {
            active = table;
        } else {
            active = active == null ? emptyTable(table) : active.intersect(table);
        }
        return true;
    }

    private RouteTable emptyTable(RouteTable version) {
        return new RouteTable(
                site, version.incarnation(), version.sequence(), relation, version.lease(), new TreeMap<>());
    }

    /**
     * Empties the active table if its lease has expired. The routes count as newly permitted when the lease is
     * renewed.
     */
    void expire(Duration now) {
        if (active != null && now.compareTo(validUntil) >= 0 && !active.routes().isEmpty()) {
            active = emptyTable(latest);
        }
    }

    private boolean handleOldVersion(RouteTable table, String tableDigest, EventLog log) {
        if (!table.isSameVersion(latest)) {
            log.info("route-table-rejected partner=" + site + " reason=older-version version=" + formatVersion(table)
                    + " latest=" + formatVersion(latest));
            return false;
        }
        if (tableDigest.equals(digest)) {
            return false;
        }
        log.info("route-table-conflict partner=" + site + " version=" + formatVersion(table) + " digest=" + digest
                + " other_digest=" + tableDigest);
        if (!conflicting) {
            conflicting = true;
            active = previous == null ? emptyTable(table) : previous.intersect(latest);
            validUntil = previousValidUntil;
        }
        active = active.intersect(table);
        return true;
    }

    /**
     * Renews the lease of the latest table.
     *
     * @param confirmedAt start of the new lease, no later than the partner's confirmation of the given version
     * @param duration duration of the new lease
     * @return false if the given version is not the latest known version, or the latest version is conflicting
     */
    boolean renew(long incarnation, long sequence, String tableDigest, Duration confirmedAt, Duration duration) {
        if (latest == null
                || conflicting
                || latest.incarnation() != incarnation
                || latest.sequence() != sequence
                || !tableDigest.equals(digest)) {
            return false;
        }
        Duration leaseDuration = duration.compareTo(latest.lease()) < 0 ? duration : latest.lease();
        Duration driftAdjusted = Duration.ofNanos((long) (leaseDuration.toNanos() / (1 + clockDrift)));
        Duration expiry = confirmedAt.plus(driftAdjusted);
        if (expiry.compareTo(validUntil) > 0) {
            validUntil = expiry;
        }
        return true;
    }

    /** Adopts the newly permitted routes of the latest table; returns whether the active table changed. */
    @SuppressWarnings("ReferenceEquality") // an intersection is a different object, even if it has the same routes
    boolean adoptWidening() {
        if (latest == null || conflicting || active == latest) {
            return false;
        }
        active = latest;
        return true;
    }

    static String formatVersion(RouteTable table) {
        return table.incarnation() + "." + table.sequence();
    }

    /** The table in use at the given time, or null if no lease is valid. */
    RouteTable active(Duration now) {
        return now.compareTo(validUntil) < 0 ? active : null;
    }

    /** The latest table, whether active or not; null before the first. */
    RouteTable latest() {
        return latest;
    }

    String digest() {
        return digest;
    }

    /** Whether two different tables with the latest version were received. */
    boolean isConflicting() {
        return conflicting;
    }

    /** Remaining lease time, which is passed on to peers; zero if the latest version is conflicting. */
    Duration remaining(Duration now) {
        return conflicting || now.compareTo(validUntil) >= 0 ? Duration.ZERO : validUntil.minus(now);
    }

    /** Whether more than half of the lease has passed. The routes of a stale table are used last (RFC 4724). */
    boolean isStale(Duration now) {
        return latest == null || remaining(now).compareTo(latest.lease().dividedBy(2)) < 0;
    }
}
