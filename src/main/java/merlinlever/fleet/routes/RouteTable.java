package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All that one site publishes to another. Of two tables of a site the later by incarnation and then sequence counts.
 *
 * @param site the publisher
 * @param relation what the receiver has in the publisher
 * @param lease how long it may be used from when the publisher was last known to stand by it
 * @param routes by {@link Route#id}; at most {@link #MAX_ROUTES}
 */
public record RouteTable(
        String site,
        long incarnation,
        long sequence,
        Relation relation,
        Duration lease,
        SortedMap<String, Route> routes) {

    /** Upper bound of the routes of one table. */
    public static final int MAX_ROUTES = 16_384;

    public static final Duration MIN_LEASE = Duration.ofSeconds(1);
    public static final Duration MAX_LEASE = Duration.ofHours(1);

    /** Copies the routes. */
    public RouteTable {
        routes = Collections.unmodifiableSortedMap(new TreeMap<>(routes));
    }

    /** A table of these routes; of two with one id the last. */
    public static RouteTable of(
            String site, long incarnation, long sequence, Relation relation, Duration lease, Collection<Route> routes) {
        TreeMap<String, Route> byId = new TreeMap<>();
        routes.forEach(route -> byId.put(route.id(), route));
        return new RouteTable(site, incarnation, sequence, relation, lease, byId);
    }

    /** Whether it has a higher incarnation, or the same and a higher sequence. */
    public boolean isLaterThan(RouteTable other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }

    /** Whether it has the same incarnation and sequence. */
    public boolean isSameVersion(RouteTable other) {
        return incarnation == other.incarnation && sequence == other.sequence;
    }

    /**
     * What both this table and the other allow, under the later version of the two; but for that the same in any order. So a
     * tighter restriction or a withdrawal holds at once where a looser one or a new route may not be adopted yet.
     */
    public RouteTable intersect(RouteTable other) {
        TreeMap<String, Route> inBoth = new TreeMap<>();
        routes.forEach((id, route) -> {
            Route counterpart = other.routes.get(id);
            if (counterpart != null) {
                inBoth.put(id, route.intersect(counterpart));
            }
        });
        RouteTable later = other.isLaterThan(this) ? other : this;
        Duration shorterLease = lease.compareTo(other.lease) < 0 ? lease : other.lease;
        return new RouteTable(site, later.incarnation, later.sequence, later.relation, shorterLease, inBoth);
    }
}
