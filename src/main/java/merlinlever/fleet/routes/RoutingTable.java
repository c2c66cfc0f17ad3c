package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.common.log.EventLog;
import merlinlever.fleet.view.ActionPermissions;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.GuardedAction;

/**
 * The routes of all partners as known to one backend: the partners' tables and their leases, the routes that may be
 * used, and the routes that may be exported. Times are durations since the start of the process. Not thread-safe.
 */
public final class RoutingTable {

    /** A partner and its relation to this site. */
    public record PartnerSettings(String site, Relation relation) {}

    /**
     * Version, digest and remaining lease of a partner's table, for the exchange with peers.
     *
     * @param remaining remaining lease time
     */
    public record TableLease(String site, long incarnation, long sequence, String digest, Duration remaining) {}

    /**
     * A renewal of the lease of a partner's table, after the partner confirmed the given version of the table.
     *
     * @param confirmedAt start of the new lease by the clock of this process, no later than the confirmation
     * @param duration duration of the new lease
     */
    public record Renewal(
            String site, long incarnation, long sequence, String digest, Duration confirmedAt, Duration duration) {

        /** Creates a renewal for a table that the partner confirmed, with the lease of the table. */
        public static Renewal of(RouteTable table, Duration confirmedAt) {
            return new Renewal(
                    table.site(),
                    table.incarnation(),
                    table.sequence(),
                    RouteTableWriter.digest(table),
                    confirmedAt,
                    table.lease());
        }
    }

    /** Maximum number of partners. */
    public static final int MAX_PARTNERS = 64;

    private static final int MAX_REJECTED_ROUTES_LOGGED = 20;

    private final RoutingPolicy policy;
    private final RouteMerger merger;
    private final FlapDamping damping;
    private final Map<String, PartnerTable> partners = new TreeMap<>();
    private final FleetView fleetView;
    private final EventLog log;
    private long revision;

    /**
     * Creates a routing table without routes.
     *
     * @param clockDrift maximum relative rate difference between two clocks
     * @param log receives the events of the routing table
     * @throws IllegalArgumentException if there are more than {@link #MAX_PARTNERS} partners
     */
    public RoutingTable(
            RoutingPolicy policy,
            List<PartnerSettings> partners,
            double clockDrift,
            FlapDamping.FlapDampingSettings dampingSettings,
            FleetView fleetView,
            EventLog log) {
        this.policy = policy;
        this.fleetView = fleetView;
        this.log = log;
        merger = new RouteMerger(policy);
        damping = new FlapDamping(dampingSettings);
        if (partners.size() > MAX_PARTNERS) {
            throw new IllegalArgumentException("more than " + MAX_PARTNERS + " partners");
        }
        for (PartnerSettings partner : partners) {
            this.partners.put(partner.site(), new PartnerTable(partner.site(), partner.relation(), clockDrift));
        }
    }

    /** Name of this site. */
    public String self() {
        return policy.self();
    }

    /** Names of the partners, in alphabetical order. */
    public Collection<String> partners() {
        return partners.keySet();
    }

    private boolean mayWiden(Duration now) {
        return fleetView.permission(now, GuardedAction.ADOPT_WIDENING) == ActionPermissions.Permission.ALLOWED;
    }

    /**
     * Handles a partner's table that was received from the partner or from a peer. The routes are used after {@link
     * #renew} has started the lease of the table.
     *
     * @return whether the table is later than the latest known table
     */
    @SuppressWarnings("ReferenceEquality") // the latest table is a different object exactly if it was replaced
    public boolean offer(Duration now, RouteTable table) {
        PartnerTable partner = partners.get(table.site());
        if (partner == null) {
            log.info("route-table-rejected partner=" + table.site() + " reason=not-a-partner");
            return false;
        }
        RouteTable latest = partner.latest();
        boolean changed = partner.offer(now, table, RouteTableWriter.digest(table), mayWiden(now), log);
        if (changed) {
            mergeActiveTable(now, partner, dampingListener(now, partner.site()));
        }
        return changed && partner.latest() != latest;
    }

    /**
     * Returns a listener that logs rejected routes up to a limit and reports withdrawals and changes to the damping.
     */
    private RouteMerger.RouteListener dampingListener(Duration now, String partner) {
        return new RouteMerger.RouteListener() {
            private int rejectedRoutes;

            @Override
            public void onRejected(Route route, String rule) {
                if (rejectedRoutes < MAX_REJECTED_ROUTES_LOGGED) {
                    log.info("route-rejected partner=" + partner + " route=" + route.key() + " path="
                            + String.join(">", route.path()) + " rule=" + rule);
                }
                rejectedRoutes++;
            }

            @Override
            public void onWithdrawn(Route route) {
                damping.recordWithdrawal(now, dampingKey(partner, route));
            }

            @Override
            public void onChanged(Route route) {
                damping.recordChange(now, dampingKey(partner, route));
            }
        };
    }

    private static String dampingKey(String partner, Route route) {
        return partner + " " + route.id();
    }

    @SuppressWarnings("ReferenceEquality") // comparing thousands of routes at each tick would be too expensive
    private void mergeActiveTable(Duration now, PartnerTable partner, RouteMerger.RouteListener listener) {
        RouteTable active = partner.active(now);
        if (active == merger.table(partner.site())) {
            return;
        }
        revision++;
        if (!merger.replaceTable(partner.site(), partner.relation(), active, listener)) {
            log.info("route-table-rejected partner=" + partner.site() + " reason=too-many-routes");
            merger.replaceTable(partner.site(), partner.relation(), null, RouteMerger.NO_LISTENER);
        }
    }

    /** Renews the lease of a partner's table; returns false if the renewal is not for the latest known table. */
    public boolean renew(Duration now, Renewal renewal) {
        PartnerTable partner = partners.get(renewal.site());
        if (partner == null) {
            return false;
        }
        partner.expire(now);
        if (!partner.renew(
                renewal.incarnation(),
                renewal.sequence(),
                renewal.digest(),
                renewal.confirmedAt(),
                renewal.duration())) {
            return false;
        }
        adoptWidening(now, partner);
        mergeActiveTable(now, partner, RouteMerger.NO_LISTENER);
        return true;
    }

    /**
     * Removes the routes of expired tables and adopts deferred routes if permitted. The caller should call this
     * method every few milliseconds.
     */
    public void tick(Duration now) {
        for (PartnerTable partner : partners.values()) {
            partner.expire(now);
            if (partner.active(now) != null) {
                adoptWidening(now, partner);
            }
            mergeActiveTable(now, partner, RouteMerger.NO_LISTENER);
        }
    }

    private void adoptWidening(Duration now, PartnerTable partner) {
        if (mayWiden(now) && partner.adoptWidening()) {
            log.info("route-table-adopted partner=" + partner.site() + " version="
                    + PartnerTable.formatVersion(partner.latest()));
        }
    }

    private boolean isUsable(Duration now, RouteMerger.Candidate candidate) {
        return partners.get(candidate.partner()).active(now) != null
                && !damping.isSuppressed(now, dampingKey(candidate.partner(), candidate.route()));
    }

    /**
     * The usable candidates of a key in order of preference, with the candidates of stale tables last. Empty if this
     * backend may not use routes.
     */
    public List<RouteMerger.Candidate> candidates(Duration now, String key) {
        if (fleetView.permission(now, GuardedAction.USE_ADOPTED) == ActionPermissions.Permission.DENIED) {
            return List.of();
        }
        List<RouteMerger.Candidate> fresh = new ArrayList<>();
        List<RouteMerger.Candidate> stale = new ArrayList<>();
        for (RouteMerger.Candidate candidate : merger.candidates(key)) {
            if (isUsable(now, candidate)) {
                (isStale(now, candidate.partner()) ? stale : fresh).add(candidate);
                if (fresh.size() + stale.size() >= RouteMerger.MAX_CANDIDATES_PER_KEY) {
                    break;
                }
            }
        }
        fresh.addAll(stale);
        return fresh;
    }

    /** Whether more than half of the lease of a partner's table has passed. */
    public boolean isStale(Duration now, String partner) {
        return partners.get(partner).isStale(now);
    }

    /** Version and remaining lease of a partner's table, or null if no table is known. */
    public TableLease lease(Duration now, String site) {
        PartnerTable partner = partners.get(site);
        if (partner == null || partner.latest() == null) {
            return null;
        }
        RouteTable latest = partner.latest();
        return new TableLease(site, latest.incarnation(), latest.sequence(), partner.digest(), partner.remaining(now));
    }

    /** The latest table of a partner, whether active or not; null if no table is known. */
    public RouteTable latestTable(String partner) {
        return partners.get(partner).latest();
    }

    /** Whether two different tables with the latest version of a partner were received. */
    public boolean isConflicting(String partner) {
        return partners.get(partner).isConflicting();
    }

    /**
     * Returns the routes that this site may publish to a partner: its own routes and, for each key, the best partner
     * route that may be exported.
     *
     * @param address ADDRESS:PORT at which this site accepts calls for re-exported routes
     * @param maxCallsPerSecond maximum rate that this site accepts for each re-exported route
     * @param addedCost cost that this site adds to each re-exported route
     */
    public List<Route> export(
            Duration now,
            String receiver,
            Collection<Route> ownRoutes,
            String address,
            int maxCallsPerSecond,
            int addedCost) {
        Relation relation = partners.get(receiver).relation();
        RouteExporter.ExportTerms terms =
                new RouteExporter.ExportTerms(receiver, relation, address, maxCallsPerSecond, addedCost);
        return RouteExporter.export(policy, merger, terms, ownRoutes, candidate -> isUsable(now, candidate));
    }

    /** Returns the candidates of all active tables as text. Two backends with the same text select the same routes. */
    public String describe() {
        return merger.describe();
    }

    /** Number of routes in all active tables. */
    public int routeCount() {
        return merger.routeCount();
    }

    /** Revision of the active tables. Increases with each change of a partner's active table. */
    public long revision() {
        return revision;
    }

    List<String> keys() {
        return merger.keys();
    }
}
