package merlinlever.fleet.routes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Selects the routes that a site publishes to a partner: its own routes and, for each key, the best partner route
 * that may be exported to that partner (Wang, Schapira and Rexford 2009).
 */
final class RouteExporter {

    /**
     * The receiver of an export, and the terms on which the publisher forwards calls.
     *
     * @param partner name of the site that receives the export
     * @param relation relation of the partner to the publisher
     * @param address ADDRESS:PORT at which the publisher accepts calls for re-exported routes
     * @param maxCallsPerSecond maximum rate that the publisher accepts for each re-exported route
     * @param addedCost cost that the publisher adds to each re-exported route
     */
    record ExportTerms(String partner, Relation relation, String address, int maxCallsPerSecond, int addedCost) {}

    private RouteExporter() {}

    /**
     * Returns the routes to publish to a partner, at most {@link RouteTable#MAX_ROUTES}.
     *
     * @param ownRoutes routes that originate at this site
     * @param isUsable tests whether a partner's route may be used now
     */
    static List<Route> export(
            RoutingPolicy policy,
            RouteMerger merger,
            ExportTerms terms,
            Collection<Route> ownRoutes,
            Predicate<RouteMerger.Candidate> isUsable) {
        TreeMap<String, Route> exported = new TreeMap<>();
        for (Route route : ownRoutes) {
            if (policy.findExportViolation(null, route, terms.partner(), terms.relation()) == null) {
                exported.put(route.id(), markOwnRoute(policy, route, terms.relation()));
            }
        }
        for (String key : merger.keys()) {
            for (RouteMerger.Candidate candidate : merger.candidates(key)) {
                Route route = candidate.route();
                boolean mayExport =
                        policy.findExportViolation(candidate.relation(), route, terms.partner(), terms.relation())
                                == null;
                if (isUsable.test(candidate) && mayExport) {
                    Route exportedRoute = policy.toExported(route, terms);
                    exported.putIfAbsent(exportedRoute.id(), exportedRoute);
                    break;
                }
            }
        }
        List<Route> routes = new ArrayList<>(exported.values());
        return routes.size() <= RouteTable.MAX_ROUTES ? routes : routes.subList(0, RouteTable.MAX_ROUTES);
    }

    /** Marks an own route with this site when the route is exported to a peer or customer. */
    private static Route markOwnRoute(RoutingPolicy policy, Route route, Relation relation) {
        return relation == Relation.PROVIDER || route.onlyToCustomerSite() != null
                ? route
                : route.withOnlyToCustomerSite(policy.self());
    }
}
