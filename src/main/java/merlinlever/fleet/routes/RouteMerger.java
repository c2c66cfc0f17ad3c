package merlinlever.fleet.routes;

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
 * The usable routes of all partners by key, best first. The result depends only on which tables there are, in whatever order they
 * came, and the work of a change depends only on its size. Not thread-safe.
 */
public final class RouteMerger {

    /** A usable route, and the partner that published it. */
    public record Candidate(String partner, Relation relation, Route route) implements Comparable<Candidate> {

        private static final Comparator<Candidate> PREFERENCE = Comparator.comparing(Candidate::relation)
                .thenComparing(candidate -> candidate.route.path().size())
                .thenComparing(candidate -> candidate.route.cost())
                .thenComparing(Candidate::partner)
                .thenComparing(candidate -> candidate.route.address())
                .thenComparing(candidate -> String.join(">", candidate.route.path()));

        @Override
        public int compareTo(Candidate other) {
            return PREFERENCE.compare(this, other);
        }

        /** Whether only names put one before the other: calls are spread over such candidates. */
        public boolean isEquallyGood(Candidate other) {
            return relation == other.relation
                    && route.path().size() == other.route.path().size()
                    && route.cost() == other.route.cost();
        }
    }

    /** Is told what a new table of a partner changes. */
    public interface RouteListener {
        /**
         * A route may not be used.
         *
         * @param rule name of the rule that forbids it
         */
        void onRejected(Route route, String rule);

        /** The new table has a route no more. */
        void onWithdrawn(Route route);

        /** The new table has a route in another form. */
        void onChanged(Route route);
    }

    /** Does nothing. */
    public static final RouteListener NO_LISTENER = new RouteListener() {
        @Override
        public void onRejected(Route route, String rule) {}

        @Override
        public void onWithdrawn(Route route) {}

        @Override
        public void onChanged(Route route) {}
    };

    /** Upper bound of the routes of all partners; a table that would go beyond is not taken. */
    public static final int MAX_ROUTES = 8 * RouteTable.MAX_ROUTES;
    /** Upper bound of the candidates of one key that are considered. */
    public static final int MAX_ALTERNATIVES = 64;

    private static final NavigableSet<Candidate> NO_CANDIDATES = Collections.unmodifiableNavigableSet(new TreeSet<>());

    private final RoutingPolicy policy;
    private final Map<String, RouteTable> tables = new TreeMap<>();
    private final Map<String, Relation> relations = new TreeMap<>();
    private final Map<String, NavigableSet<Candidate>> candidates = new TreeMap<>();
    private int routeCount;

    /** A merger without any table yet. */
    public RouteMerger(RoutingPolicy policy) {
        this.policy = policy;
    }

    /**
     * Replaces a partner's table.
     *
     * @param table null removes the partner's routes
     * @return false where its routes would exceed {@link #MAX_ROUTES}; then nothing is changed
     */
    public boolean replaceTable(String partner, Relation relation, RouteTable table, RouteListener listener) {
        RouteTable previous = tables.get(partner);
        int previousCount = previous == null ? 0 : previous.routes().size();
        int newCount = table == null ? 0 : table.routes().size();
        if (table != null && routeCount - previousCount + newCount > MAX_ROUTES) {
            return false;
        }
        Relation previousRelation = relations.get(partner);
        routeCount += newCount - previousCount;
        if (table == null) {
            tables.remove(partner);
            relations.remove(partner);
        } else {
            tables.put(partner, table);
            relations.put(partner, relation);
        }
        forEachDifference(
                previous == null ? new TreeMap<>() : previous.routes(),
                table == null ? new TreeMap<>() : table.routes(),
                previousRelation != relation,
                (before, after) -> {
                    if (before != null) {
                        remove(partner, previousRelation, before);
                    }
                    if (before != null && after == null) {
                        listener.onWithdrawn(before);
                    } else if (before != null && !before.equals(after)) {
                        listener.onChanged(after);
                    }
                    if (after != null) {
                        add(partner, relation, after, listener);
                    }
                });
        return true;
    }

    /**
     * Walks along both maps at once, in their common order.
     *
     * @param includeEqual whether equal routes are differences too
     * @param action takes the route before and after, null for none
     */
    private static void forEachDifference(
            SortedMap<String, Route> before,
            SortedMap<String, Route> after,
            boolean includeEqual,
            BiConsumer<Route, Route> action) {
        Iterator<Map.Entry<String, Route>> allBefore = before.entrySet().iterator();
        Iterator<Map.Entry<String, Route>> allAfter = after.entrySet().iterator();
        Map.Entry<String, Route> nextBefore = nextOrNull(allBefore);
        Map.Entry<String, Route> nextAfter = nextOrNull(allAfter);
        while (nextBefore != null || nextAfter != null) {
            int order = compareKeys(nextBefore, nextAfter);
            if (order < 0) {
                action.accept(nextBefore.getValue(), null);
            } else if (order > 0) {
                action.accept(null, nextAfter.getValue());
            } else if (includeEqual || !nextBefore.getValue().equals(nextAfter.getValue())) {
                action.accept(nextBefore.getValue(), nextAfter.getValue());
            }
            nextBefore = order <= 0 ? nextOrNull(allBefore) : nextBefore;
            nextAfter = order >= 0 ? nextOrNull(allAfter) : nextAfter;
        }
    }

    /** By key, an entry that is absent last. */
    private static int compareKeys(Map.Entry<String, Route> one, Map.Entry<String, Route> other) {
        if (one == null) {
            return 1;
        }
        return other == null ? -1 : one.getKey().compareTo(other.getKey());
    }

    private static Map.Entry<String, Route> nextOrNull(Iterator<Map.Entry<String, Route>> entries) {
        return entries.hasNext() ? entries.next() : null;
    }

    private void add(String partner, Relation relation, Route route, RouteListener listener) {
        RoutingPolicy.ImportRule violation = policy.findImportViolation(partner, relation, route);
        if (violation == null) {
            candidates.computeIfAbsent(route.key(), key -> new TreeSet<>()).add(candidate(partner, relation, route));
        } else {
            listener.onRejected(route, violation.wireName());
        }
    }

    private void remove(String partner, Relation relation, Route route) {
        NavigableSet<Candidate> ofKey = candidates.get(route.key());
        if (ofKey != null) {
            ofKey.remove(candidate(partner, relation, route));
            if (ofKey.isEmpty()) {
                candidates.remove(route.key());
            }
        }
    }

    private static Candidate candidate(String partner, Relation relation, Route route) {
        return new Candidate(partner, relation, RoutingPolicy.markOnImport(partner, relation, route));
    }

    /** The table of a partner, or null. */
    public RouteTable table(String partner) {
        return tables.get(partner);
    }

    /** How many routes all tables have, usable or not. */
    public int routeCount() {
        return routeCount;
    }

    /** The candidates of a key, best first. */
    public NavigableSet<Candidate> candidates(String key) {
        return Collections.unmodifiableNavigableSet(candidates.getOrDefault(key, NO_CANDIDATES));
    }

    /** The keys that have candidates, in order. */
    public List<String> keys() {
        return new ArrayList<>(candidates.keySet());
    }

    /** All candidates as text: two mergers with the same text decide the same. */
    public String describe() {
        StringBuilder text = new StringBuilder();
        candidates.forEach((key, ofKey) -> {
            for (Candidate candidate : ofKey) {
                text.append(key).append(' ').append(candidate.relation().wireName());
                text.append(' ').append(candidate.partner());
                text.append(' ').append(candidate.route()).append('\n');
            }
        });
        return text.toString();
    }
}
