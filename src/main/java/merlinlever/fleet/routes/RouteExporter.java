package merlinlever.fleet.routes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * What one site publishes to a partner: its own routes and, for each key, the best that may be exported there (Wang, Schapira and
 * Rexford 2009).
 */
final class RouteExporter {

    /**
     * The partner that a table is for, and what the publisher takes.
     *
     * @param relation what the partner is to the publisher
     * @param address of the publisher, where it takes calls of the routes that it exports on
     * @param maxCallsPerSecond that the publisher takes on each of them
     * @param addedCost of the way through the publisher
     */
    record Terms(String partner, Relation relation, String address, int maxCallsPerSecond, int addedCost) {}

    private RouteExporter() {}

    /**
     * The routes of the table to a partner, at most {@link RouteTable#MAX_ROUTES}.
     *
     * @param ownRoutes whose calls end at this site
     * @param isUsable whether a partner's route may be used now
     */
    static List<Route> export(
            RoutingPolicy policy,
            RouteMerger merger,
            Terms terms,
            Collection<Route> ownRoutes,
            Predicate<RouteMerger.Candidate> isUsable) {
        TreeMap<String, Route> exported = new TreeMap<>();
        for (Route route : ownRoutes) {
            if (policy.findExportViolation(null, route, terms.partner(), terms.relation()) == null) {
                exported.put(route.id(), markOwn(policy, route, terms.relation()));
            }
        }
        for (String key : merger.keys()) {
            for (RouteMerger.Candidate candidate : merger.candidates(key)) {
                Route route = candidate.route();
                boolean mayExport =
                        policy.findExportViolation(candidate.relation(), route, terms.partner(), terms.relation())
                                == null;
                if (isUsable.test(candidate) && mayExport) {
                    Route through = policy.toExported(route, terms);
                    exported.putIfAbsent(through.id(), through);
                    break;
                }
            }
        }
        List<Route> routes = new ArrayList<>(exported.values());
        return routes.size() <= RouteTable.MAX_ROUTES ? routes : routes.subList(0, RouteTable.MAX_ROUTES);
    }

    /** The first site that exports a route to a peer or customer marks it so. */
    private static Route markOwn(RoutingPolicy policy, Route route, Relation relation) {
        return relation == Relation.PROVIDER || route.onlyToCustomerSite() != null
                ? route
                : route.withOnlyToCustomerSite(policy.self());
    }
}
