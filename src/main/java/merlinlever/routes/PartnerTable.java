package merlinlever.routes;

import java.time.Duration;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * What one partner said last, what of it is in use, and until when. What it says holds for a lease from a moment at which it
 * surely stood by it; so a word that comes late, twice or never widens nothing, and a tightening that does not get here holds
 * when the lease is over. Times are since the process began.
 */
final class PartnerTable {

    final String site;
    final Relation relation;
    private final double drift;
    /** The latest it said, and what is in use of it: all of it, or what was in use before as well. */
    private RouteTable latest, active;

    private String digest;
    private Duration validUntil = Duration.ZERO;
    /** What was in use before the latest, and until when, for the case that the latest was said in two ways. */
    private RouteTable previous;

    private Duration previousValidUntil = Duration.ZERO;
    private boolean conflicting;

    PartnerTable(String site, Relation relation, double drift) {
        this.site = site;
        this.relation = relation;
        this.drift = drift;
    }

    /** It is said to have said that; true where what is in use changed. */
    boolean offer(Duration now, RouteTable table, String tableDigest, boolean mayWiden, Consumer<String> log) {
        if (!table.site().equals(site) || table.relation() != relation) {
            log.accept("a table of " + table.site() + " that calls itself "
                    + table.relation().wireName() + " is not that of " + site + ", " + relation.wireName());
            return false;
        }
        if (latest != null && !table.isLaterThan(latest)) {
            return offerSameVersion(table, tableDigest, log);
        }
        expire(now);
        boolean isValid = now.compareTo(validUntil) < 0;
        previous = isValid ? active : null;
        previousValidUntil = isValid ? validUntil : Duration.ZERO;
        conflicting = false;
        latest = table;
        digest = tableDigest;
        // Where it said less before, that lease ends as the new one would.
        Duration latestExpiry = now.plus(table.lease());
        validUntil = validUntil.compareTo(latestExpiry) > 0 ? latestExpiry : validUntil;
        active = mayWiden ? table : active == null ? emptyTable(table) : active.intersect(table);
        return true;
    }

    private RouteTable emptyTable(RouteTable version) {
        return new RouteTable(site, version.incarnation(), version.sequence(), relation, version.lease(), new TreeMap<>());
    }

    /** What ran out is held no longer: to use it again is to take it on anew. */
    void expire(Duration now) {
        if (active != null && now.compareTo(validUntil) >= 0 && !active.routes().isEmpty()) {
            active = emptyTable(latest);
        }
    }

    private boolean offerSameVersion(RouteTable table, String tableDigest, Consumer<String> log) {
        if (!table.isSameVersion(latest)) {
            log.accept(site + " came with " + formatVersion(table) + ", which is older than " + formatVersion(latest)
                    + "; it is not taken");
            return false;
        }
        if (tableDigest.equals(digest)) {
            return false;
        }
        log.accept(site + " has two tables under " + formatVersion(table) + ", " + digest + " and " + tableDigest
                + "; neither is taken");
        if (!conflicting) {
            conflicting = true;
            active = previous == null ? emptyTable(table) : previous.intersect(latest);
            validUntil = previousValidUntil;
        }
        active = active.intersect(table);
        return true;
    }

    /** It surely stood by that version at a moment, or later, and so it may be used for so long from then. */
    boolean renew(long incarnation, long sequence, String tableDigest, Duration confirmedAt, Duration duration) {
        if (latest == null
                || conflicting
                || latest.incarnation() != incarnation
                || latest.sequence() != sequence
                || !tableDigest.equals(digest)) {
            return false;
        }
        Duration longest = duration.compareTo(latest.lease()) < 0 ? duration : latest.lease();
        Duration expiry = confirmedAt.plus(Duration.ofNanos((long) (longest.toNanos() / (1 + drift))));
        if (expiry.compareTo(validUntil) > 0) {
            validUntil = expiry;
        }
        return true;
    }

    /** What was only narrowed so far may be widened now; true where that changed what is in use. */
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

    RouteTable latest() {
        return latest;
    }

    String digest() {
        return digest;
    }

    boolean isConflicting() {
        return conflicting;
    }

    Duration validUntil() {
        return validUntil;
    }

    /** How long it may still be used, for telling others. */
    Duration remaining(Duration now) {
        return conflicting || now.compareTo(validUntil) >= 0 ? Duration.ZERO : validUntil.minus(now);
    }

    /** It fell silent: more than half of its lease is over, and what it said is used last (RFC 4724). */
    boolean isStale(Duration now) {
        return latest == null || remaining(now).compareTo(latest.lease().dividedBy(2)) < 0;
    }
}
