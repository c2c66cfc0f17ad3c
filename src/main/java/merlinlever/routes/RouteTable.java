package merlinlever.routes;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What one site publishes to another, whole. Of two of its tables the later by incarnation and then sequence counts.
 *
 * @param relation what the publisher is to the receiver, as the publisher sees it
 * @param lease so long it may be used from when the publisher was last heard to stand by it
 * @param routes by {@link Route#id}; {@link #MAX_ROUTES} at the most
 */
public record RouteTable(
        String site,
        long incarnation,
        long sequence,
        Relation relation,
        Duration lease,
        SortedMap<String, Route> routes) {

    /** Routes of one table at the most. */
    public static final int MAX_ROUTES = 16_384;

    public static final Duration MIN_LEASE = Duration.ofSeconds(1), MAX_LEASE = Duration.ofHours(1);

    public RouteTable {
        routes = Collections.unmodifiableSortedMap(new TreeMap<>(routes));
    }

    public static RouteTable of(
            String site, long incarnation, long sequence, Relation relation, Duration lease, Collection<Route> routes) {
        TreeMap<String, Route> byId = new TreeMap<>();
        routes.forEach(route -> byId.put(route.id(), route));
        return new RouteTable(site, incarnation, sequence, relation, lease, byId);
    }

    public boolean isLaterThan(RouteTable other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }

    public boolean isSameVersion(RouteTable other) {
        return incarnation == other.incarnation && sequence == other.sequence;
    }

    /**
     * What both this one and the other allow, under the later version of the two; the same in any order but for that. So a
     * tightening or a withdrawal holds at once where a loosening or a new route may not be taken on yet.
     */
    public RouteTable intersect(RouteTable other) {
        TreeMap<String, Route> both = new TreeMap<>();
        routes.forEach((id, route) -> {
            Route counterpart = other.routes.get(id);
            if (counterpart != null) {
                both.put(id, route.intersect(counterpart));
            }
        });
        RouteTable later = other.isLaterThan(this) ? other : this;
        return new RouteTable(
                site,
                later.incarnation,
                later.sequence,
                later.relation,
                lease.compareTo(other.lease) < 0 ? lease : other.lease,
                both);
    }
}
