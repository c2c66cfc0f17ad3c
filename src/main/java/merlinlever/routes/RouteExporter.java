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
            RoutingPolicy policy,
            RouteMerger merger,
            Relation relation,
            String receiver,
            Collection<Route> ownRoutes,
            String address,
            int callsPerSecond,
            int cost,
            Predicate<RouteMerger.Candidate> usable) {
        TreeMap<String, Route> exported = new TreeMap<>();
        for (Route each : ownRoutes) {
            if (policy.findViolation(null, each, receiver, relation) == null) {
                // Its own mark on what goes down or across comes with the first that has it.
                exported.put(
                        each.id(),
                        relation == Relation.PROVIDER || each.onlyToCustomerSite() != null ? each : each.withOnlyToCustomerSite(policy.self()));
            }
        }
        for (String key : merger.keys()) {
            for (RouteMerger.Candidate each : merger.candidates(key)) {
                if (usable.test(each) && policy.findViolation(each.relation(), each.route(), receiver, relation) == null) {
                    Route route = policy.toExported(each.route(), address, callsPerSecond, cost, relation);
                    exported.putIfAbsent(route.id(), route);
                    break;
                }
            }
        }
        List<Route> list = new ArrayList<>(exported.values());
        return list.size() <= RouteTable.MAX_ROUTES ? list : list.subList(0, RouteTable.MAX_ROUTES);
    }
}
