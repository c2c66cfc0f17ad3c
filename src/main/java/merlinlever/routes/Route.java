package merlinlever.routes;

import java.util.List;

/**
 * One way on which a partner site takes calls of a tariff.
 *
 * @param group what the calls are for: places of one group stand in for each other
 * @param place ADDRESS:PORT of the publisher that takes the calls
 * @param calls a second, of the whole site that it is published to
 * @param binding whether binding work may go along it
 * @param path the sites that a call passes, the publisher first, the origin last
 * @param downFrom the site from which on it goes only to customers (OTC in RFC 9234); null while it only went up
 */
public record Route(
        String tariff,
        String group,
        String place,
        int calls,
        int cost,
        boolean binding,
        List<String> path,
        String downFrom,
        Restrictions restrictions) {

    public Route {
        path = List.copyOf(path);
    }

    /** What is chosen among alternatives for: calls of a tariff to a group of places. */
    public String key() {
        return tariff + "/" + group;
    }

    /** Which it is among those of one table. */
    public String id() {
        return tariff + "/" + group + "/" + place + "/" + String.join(">", path);
    }

    public String origin() {
        return path.get(path.size() - 1);
    }

    /** What both of two versions of it allow; the same in any order. */
    Route and(Route other) {
        if (equals(other)) {
            return this;
        }
        String down = downFrom == null || (other.downFrom != null && other.downFrom.compareTo(downFrom) < 0)
                ? other.downFrom
                : downFrom;
        return new Route(
                tariff,
                group,
                place,
                Math.min(calls, other.calls),
                Math.max(cost, other.cost),
                binding && other.binding,
                path,
                down,
                restrictions.and(other.restrictions));
    }

    Route with(String mark) {
        return new Route(tariff, group, place, calls, cost, binding, path, mark, restrictions);
    }
}
