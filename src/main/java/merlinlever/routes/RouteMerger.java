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
    public record Candidate(String partner, Relation relation, Route route) implements Comparable<Candidate> {

        private static final Comparator<Candidate> PREFERENCE = Comparator.comparing(Candidate::relation)
                .thenComparing(each -> each.route.path().size())
                .thenComparing(each -> each.route.cost())
                .thenComparing(Candidate::partner)
                .thenComparing(each -> each.route.address())
                .thenComparing(each -> String.join(">", each.route.path()));

        @Override
        public int compareTo(Candidate other) {
            return PREFERENCE.compare(this, other);
        }

        /** Whether neither is better but for names: calls are spread over such. */
        public boolean isEquallyGood(Candidate other) {
            return relation == other.relation
                    && route.path().size() == other.route.path().size()
                    && route.cost() == other.route.cost();
        }
    }

    /** Hears what a new table does. */
    public interface RouteListener {
        /** By the rule of that name. */
        void onRejected(Route route, String rule);

        void onWithdrawn(Route route);

        void onChanged(Route route);
    }

    /** Hears nothing. */
    public static final RouteListener NO_LISTENER = new RouteListener() {
        @Override
        public void onRejected(Route route, String rule) {}

        @Override
        public void onWithdrawn(Route route) {}

        @Override
        public void onChanged(Route route) {}
    };

    /** Routes at the most of all partners; a table that would go beyond is not taken. */
    public static final int MAX_ROUTES = 8 * RouteTable.MAX_ROUTES;
    /** Alternatives of one key that are looked at. */
    public static final int MAX_ALTERNATIVES = 64;

    private static final NavigableSet<Candidate> NO_CANDIDATES = Collections.unmodifiableNavigableSet(new TreeSet<>());

    private final RoutingPolicy policy;
    private final Map<String, RouteTable> tables = new TreeMap<>();
    private final Map<String, Relation> relations = new TreeMap<>();
    private final Map<String, NavigableSet<Candidate>> candidates = new TreeMap<>();
    private int routeCount;

    public RouteMerger(RoutingPolicy policy) {
        this.policy = policy;
    }

    /** In place of the partner's last table; null takes it away with all that hung on it. False where there is no room. */
    public boolean replaceTable(String site, Relation relation, RouteTable table, RouteListener listener) {
        RouteTable previous = tables.get(site);
        int previousCount = previous == null ? 0 : previous.routes().size();
        if (table != null && routeCount - previousCount + table.routes().size() > MAX_ROUTES) {
            return false;
        }
        Relation previousRelation = relations.get(site);
        routeCount += (table == null ? 0 : table.routes().size()) - previousCount;
        if (table == null) {
            tables.remove(site);
            relations.remove(site);
        } else {
            tables.put(site, table);
            relations.put(site, relation);
        }
        forEachDifference(
                previous == null ? new TreeMap<>() : previous.routes(),
                table == null ? new TreeMap<>() : table.routes(),
                previousRelation != relation,
                (old, current) -> {
                    if (old != null) {
                        remove(site, previousRelation, old);
                    }
                    if (old != null && current == null) {
                        listener.onWithdrawn(old);
                    } else if (old != null && !old.equals(current)) {
                        listener.onChanged(current);
                    }
                    if (current != null) {
                        add(site, relation, current, listener);
                    }
                });
        return true;
    }

    /** Goes along both at once and names what differs; both are in the same order. */
    private static void forEachDifference(
            SortedMap<String, Route> before,
            SortedMap<String, Route> after,
            boolean isAllChanged,
            BiConsumer<Route, Route> action) {
        Iterator<Map.Entry<String, Route>> olds = before.entrySet().iterator(),
                news = after.entrySet().iterator();
        Map.Entry<String, Route> old = nextOrNull(olds), current = nextOrNull(news);
        while (old != null || current != null) {
            int order = old == null ? 1 : current == null ? -1 : old.getKey().compareTo(current.getKey());
            if (order < 0) {
                action.accept(old.getValue(), null);
            } else if (order > 0) {
                action.accept(null, current.getValue());
            } else if (isAllChanged || !old.getValue().equals(current.getValue())) {
                action.accept(old.getValue(), current.getValue());
            }
            old = order <= 0 ? nextOrNull(olds) : old;
            current = order >= 0 ? nextOrNull(news) : current;
        }
    }

    private static Map.Entry<String, Route> nextOrNull(Iterator<Map.Entry<String, Route>> all) {
        return all.hasNext() ? all.next() : null;
    }

    private void add(String site, Relation relation, Route route, RouteListener listener) {
        RoutingPolicy.ImportRule violation = policy.findViolation(site, relation, route);
        if (violation == null) {
            candidates.computeIfAbsent(route.key(), key -> new TreeSet<>())
                    .add(new Candidate(site, relation, RoutingPolicy.markOnImport(site, relation, route)));
        } else {
            listener.onRejected(route, violation.wireName());
        }
    }

    private void remove(String site, Relation relation, Route route) {
        NavigableSet<Candidate> ofKey = candidates.get(route.key());
        if (ofKey != null) {
            ofKey.remove(new Candidate(site, relation, RoutingPolicy.markOnImport(site, relation, route)));
            if (ofKey.isEmpty()) {
                candidates.remove(route.key());
            }
        }
    }

    public RouteTable table(String site) {
        return tables.get(site);
    }

    public int routeCount() {
        return routeCount;
    }

    /** Best first. */
    public NavigableSet<Candidate> candidates(String key) {
        return Collections.unmodifiableNavigableSet(candidates.getOrDefault(key, NO_CANDIDATES));
    }

    public List<String> keys() {
        return new ArrayList<>(candidates.keySet());
    }

    /** All of it as text: two with the same text decide the same. */
    public String describe() {
        StringBuilder text = new StringBuilder();
        candidates.forEach((key, ofKey) -> ofKey.forEach(candidate -> text.append(key)
                .append(' ')
                .append(candidate.relation().wireName())
                .append(' ')
                .append(candidate.partner())
                .append(' ')
                .append(candidate.route())
                .append('\n')));
        return text.toString();
    }
}
