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
    private RouteTable latest, used;

    private String digest;
    private Duration until = Duration.ZERO;
    /** What was in use before the latest, and until when, for the case that the latest was said in two ways. */
    private RouteTable before;

    private Duration beforeUntil = Duration.ZERO;
    private boolean clashing;

    PartnerTable(String site, Relation relation, double drift) {
        this.site = site;
        this.relation = relation;
        this.drift = drift;
    }

    /** It is said to have said that; true where what is in use changed. */
    boolean offer(Duration now, RouteTable table, String itsDigest, boolean mayWiden, Consumer<String> told) {
        if (!table.site().equals(site) || table.relation() != relation) {
            told.accept("a table of " + table.site() + " that calls itself "
                    + table.relation().wireName() + " is not that of " + site + ", " + relation.wireName());
            return false;
        }
        if (latest != null && !table.after(latest)) {
            return again(table, itsDigest, told);
        }
        expire(now);
        boolean holds = now.compareTo(until) < 0;
        before = holds ? used : null;
        beforeUntil = holds ? until : Duration.ZERO;
        clashing = false;
        latest = table;
        digest = itsDigest;
        // Where it said less before, that lease ends as the new one would.
        Duration longest = now.plus(table.lease());
        until = until.compareTo(longest) > 0 ? longest : until;
        used = mayWiden ? table : used == null ? none(table) : used.narrowed(table);
        return true;
    }

    private RouteTable none(RouteTable like) {
        return new RouteTable(site, like.incarnation(), like.sequence(), relation, like.lease(), new TreeMap<>());
    }

    /** What ran out is held no longer: to use it again is to take it on anew. */
    void expire(Duration now) {
        if (used != null && now.compareTo(until) >= 0 && !used.routes().isEmpty()) {
            used = none(latest);
        }
    }

    private boolean again(RouteTable table, String itsDigest, Consumer<String> told) {
        if (!table.sameVersion(latest)) {
            told.accept(site + " came with " + version(table) + ", which is older than " + version(latest)
                    + "; it is not taken");
            return false;
        }
        if (itsDigest.equals(digest)) {
            return false;
        }
        told.accept(site + " has two tables under " + version(table) + ", " + digest + " and " + itsDigest
                + "; neither is taken");
        if (!clashing) {
            clashing = true;
            used = before == null ? none(table) : before.narrowed(latest);
            until = beforeUntil;
        }
        used = used.narrowed(table);
        return true;
    }

    /** It surely stood by that version at a moment, or later, and so it may be used for so long from then. */
    boolean stoodBy(long incarnation, long sequence, String itsDigest, Duration from, Duration lasts) {
        if (latest == null
                || clashing
                || latest.incarnation() != incarnation
                || latest.sequence() != sequence
                || !itsDigest.equals(digest)) {
            return false;
        }
        Duration most = lasts.compareTo(latest.lease()) < 0 ? lasts : latest.lease();
        Duration end = from.plus(Duration.ofNanos((long) (most.toNanos() / (1 + drift))));
        if (end.compareTo(until) > 0) {
            until = end;
        }
        return true;
    }

    /** What was only narrowed so far may be widened now; true where that changed what is in use. */
    boolean widen() {
        if (latest == null || clashing || used == latest) {
            return false;
        }
        used = latest;
        return true;
    }

    static String version(RouteTable table) {
        return table.incarnation() + "." + table.sequence();
    }

    /** What may be used now, or null. */
    RouteTable used(Duration now) {
        return now.compareTo(until) < 0 ? used : null;
    }

    RouteTable latest() {
        return latest;
    }

    String digest() {
        return digest;
    }

    boolean clashing() {
        return clashing;
    }

    Duration until() {
        return until;
    }

    /** How long it may still be used, for telling others. */
    Duration left(Duration now) {
        return clashing || now.compareTo(until) >= 0 ? Duration.ZERO : until.minus(now);
    }

    /** It fell silent: more than half of its lease is over, and what it said is used last (RFC 4724). */
    boolean stale(Duration now) {
        return latest == null || left(now).compareTo(latest.lease().dividedBy(2)) < 0;
    }
}
