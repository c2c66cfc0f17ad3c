package merlinlever.routes;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;

/**
 * What follows from the tables of all partners: for each tariff and group of places the ways that may be used, best first. It
 * hangs on nothing but which tables there are, in whatever order they came, and a change costs what it changes.
 */
public final class RouteMerger {

    /** One usable way, by which partner it came. */
    public record Candidate(String from, Relation relation, Route route) implements Comparable<Candidate> {

        private static final Comparator<Candidate> ORDER = Comparator.comparing(Candidate::relation)
                .thenComparing(each -> each.route.path().size())
                .thenComparing(each -> each.route.cost())
                .thenComparing(Candidate::from)
                .thenComparing(each -> each.route.place())
                .thenComparing(each -> String.join(">", each.route.path()));

        @Override
        public int compareTo(Candidate other) {
            return ORDER.compare(this, other);
        }

        /** Whether neither is better but for names: calls are spread over such. */
        public boolean asGoodAs(Candidate other) {
            return relation == other.relation
                    && route.path().size() == other.route.path().size()
                    && route.cost() == other.route.cost();
        }
    }

    /** Hears what a new table does. */
    public interface RouteListener {
        /** By the rule of that name. */
        void refused(Route route, String rule);

        void withdrawn(Route route);

        void changed(Route route);
    }

    /** Hears nothing. */
    public static final RouteListener NOBODY = new RouteListener() {
        @Override
        public void refused(Route route, String rule) {}

        @Override
        public void withdrawn(Route route) {}

        @Override
        public void changed(Route route) {}
    };

    /** Routes at the most of all partners; a table that would go beyond is not taken. */
    public static final int MOST = 8 * RouteTable.MOST;
    /** Alternatives of one key that are looked at. */
    public static final int MOST_ALTERNATIVES = 64;

    private static final NavigableSet<Candidate> NO_WAYS = Collections.unmodifiableNavigableSet(new TreeSet<>());

    private final RoutingPolicy rules;
    private final Map<String, RouteTable> tables = new TreeMap<>();
    private final Map<String, Relation> relations = new TreeMap<>();
    private final Map<String, NavigableSet<Candidate>> ways = new TreeMap<>();
    private int routes;

    public RouteMerger(RoutingPolicy rules) {
        this.rules = rules;
    }

    /** In place of the partner's last table; null takes it away with all that hung on it. False where there is no room. */
    public boolean put(String site, Relation relation, RouteTable table, RouteListener hearer) {
        RouteTable before = tables.get(site);
        int were = before == null ? 0 : before.routes().size();
        if (table != null && routes - were + table.routes().size() > MOST) {
            return false;
        }
        Relation itWas = relations.get(site);
        routes += (table == null ? 0 : table.routes().size()) - were;
        if (table == null) {
            tables.remove(site);
            relations.remove(site);
        } else {
            tables.put(site, table);
            relations.put(site, relation);
        }
        differ(
                before == null ? new TreeMap<>() : before.routes(),
                table == null ? new TreeMap<>() : table.routes(),
                itWas != relation,
                (old, now) -> {
                    if (old != null) {
                        drop(site, itWas, old);
                    }
                    if (old != null && now == null) {
                        hearer.withdrawn(old);
                    } else if (old != null && !old.equals(now)) {
                        hearer.changed(now);
                    }
                    if (now != null) {
                        add(site, relation, now, hearer);
                    }
                });
        return true;
    }

    /** Goes along both at once and names what differs; both are in the same order. */
    private static void differ(
            SortedMap<String, Route> before,
            SortedMap<String, Route> after,
            boolean all,
            BiConsumer<Route, Route> each) {
        Iterator<Map.Entry<String, Route>> olds = before.entrySet().iterator(),
                news = after.entrySet().iterator();
        Map.Entry<String, Route> old = next(olds), now = next(news);
        while (old != null || now != null) {
            int order = old == null ? 1 : now == null ? -1 : old.getKey().compareTo(now.getKey());
            if (order < 0) {
                each.accept(old.getValue(), null);
            } else if (order > 0) {
                each.accept(null, now.getValue());
            } else if (all || !old.getValue().equals(now.getValue())) {
                each.accept(old.getValue(), now.getValue());
            }
            old = order <= 0 ? next(olds) : old;
            now = order >= 0 ? next(news) : now;
        }
    }

    private static Map.Entry<String, Route> next(Iterator<Map.Entry<String, Route>> all) {
        return all.hasNext() ? all.next() : null;
    }

    private void add(String site, Relation relation, Route route, RouteListener hearer) {
        RoutingPolicy.ImportRule why = rules.refusal(site, relation, route);
        if (why == null) {
            ways.computeIfAbsent(route.key(), key -> new TreeSet<>())
                    .add(new Candidate(site, relation, RoutingPolicy.marked(site, relation, route)));
        } else {
            hearer.refused(route, why.wireName());
        }
    }

    private void drop(String site, Relation relation, Route route) {
        NavigableSet<Candidate> its = ways.get(route.key());
        if (its != null) {
            its.remove(new Candidate(site, relation, RoutingPolicy.marked(site, relation, route)));
            if (its.isEmpty()) {
                ways.remove(route.key());
            }
        }
    }

    public RouteTable table(String site) {
        return tables.get(site);
    }

    public int routes() {
        return routes;
    }

    /** Best first. */
    public NavigableSet<Candidate> ways(String key) {
        return Collections.unmodifiableNavigableSet(ways.getOrDefault(key, NO_WAYS));
    }

    public List<String> keys() {
        return new ArrayList<>(ways.keySet());
    }

    /** All of it as text: two with the same text decide the same. */
    public String told() {
        StringBuilder text = new StringBuilder();
        ways.forEach((key, all) -> all.forEach(each -> text.append(key)
                .append(' ')
                .append(each.relation().wireName())
                .append(' ')
                .append(each.from())
                .append(' ')
                .append(each.route())
                .append('\n')));
        return text.toString();
    }
}
