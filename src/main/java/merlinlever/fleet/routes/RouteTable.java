package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The routes that one site publishes to another. A table of the same site with a higher incarnation, or with the same
 * incarnation and a higher sequence, replaces this table.
 *
 * @param site the publisher
 * @param relation relation of the publisher to the receiver
 * @param lease how long the receiver may use the table after the publisher last confirmed the table
 * @param routes the routes by {@link Route#id}; at most {@link #MAX_ROUTES}
 */
public record RouteTable(
        String site,
        long incarnation,
        long sequence,
        Relation relation,
        Duration lease,
        SortedMap<String, Route> routes) {

    /** Maximum number of routes in one table. */
    public static final int MAX_ROUTES = 16_384;

    public static final Duration MIN_LEASE = Duration.ofSeconds(1);
    public static final Duration MAX_LEASE = Duration.ofHours(1);

    /** Copies the routes. */
    public RouteTable {
        routes = Collections.unmodifiableSortedMap(new TreeMap<>(routes));
    }

    /** Creates a table of the routes. If several routes have the same id, the last one is used. */
    public static RouteTable of(
            String site, long incarnation, long sequence, Relation relation, Duration lease, Collection<Route> routes) {
        TreeMap<String, Route> byId = new TreeMap<>();
        routes.forEach(route -> byId.put(route.id(), route));
        return new RouteTable(site, incarnation, sequence, relation, lease, byId);
    }

    /** Whether this table has a higher incarnation, or the same incarnation and a higher sequence. */
    public boolean isLaterThan(RouteTable other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }

    /** Whether both tables have the same incarnation and sequence. */
    public boolean isSameVersion(RouteTable other) {
        return incarnation == other.incarnation && sequence == other.sequence;
    }

    /**
     * Returns a table that permits only what both tables permit, with the later version of the two. The routes of the
     * result do not depend on the order of the operands. The intersection applies withdrawals and tighter
     * restrictions at once, even while new routes and looser restrictions may not be adopted.
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
