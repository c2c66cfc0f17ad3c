/**
 * Routes between partner sites that accept calls for each other. A site publishes a {@link
 * merlinlever.fleet.routes.RouteTable} to each partner. {@link merlinlever.fleet.routes.RoutingPolicy} decides which
 * routes may be used and which may be exported, {@link merlinlever.fleet.routes.RouteMerger} ranks the routes of all
 * partners, {@link merlinlever.fleet.routes.PartnerTable} tracks the lease of each table, and {@link
 * merlinlever.fleet.routes.RouteSelector} selects the route of a call. The package performs no input or output and
 * uses no threads or clocks; see docs/fleet/routes.md. The rules follow BGP (RFC 4271) where BGP has the same
 * problem.
 */
package merlinlever.fleet.routes;
