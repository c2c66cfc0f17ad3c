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
    public static final int MOST_PARTNERS = 64;

    private final RoutingPolicy rules;
    private final RouteMerger merge;
    private final FlapDamping damping;
    private final Map<String, PartnerTable> partners = new TreeMap<>();
    private final FleetView seen;
    private final Consumer<String> told;
    /** Changes with whatever {@link #ways} may say, but for the time. */
    private long edition;

    public RoutingTable(
            RoutingPolicy rules,
            List<PartnerSettings> stated,
            double drift,
            FlapDamping.FlapDampingSettings figures,
            FleetView seen,
            Consumer<String> told) {
        this.rules = rules;
        this.seen = seen;
        this.told = told;
        merge = new RouteMerger(rules);
        damping = new FlapDamping(figures);
        if (stated.size() > MOST_PARTNERS) {
            throw new IllegalArgumentException("over " + MOST_PARTNERS + " partners");
        }
        stated.forEach(each -> partners.put(each.site(), new PartnerTable(each.site(), each.relation(), drift)));
    }

    public String self() {
        return rules.self();
    }

    public Collection<String> sites() {
        return partners.keySet();
    }

    /** A partner's table came, from it or from another backend; it is used once it is known that the partner stands by it. */
    public boolean offer(Duration now, RouteTable table) {
        PartnerTable its = partners.get(table.site());
        if (its == null) {
            told.accept("a table of " + table.site() + ", which is no partner");
            return false;
        }
        RouteTable latest = its.latest();
        boolean changed = its.offer(
                now,
                table,
                RouteTableWriter.digest(table),
                seen.may(now, GuardedAction.ADOPT) == ActionPermissions.Permission.YES,
                told);
        if (changed) {
            apply(now, its, hearer(now, its.site));
        }
        return changed && its.latest() != latest;
    }

    private RouteMerger.RouteListener hearer(Duration now, String site) {
        return new RouteMerger.RouteListener() {
            private int lines;

            @Override
            public void refused(Route route, String rule) {
                if (lines++ < 20) {
                    told.accept(site + ": " + route.key() + " by " + String.join(" ", route.path()) + " is refused: "
                            + rule);
                }
            }

            @Override
            public void withdrawn(Route route) {
                damping.withdrawn(now, site + " " + route.id());
            }

            @Override
            public void changed(Route route) {
                damping.changed(now, site + " " + route.id());
            }
        };
    }

    private void apply(Duration now, PartnerTable its, RouteMerger.RouteListener hearer) {
        RouteTable used = its.used(now);
        if (used != merge.table(its.site)) {
            edition++;
            if (!merge.put(its.site, its.relation, used, hearer)) {
                told.accept(its.site + ": no room for its routes; nothing of it is used");
                merge.put(its.site, its.relation, null, RouteMerger.NOBODY);
            }
        }
    }

    /** The partner surely stood by the version at that moment of this process, or later, and it may be used for so long from then. */
    public boolean stoodBy(
            Duration now, String site, long incarnation, long sequence, String digest, Duration from, Duration lasts) {
        PartnerTable its = partners.get(site);
        if (its == null) {
            return false;
        }
        its.expire(now);
        if (!its.stoodBy(incarnation, sequence, digest, from, lasts)) {
            return false;
        }
        widen(now, its);
        apply(now, its, RouteMerger.NOBODY);
        return true;
    }

    /** To be asked for every few ms: what ran out goes, what was held back is taken on where it may be. */
    public void settle(Duration now) {
        for (PartnerTable each : partners.values()) {
            each.expire(now);
            if (each.used(now) != null) {
                widen(now, each);
            }
            apply(now, each, RouteMerger.NOBODY);
        }
    }

    private void widen(Duration now, PartnerTable its) {
        if (seen.may(now, GuardedAction.ADOPT) == ActionPermissions.Permission.YES && its.widen()) {
            told.accept(its.site + ": " + PartnerTable.version(its.latest()) + " is taken on whole");
        }
    }

    /** For the calls of a key, best first, what is stale last; empty where this backend may not serve. */
    public List<RouteMerger.Candidate> ways(Duration now, String key) {
        List<RouteMerger.Candidate> fresh = new ArrayList<>(), stale = new ArrayList<>();
        if (seen.may(now, GuardedAction.SERVE) == ActionPermissions.Permission.NO) {
            return fresh;
        }
        int looked = 0;
        for (RouteMerger.Candidate each : merge.ways(key)) {
            PartnerTable its = partners.get(each.from());
            if (its.used(now) != null
                    && !damping.leftOut(now, each.from() + " " + each.route().id())) {
                (its.stale(now) ? stale : fresh).add(each);
                if (++looked >= RouteMerger.MOST_ALTERNATIVES) {
                    break;
                }
            }
        }
        fresh.addAll(stale);
        return fresh;
    }

    public boolean stale(Duration now, String site) {
        return partners.get(site).stale(now);
    }

    /** What of it is held here, as word for another backend. */
    public record TableLease(String site, long incarnation, long sequence, String digest, Duration left) {}

    /** What is held of a partner; null where nothing is. */
    public TableLease holds(Duration now, String site) {
        PartnerTable its = partners.get(site);
        return its == null || its.latest() == null
                ? null
                : new TableLease(
                        site, its.latest().incarnation(), its.latest().sequence(), its.digest(), its.left(now));
    }

    /** The latest table of a partner, in use or not; null where there is none. */
    public RouteTable latest(String site) {
        return partners.get(site).latest();
    }

    public boolean clashing(String site) {
        return partners.get(site).clashing();
    }

    /** What this site's own table to a partner may hold: its own routes and what may be passed on, the best of each key. */
    public List<Route> export(Duration now, String receiver, Collection<Route> own, String place, int calls, int cost) {
        return RouteExporter.of(
                rules,
                merge,
                partners.get(receiver).relation,
                receiver,
                own,
                place,
                calls,
                cost,
                each -> partners.get(each.from()).used(now) != null
                        && !damping.leftOut(
                                now, each.from() + " " + each.route().id()));
    }

    /** Of all tables in use, as text: two backends with the same text decide the same. */
    public String merged() {
        return merge.told();
    }

    public int routes() {
        return merge.routes();
    }

    public long edition() {
        return edition;
    }

    List<String> keys() {
        return merge.keys();
    }
}
