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
 * All that one backend knows of its partners' routes: their tables, how long each is valid, which routes may be used, and which may
 * be exported. Times are since the process began. Not thread-safe.
 */
public final class RoutingTable {

    /** A partner, and what it is to this site. */
    public record PartnerSettings(String site, Relation relation) {}

    /**
     * What is held of a partner's table, for peers.
     *
     * @param remaining how long it is still valid
     */
    public record TableLease(String site, long incarnation, long sequence, String digest, Duration remaining) {}

    /**
     * The partner surely stood by a version of its table at a moment, or later.
     *
     * @param confirmedAt that moment, by this process's clock
     * @param duration how long the table may be used from then
     */
    public record Renewal(
            String site, long incarnation, long sequence, String digest, Duration confirmedAt, Duration duration) {

        /** The partner stood by this table. */
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

    /** Upper bound of the partners. */
    public static final int MAX_PARTNERS = 64;

    private static final int MAX_REJECTED_ROUTES_LOGGED = 20;

    private final RoutingPolicy policy;
    private final RouteMerger merger;
    private final FlapDamping damping;
    private final Map<String, PartnerTable> partners = new TreeMap<>();
    private final FleetView fleetView;
    private final EventLog log;
    private long edition;

    /**
     * A table of routes that knows nothing of its partners yet.
     *
     * @param clockDrift upper bound of the fraction by which two clocks run apart
     * @param log takes one line an event
     * @throws IllegalArgumentException if there are more than {@link #MAX_PARTNERS}
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
            throw new IllegalArgumentException("over " + MAX_PARTNERS + " partners");
        }
        for (PartnerSettings partner : partners) {
            this.partners.put(partner.site(), new PartnerTable(partner.site(), partner.relation(), clockDrift));
        }
    }

    /** Name of this site. */
    public String self() {
        return policy.self();
    }

    /** Names of the partners, in order. */
    public Collection<String> partners() {
        return partners.keySet();
    }

    private boolean mayWiden(Duration now) {
        return fleetView.permission(now, GuardedAction.ADOPT_WIDENING) == ActionPermissions.Permission.ALLOWED;
    }

    /**
     * Takes in a partner's table, from it or from a peer; it is used once it is known that the partner stands by it.
     *
     * @return whether it is later than the one that was known
     */
    @SuppressWarnings("ReferenceEquality") // the latest table is another object exactly when it was replaced
    public boolean offer(Duration now, RouteTable table) {
        PartnerTable partner = partners.get(table.site());
        if (partner == null) {
            log.info("route-table-rejected partner=" + table.site() + " reason=not-a-partner");
            return false;
        }
        RouteTable latest = partner.latest();
        boolean changed = partner.offer(now, table, RouteTableWriter.digest(table), mayWiden(now), log);
        if (changed) {
            apply(now, partner, dampingListener(now, partner.site()));
        }
        return changed && partner.latest() != latest;
    }

    /** Logs the first rejected routes, and counts withdrawals and changes. */
    private RouteMerger.RouteListener dampingListener(Duration now, String partner) {
        return new RouteMerger.RouteListener() {
            private int lines;

            @Override
            public void onRejected(Route route, String rule) {
                if (lines < MAX_REJECTED_ROUTES_LOGGED) {
                    log.info("route-rejected partner=" + partner + " route=" + route.key() + " path="
                            + String.join(">", route.path()) + " rule=" + rule);
                }
                lines++;
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

    @SuppressWarnings("ReferenceEquality") // comparing thousands of routes at each tick would cost too much
    private void apply(Duration now, PartnerTable partner, RouteMerger.RouteListener listener) {
        RouteTable active = partner.active(now);
        if (active == merger.table(partner.site())) {
            return;
        }
        edition++;
        if (!merger.replaceTable(partner.site(), partner.relation(), active, listener)) {
            log.info("route-table-rejected partner=" + partner.site() + " reason=too-many-routes");
            merger.replaceTable(partner.site(), partner.relation(), null, RouteMerger.NO_LISTENER);
        }
    }

    /** Renews the lease of a partner's table; returns whether it is of the version that is known. */
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
        apply(now, partner, RouteMerger.NO_LISTENER);
        return true;
    }

    /** Drops what is no longer valid, and adopts what was held back where that is permitted; to be called every few ms. */
    public void tick(Duration now) {
        for (PartnerTable partner : partners.values()) {
            partner.expire(now);
            if (partner.active(now) != null) {
                adoptWidening(now, partner);
            }
            apply(now, partner, RouteMerger.NO_LISTENER);
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

    /** The usable candidates of a key, best first, stale ones last; empty where this backend may not use routes. */
    public List<RouteMerger.Candidate> candidates(Duration now, String key) {
        if (fleetView.permission(now, GuardedAction.USE_ADOPTED) == ActionPermissions.Permission.DENIED) {
            return List.of();
        }
        List<RouteMerger.Candidate> fresh = new ArrayList<>();
        List<RouteMerger.Candidate> stale = new ArrayList<>();
        for (RouteMerger.Candidate candidate : merger.candidates(key)) {
            if (isUsable(now, candidate)) {
                (isStale(now, candidate.partner()) ? stale : fresh).add(candidate);
                if (fresh.size() + stale.size() >= RouteMerger.MAX_ALTERNATIVES) {
                    break;
                }
            }
        }
        fresh.addAll(stale);
        return fresh;
    }

    /** Whether more than half of the lease of a partner's table is over. */
    public boolean isStale(Duration now, String partner) {
        return partners.get(partner).isStale(now);
    }

    /** What is held of a partner's table; null where nothing is. */
    public TableLease lease(Duration now, String site) {
        PartnerTable partner = partners.get(site);
        if (partner == null || partner.latest() == null) {
            return null;
        }
        RouteTable latest = partner.latest();
        return new TableLease(site, latest.incarnation(), latest.sequence(), partner.digest(), partner.remaining(now));
    }

    /** The latest table of a partner, active or not; null where there is none. */
    public RouteTable latestTable(String partner) {
        return partners.get(partner).latest();
    }

    /** Whether two tables came under the latest version of a partner. */
    public boolean isConflicting(String partner) {
        return partners.get(partner).isConflicting();
    }

    /**
     * What this site's own table to a partner may hold: its own routes and, for each key, the best that may be exported.
     *
     * @param address where this site takes calls of the routes that it exports on
     * @param maxCallsPerSecond that it takes on each of them
     * @param addedCost of the way through this site
     */
    public List<Route> export(
            Duration now,
            String receiver,
            Collection<Route> ownRoutes,
            String address,
            int maxCallsPerSecond,
            int addedCost) {
        Relation relation = partners.get(receiver).relation();
        RouteExporter.Terms terms = new RouteExporter.Terms(receiver, relation, address, maxCallsPerSecond, addedCost);
        return RouteExporter.export(policy, merger, terms, ownRoutes, candidate -> isUsable(now, candidate));
    }

    /** Of all active tables, as text: two backends with the same text decide the same. */
    public String describe() {
        return merger.describe();
    }

    /** How many routes all active tables have. */
    public int routeCount() {
        return merger.routeCount();
    }

    /** Changes with whatever {@link #candidates} may return, but for the passing of time. */
    public long edition() {
        return edition;
    }

    List<String> keys() {
        return merger.keys();
    }
}
