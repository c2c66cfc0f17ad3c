package merlinlever.routes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import merlinlever.view.Act;
import merlinlever.view.Permits;
import merlinlever.view.Seen;

/** One backend's knowledge of all partners: their tables, what follows from them and how long it holds, and what may be passed on. */
public final class Routes {

    /** What is stated of one partner. */
    public record Stated(String site, Relation relation) {}

    /** Partners at the most. */
    public static final int MOST_PARTNERS = 64;

    private final Rules rules;
    private final Merge merge;
    private final Damping damping;
    private final Map<String, Partner> partners = new TreeMap<>();
    private final Seen seen;
    private final Consumer<String> told;
    /** Changes with whatever {@link #ways} may say, but for the time. */
    private long edition;

    public Routes(
            Rules rules, List<Stated> stated, double drift, Damping.Figures figures, Seen seen, Consumer<String> told) {
        this.rules = rules;
        this.seen = seen;
        this.told = told;
        merge = new Merge(rules);
        damping = new Damping(figures);
        if (stated.size() > MOST_PARTNERS) {
            throw new IllegalArgumentException("over " + MOST_PARTNERS + " partners");
        }
        stated.forEach(each -> partners.put(each.site(), new Partner(each.site(), each.relation(), drift)));
    }

    public String self() {
        return rules.self();
    }

    public Collection<String> sites() {
        return partners.keySet();
    }

    /** A partner's table came, from it or from another backend; it is used once it is known that the partner stands by it. */
    public boolean offer(Duration now, Table table) {
        Partner its = partners.get(table.site());
        if (its == null) {
            told.accept("a table of " + table.site() + ", which is no partner");
            return false;
        }
        Table latest = its.latest();
        boolean changed =
                its.offer(now, table, TableWriter.digest(table), seen.may(now, Act.ADOPT) == Permits.May.YES, told);
        if (changed) {
            apply(now, its, hearer(now, its.site));
        }
        return changed && its.latest() != latest;
    }

    private Merge.Hearer hearer(Duration now, String site) {
        return new Merge.Hearer() {
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

    private void apply(Duration now, Partner its, Merge.Hearer hearer) {
        Table used = its.used(now);
        if (used != merge.table(its.site)) {
            edition++;
            if (!merge.put(its.site, its.relation, used, hearer)) {
                told.accept(its.site + ": no room for its routes; nothing of it is used");
                merge.put(its.site, its.relation, null, Merge.NOBODY);
            }
        }
    }

    /** The partner surely stood by the version at that moment of this process, or later, and it may be used for so long from then. */
    public boolean stoodBy(
            Duration now, String site, long incarnation, long sequence, String digest, Duration from, Duration lasts) {
        Partner its = partners.get(site);
        if (its == null) {
            return false;
        }
        its.expire(now);
        if (!its.stoodBy(incarnation, sequence, digest, from, lasts)) {
            return false;
        }
        widen(now, its);
        apply(now, its, Merge.NOBODY);
        return true;
    }

    /** To be asked for every few ms: what ran out goes, what was held back is taken on where it may be. */
    public void settle(Duration now) {
        for (Partner each : partners.values()) {
            each.expire(now);
            if (each.used(now) != null) {
                widen(now, each);
            }
            apply(now, each, Merge.NOBODY);
        }
    }

    private void widen(Duration now, Partner its) {
        if (seen.may(now, Act.ADOPT) == Permits.May.YES && its.widen()) {
            told.accept(its.site + ": " + Partner.version(its.latest()) + " is taken on whole");
        }
    }

    /** For the calls of a key, best first, what is stale last; empty where this backend may not serve. */
    public List<Merge.Candidate> ways(Duration now, String key) {
        List<Merge.Candidate> fresh = new ArrayList<>(), stale = new ArrayList<>();
        if (seen.may(now, Act.SERVE) == Permits.May.NO) {
            return fresh;
        }
        int looked = 0;
        for (Merge.Candidate each : merge.ways(key)) {
            Partner its = partners.get(each.from());
            if (its.used(now) != null
                    && !damping.leftOut(now, each.from() + " " + each.route().id())) {
                (its.stale(now) ? stale : fresh).add(each);
                if (++looked >= Merge.MOST_ALTERNATIVES) {
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
    public record Holds(String site, long incarnation, long sequence, String digest, Duration left) {}

    /** What is held of a partner; null where nothing is. */
    public Holds holds(Duration now, String site) {
        Partner its = partners.get(site);
        return its == null || its.latest() == null
                ? null
                : new Holds(site, its.latest().incarnation(), its.latest().sequence(), its.digest(), its.left(now));
    }

    /** The latest table of a partner, in use or not; null where there is none. */
    public Table latest(String site) {
        return partners.get(site).latest();
    }

    public boolean clashing(String site) {
        return partners.get(site).clashing();
    }

    /** What this site's own table to a partner may hold: its own routes and what may be passed on, the best of each key. */
    public List<Route> export(Duration now, String receiver, Collection<Route> own, String place, int calls, int cost) {
        return Exports.of(
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
