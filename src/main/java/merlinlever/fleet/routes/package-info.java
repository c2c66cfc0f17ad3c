/**
 * Partner sites that take calls for each other. A site publishes a {@link merlinlever.fleet.routes.RouteTable} of routes to each partner;
 * {@link merlinlever.fleet.routes.RoutingPolicy} says which of them may be used and which may be exported on, {@link
 * merlinlever.fleet.routes.RouteMerger} ranks those of all partners, {@link merlinlever.fleet.routes.PartnerTable} keeps how long each table is
 * valid, and {@link merlinlever.fleet.routes.RouteSelector} selects the route of a call. Without input, output, threads or clocks; see
 * docs/fleet/routes.md. The rules follow BGP (RFC 4271) where it has the same problem.
 */
package merlinlever.fleet.routes;
