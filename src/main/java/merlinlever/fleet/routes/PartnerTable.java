package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.TreeMap;
import merlinlever.common.log.EventLog;

/**
 * The latest table of one partner, the part of it that is active, and until when. A table is valid for a lease from a moment at
 * which the partner surely stood by it; so a message that comes late, twice or never widens nothing, and a tighter restriction
 * that does not arrive holds when the lease is over. Times are since the process began. Not thread-safe.
 */
final class PartnerTable {

    private final String site;
    private final Relation relation;
    private final double clockDrift;
    /** The latest table that the partner published, or null, and its digest. */
    private RouteTable latest;

    private String digest;
    /** What may be used: the latest table, or only what was allowed before as well; null before the first. */
    private RouteTable active;

    private Duration validUntil = Duration.ZERO;
    /** What was active before the latest, and until when, in case that two tables have the latest's version. */
    private RouteTable previous;

    private Duration previousValidUntil = Duration.ZERO;
    private boolean conflicting;

    /**
     * A partner of which no table is known yet.
     *
     * @param clockDrift upper bound of the fraction by which the partner's clock and this one run apart
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
     * Takes in a table that is said to be the partner's.
     *
     * @param mayWiden whether what it newly allows may be adopted now
     * @return whether what is active changed
     */
    boolean offer(Duration now, RouteTable table, String tableDigest, boolean mayWiden, EventLog log) {
        if (!table.site().equals(site) || table.relation() != relation) {
            log.info("route-table-rejected partner=" + site + " reason=wrong-relation site=" + table.site()
                    + " relation=" + table.relation().wireName() + " expected=" + relation.wireName());
            return false;
        }
        if (latest != null && !table.isLaterThan(latest)) {
            return offerOldVersion(table, tableDigest, log);
        }
        expire(now);
        boolean isValid = now.compareTo(validUntil) < 0;
        previous = isValid ? active : null;
        previousValidUntil = isValid ? validUntil : Duration.ZERO;
        conflicting = false;
        latest = table;
        digest = tableDigest;
        // Where its lease is shorter than before, the earlier one ends as the new one would.
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

    /** Drops what is not valid any more: to use it again is to adopt it anew. */
    void expire(Duration now) {
        if (active != null && now.compareTo(validUntil) >= 0 && !active.routes().isEmpty()) {
            active = emptyTable(latest);
        }
    }

    private boolean offerOldVersion(RouteTable table, String tableDigest, EventLog log) {
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
     * Renews the lease: the partner surely stood by that version at a moment, or later.
     *
     * @param confirmedAt that moment
     * @param duration how long the table may be used from then
     * @return whether that is the version that is known
     */
    boolean renew(long incarnation, long sequence, String tableDigest, Duration confirmedAt, Duration duration) {
        if (latest == null
                || conflicting
                || latest.incarnation() != incarnation
                || latest.sequence() != sequence
                || !tableDigest.equals(digest)) {
            return false;
        }
        Duration longest = duration.compareTo(latest.lease()) < 0 ? duration : latest.lease();
        Duration onAnyClock = Duration.ofNanos((long) (longest.toNanos() / (1 + clockDrift)));
        Duration expiry = confirmedAt.plus(onAnyClock);
        if (expiry.compareTo(validUntil) > 0) {
            validUntil = expiry;
        }
        return true;
    }

    /** Adopts what the latest table newly allows; returns whether that changed what is active. */
    @SuppressWarnings("ReferenceEquality") // a narrowed table is another object, though it may allow the same
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

    /** What may be used now, or null. */
    RouteTable active(Duration now) {
        return now.compareTo(validUntil) < 0 ? active : null;
    }

    /** The latest table, active or not; null before the first. */
    RouteTable latest() {
        return latest;
    }

    String digest() {
        return digest;
    }

    /** Whether two tables came under the latest version. */
    boolean isConflicting() {
        return conflicting;
    }

    /** How long it may still be used, for peers. */
    Duration remaining(Duration now) {
        return conflicting || now.compareTo(validUntil) >= 0 ? Duration.ZERO : validUntil.minus(now);
    }

    /** Whether more than half of its lease is over, so that its routes are used last (RFC 4724). */
    boolean isStale(Duration now) {
        return latest == null || remaining(now).compareTo(latest.lease().dividedBy(2)) < 0;
    }
}
