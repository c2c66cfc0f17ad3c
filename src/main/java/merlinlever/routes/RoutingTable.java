package merlinlever.routes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import merlinlever.view.ActionPermissions;
import merlinlever.view.FleetView;
import merlinlever.view.GuardedAction;

/** One backend's knowledge of all partners: their tables, what follows from them and how long it holds, and what may be passed on. */
public final class RoutingTable {

    /** What is stated of one partner. */
    public record PartnerSettings(String site, Relation relation) {}

    /** Partners at the most. */
    public static final int MAX_PARTNERS = 64;

    private final RoutingPolicy policy;
    private final RouteMerger merger;
    private final FlapDamping damping;
    private final Map<String, PartnerTable> partners = new TreeMap<>();
    private final FleetView fleetView;
    private final Consumer<String> log;
    /** Changes with whatever {@link #candidates} may say, but for the time. */
    private long edition;

    public RoutingTable(
            RoutingPolicy policy,
            List<PartnerSettings> stated,
            double drift,
            FlapDamping.FlapDampingSettings figures,
            FleetView fleetView,
            Consumer<String> log) {
        this.policy = policy;
        this.fleetView = fleetView;
        this.log = log;
        merger = new RouteMerger(policy);
        damping = new FlapDamping(figures);
        if (stated.size() > MAX_PARTNERS) {
            throw new IllegalArgumentException("over " + MAX_PARTNERS + " partners");
        }
        stated.forEach(each -> partners.put(each.site(), new PartnerTable(each.site(), each.relation(), drift)));
    }

    public String self() {
        return policy.self();
    }

    public Collection<String> partners() {
        return partners.keySet();
    }

    /** A partner's table came, from it or from another backend; it is used once it is known that the partner stands by it. */
    public boolean offer(Duration now, RouteTable table) {
        PartnerTable partner = partners.get(table.site());
        if (partner == null) {
            log.accept("a table of " + table.site() + ", which is no partner");
            return false;
        }
        RouteTable latest = partner.latest();
        boolean changed = partner.offer(
                now,
                table,
                RouteTableWriter.digest(table),
                fleetView.permission(now, GuardedAction.ADOPT_WIDENING) == ActionPermissions.Permission.ALLOWED,
                log);
        if (changed) {
            apply(now, partner, loggingListener(now, partner.site));
        }
        return changed && partner.latest() != latest;
    }

    private RouteMerger.RouteListener loggingListener(Duration now, String site) {
        return new RouteMerger.RouteListener() {
            private int lines;

            @Override
            public void onRejected(Route route, String rule) {
                if (lines++ < 20) {
                    log.accept(site + ": " + route.key() + " by " + String.join(" ", route.path()) + " is refused: "
                            + rule);
                }
            }

            @Override
            public void onWithdrawn(Route route) {
                damping.recordWithdrawal(now, site + " " + route.id());
            }

            @Override
            public void onChanged(Route route) {
                damping.recordChange(now, site + " " + route.id());
            }
        };
    }

    private void apply(Duration now, PartnerTable partner, RouteMerger.RouteListener listener) {
        RouteTable active = partner.active(now);
        if (active != merger.table(partner.site)) {
            edition++;
            if (!merger.replaceTable(partner.site, partner.relation, active, listener)) {
                log.accept(partner.site + ": no room for its routes; nothing of it is used");
                merger.replaceTable(partner.site, partner.relation, null, RouteMerger.NO_LISTENER);
            }
        }
    }

    /** The partner surely stood by the version at that moment of this process, or later, and it may be used for so long from then. */
    public boolean renew(
            Duration now, String site, long incarnation, long sequence, String digest, Duration confirmedAt, Duration duration) {
        PartnerTable partner = partners.get(site);
        if (partner == null) {
            return false;
        }
        partner.expire(now);
        if (!partner.renew(incarnation, sequence, digest, confirmedAt, duration)) {
            return false;
        }
        adoptWidening(now, partner);
        apply(now, partner, RouteMerger.NO_LISTENER);
        return true;
    }

    /** To be asked for every few ms: what ran out goes, what was held back is taken on where it may be. */
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
        if (fleetView.permission(now, GuardedAction.ADOPT_WIDENING) == ActionPermissions.Permission.ALLOWED && partner.adoptWidening()) {
            log.accept(partner.site + ": " + PartnerTable.formatVersion(partner.latest()) + " is taken on whole");
        }
    }

    /** For the calls of a key, best first, what is stale last; empty where this backend may not serve. */
    public List<RouteMerger.Candidate> candidates(Duration now, String key) {
        List<RouteMerger.Candidate> fresh = new ArrayList<>(), stale = new ArrayList<>();
        if (fleetView.permission(now, GuardedAction.USE_ADOPTED) == ActionPermissions.Permission.DENIED) {
            return fresh;
        }
        int considered = 0;
        for (RouteMerger.Candidate candidate : merger.candidates(key)) {
            PartnerTable partner = partners.get(candidate.partner());
            if (partner.active(now) != null
                    && !damping.isSuppressed(now, candidate.partner() + " " + candidate.route().id())) {
                (partner.isStale(now) ? stale : fresh).add(candidate);
                if (++considered >= RouteMerger.MAX_ALTERNATIVES) {
                    break;
                }
            }
        }
        fresh.addAll(stale);
        return fresh;
    }

    public boolean isStale(Duration now, String site) {
        return partners.get(site).isStale(now);
    }

    /** What of it is held here, as word for another backend. */
    public record TableLease(String site, long incarnation, long sequence, String digest, Duration remaining) {}

    /** What is held of a partner; null where nothing is. */
    public TableLease lease(Duration now, String site) {
        PartnerTable partner = partners.get(site);
        return partner == null || partner.latest() == null
                ? null
                : new TableLease(
                        site, partner.latest().incarnation(), partner.latest().sequence(), partner.digest(), partner.remaining(now));
    }

    /** The latest table of a partner, in use or not; null where there is none. */
    public RouteTable latest(String site) {
        return partners.get(site).latest();
    }

    public boolean isConflicting(String site) {
        return partners.get(site).isConflicting();
    }

    /** What this site's own table to a partner may hold: its own routes and what may be passed on, the best of each key. */
    public List<Route> export(Duration now, String receiver, Collection<Route> ownRoutes, String address, int callsPerSecond, int cost) {
        return RouteExporter.of(
                policy,
                merger,
                partners.get(receiver).relation,
                receiver,
                ownRoutes,
                address,
                callsPerSecond,
                cost,
                candidate -> partners.get(candidate.partner()).active(now) != null
                        && !damping.isSuppressed(
                                now, candidate.partner() + " " + candidate.route().id()));
    }

    /** Of all tables in use, as text: two backends with the same text decide the same. */
    public String describe() {
        return merger.describe();
    }

    public int routeCount() {
        return merger.routeCount();
    }

    public long edition() {
        return edition;
    }

    List<String> keys() {
        return merger.keys();
    }
}
