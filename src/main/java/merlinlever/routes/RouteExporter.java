package merlinlever.routes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;

/** What one site's table to a partner holds: its own routes and, of each key, the best that may go there (Wang, Schapira and Rexford 2009). */
final class RouteExporter {

    private RouteExporter() {}

    static List<Route> of(
            RoutingPolicy rules,
            RouteMerger merge,
            Relation relation,
            String receiver,
            Collection<Route> own,
            String place,
            int calls,
            int cost,
            Predicate<RouteMerger.Candidate> usable) {
        TreeMap<String, Route> all = new TreeMap<>();
        for (Route each : own) {
            if (rules.refusal(null, each, receiver, relation) == null) {
                // Its own mark on what goes down or across comes with the first that has it.
                all.put(
                        each.id(),
                        relation == Relation.PROVIDER || each.downFrom() != null ? each : each.with(rules.self()));
            }
        }
        for (String key : merge.keys()) {
            for (RouteMerger.Candidate each : merge.ways(key)) {
                if (usable.test(each) && rules.refusal(each.relation(), each.route(), receiver, relation) == null) {
                    Route passed = rules.passedOn(each.route(), place, calls, cost, relation);
                    all.putIfAbsent(passed.id(), passed);
                    break;
                }
            }
        }
        List<Route> most = new ArrayList<>(all.values());
        return most.size() <= RouteTable.MOST ? most : most.subList(0, RouteTable.MOST);
    }
}
