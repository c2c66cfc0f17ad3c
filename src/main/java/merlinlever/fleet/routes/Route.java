package merlinlever.fleet.routes;

import java.util.List;

/**
 * A route along which a partner site accepts calls of a priority class.
 *
 * @param group the service that the calls are for; the addresses of one group are interchangeable
 * @param address ADDRESS:PORT at which the publisher accepts the calls
 * @param callsPerSecond maximum rate of the whole site that receives the route
 * @param cost cost without a unit; a lower cost is preferred
 * @param allowsNonIdempotent whether non-idempotent calls may use the route
 * @param path the sites that a call passes, from the publisher to the origin
 * @param onlyToCustomerSite the site that marked the route for export to customers only (the OTC attribute of RFC
 *     9234); null while the route was exported only to providers
 * @param restrictions the restrictions set by the origin
 */
public record Route(
        String priorityClass,
        String group,
        String address,
        int callsPerSecond,
        int cost,
        boolean allowsNonIdempotent,
        List<String> path,
        String onlyToCustomerSite,
        Restrictions restrictions) {

    /** Copies the path. */
    public Route {
        path = List.copyOf(path);
    }

    /** The priority class and the group. Routes with the same key are alternatives. */
    public String key() {
        return priorityClass + "/" + group;
    }

    /** Identifier of the route within its table. */
    public String id() {
        return priorityClass + "/" + group + "/" + address + "/" + String.join(">", path);
    }

    /** The site that processes the calls. */
    public String origin() {
        return path.get(path.size() - 1);
    }

    /** Returns a route that permits only what both versions of this route permit. The operation is commutative. */
    Route intersect(Route other) {
        if (equals(other)) {
            return this;
        }
        return new Route(
                priorityClass,
                group,
                address,
                Math.min(callsPerSecond, other.callsPerSecond),
                Math.max(cost, other.cost),
                allowsNonIdempotent && other.allowsNonIdempotent,
                path,
                minIgnoringNull(onlyToCustomerSite, other.onlyToCustomerSite),
                restrictions.intersect(other.restrictions));
    }

    /** Returns the non-null argument, or the alphabetically first of two. */
    private static String minIgnoringNull(String first, String second) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return second.compareTo(first) < 0 ? second : first;
    }

    Route withOnlyToCustomerSite(String site) {
        return new Route(
                priorityClass, group, address, callsPerSecond, cost, allowsNonIdempotent, path, site, restrictions);
    }
}
