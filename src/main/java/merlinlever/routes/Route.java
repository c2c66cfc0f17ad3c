package merlinlever.routes;

import java.util.List;

/**
 * One way on which a partner site takes calls of a tariff.
 *
 * @param group what the calls are for: places of one group stand in for each other
 * @param address ADDRESS:PORT of the publisher that takes the calls
 * @param callsPerSecond a second, of the whole site that it is published to
 * @param allowsNonIdempotent whether binding work may go along it
 * @param path the sites that a call passes, the publisher first, the origin last
 * @param onlyToCustomerSite the site from which on it goes only to customers (OTC in RFC 9234); null while it only went up
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

    public Route {
        path = List.copyOf(path);
    }

    /** What is chosen among alternatives for: calls of a tariff to a group of places. */
    public String key() {
        return priorityClass + "/" + group;
    }

    /** Which it is among those of one table. */
    public String id() {
        return priorityClass + "/" + group + "/" + address + "/" + String.join(">", path);
    }

    public String origin() {
        return path.get(path.size() - 1);
    }

    /** What both of two versions of it allow; the same in any order. */
    Route intersect(Route other) {
        if (equals(other)) {
            return this;
        }
        String down = onlyToCustomerSite == null || other.onlyToCustomerSite != null && other.onlyToCustomerSite.compareTo(onlyToCustomerSite) < 0
                ? other.onlyToCustomerSite
                : onlyToCustomerSite;
        return new Route(
                priorityClass,
                group,
                address,
                Math.min(callsPerSecond, other.callsPerSecond),
                Math.max(cost, other.cost),
                allowsNonIdempotent && other.allowsNonIdempotent,
                path,
                down,
                restrictions.intersect(other.restrictions));
    }

    Route withOnlyToCustomerSite(String mark) {
        return new Route(priorityClass, group, address, callsPerSecond, cost, allowsNonIdempotent, path, mark, restrictions);
    }
}
