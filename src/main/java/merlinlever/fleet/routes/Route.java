package merlinlever.fleet.routes;

import java.util.List;

/**
 * One way in which a partner site takes calls of a priority class.
 *
 * @param group what the calls are for: addresses of one group stand in for each other
 * @param address ADDRESS:PORT of the publisher that takes the calls
 * @param callsPerSecond of the whole site that it is published to
 * @param cost the lower the better; without a unit
 * @param allowsNonIdempotent whether non-idempotent calls may go along it
 * @param path the sites that a call passes, the publisher first, the origin last
 * @param onlyToCustomerSite the site from which on it is exported only to customers (the OTC attribute of RFC 9234); null while it only
 *     went towards providers
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

    /** What routes are alternatives for: calls of a priority class to a group. */
    public String key() {
        return priorityClass + "/" + group;
    }

    /** Identifies it among the routes of one table. */
    public String id() {
        return priorityClass + "/" + group + "/" + address + "/" + String.join(">", path);
    }

    /** The site that takes the calls in the end. */
    public String origin() {
        return path.get(path.size() - 1);
    }

    /** What both of two versions of it allow; the same in any order. */
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
                firstOrPresent(onlyToCustomerSite, other.onlyToCustomerSite),
                restrictions.intersect(other.restrictions));
    }

    /** The one that is present, or the first by name of both. */
    private static String firstOrPresent(String one, String other) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        return other.compareTo(one) < 0 ? other : one;
    }

    Route withOnlyToCustomerSite(String site) {
        return new Route(
                priorityClass, group, address, callsPerSecond, cost, allowsNonIdempotent, path, site, restrictions);
    }
}
