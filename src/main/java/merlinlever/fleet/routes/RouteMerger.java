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
 * Merges the tables of all partners into the usable routes by key, in order of preference. The result depends only on
 * the current tables, not on the order in which they were received. An update reads the old and the new table of one
 * partner, and re-evaluates only the routes that differ. Not thread-safe.
 */
public final class RouteMerger {

    /** A usable route and the partner that published the route. */
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

        /** Whether the candidates differ only in their names. Calls are distributed over equally good candidates. */
        public boolean isEquallyGood(Candidate other) {
            return relation == other.relation
                    && route.path().size() == other.route.path().size()
                    && route.cost() == other.route.cost();
        }
    }

    /** Receives the changes that a new table of a partner causes. */
    public interface RouteListener {
        /**
         * Handles a route that may not be used.
         *
         * @param rule name of the rule that forbids the route
         */
        void onRejected(Route route, String rule);

        /** Handles a route that is missing from the new table. */
        void onWithdrawn(Route route);

        /** Handles a route whose attributes differ in the new table. */
        void onChanged(Route route);
    }

    /** A listener that ignores all changes. */
    public static final RouteListener NO_LISTENER = new RouteListener() {
        @Override
        public void onRejected(Route route, String rule) {}

        @Override
        public void onWithdrawn(Route route) {}

        @Override
        public void onChanged(Route route) {}
    };

    /** Maximum number of routes of all partners. A table that would exceed this limit is rejected. */
    public static final int MAX_ROUTES = 8 * RouteTable.MAX_ROUTES;
    /** Maximum number of candidates per key that are considered for a call. */
    public static final int MAX_CANDIDATES_PER_KEY = 64;

    private static final NavigableSet<Candidate> NO_CANDIDATES = Collections.unmodifiableNavigableSet(new TreeSet<>());

    private final RoutingPolicy policy;
    private final Map<String, RouteTable> tables = new TreeMap<>();
    private final Map<String, Relation> relations = new TreeMap<>();
    private final Map<String, NavigableSet<Candidate>> candidates = new TreeMap<>();
    private int routeCount;

    /** Creates a merger without tables. */
    public RouteMerger(RoutingPolicy policy) {
        this.policy = policy;
    }

    /**
     * Replaces a partner's table.
     *
     * @param table the new table, or null to remove the partner's routes
     * @return false if the routes would exceed {@link #MAX_ROUTES}, in which case the table is not replaced
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
     * Iterates over both sorted maps in parallel and reports their differences.
     *
     * @param includeEqual whether to report equal routes as well
     * @param action receives the old and the new route, with null for a missing route
     */
    private static void forEachDifference(
            SortedMap<String, Route> before,
            SortedMap<String, Route> after,
            boolean includeEqual,
            BiConsumer<Route, Route> action) {
        Iterator<Map.Entry<String, Route>> beforeEntries = before.entrySet().iterator();
        Iterator<Map.Entry<String, Route>> afterEntries = after.entrySet().iterator();
        Map.Entry<String, Route> nextBefore = nextOrNull(beforeEntries);
        Map.Entry<String, Route> nextAfter = nextOrNull(afterEntries);
        while (nextBefore != null || nextAfter != null) {
            int order = compareKeys(nextBefore, nextAfter);
            if (order < 0) {
                action.accept(nextBefore.getValue(), null);
            } else if (order > 0) {
                action.accept(null, nextAfter.getValue());
            } else if (includeEqual || !nextBefore.getValue().equals(nextAfter.getValue())) {
                action.accept(nextBefore.getValue(), nextAfter.getValue());
            }
            nextBefore = order <= 0 ? nextOrNull(beforeEntries) : nextBefore;
            nextAfter = order >= 0 ? nextOrNull(afterEntries) : nextAfter;
        }
    }

    /** Compares two entries by key. A null entry is the greatest. */
    private static int compareKeys(Map.Entry<String, Route> first, Map.Entry<String, Route> second) {
        if (first == null) {
            return 1;
        }
        return second == null ? -1 : first.getKey().compareTo(second.getKey());
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
        NavigableSet<Candidate> keyCandidates = candidates.get(route.key());
        if (keyCandidates != null) {
            keyCandidates.remove(candidate(partner, relation, route));
            if (keyCandidates.isEmpty()) {
                candidates.remove(route.key());
            }
        }
    }

    private static Candidate candidate(String partner, Relation relation, Route route) {
        return new Candidate(partner, relation, RoutingPolicy.markOnImport(partner, relation, route));
    }

    /** The current table of a partner, or null. */
    public RouteTable table(String partner) {
        return tables.get(partner);
    }

    /** Number of routes in all tables, whether usable or not. */
    public int routeCount() {
        return routeCount;
    }

    /** The candidates of a key, in order of preference. */
    public NavigableSet<Candidate> candidates(String key) {
        return Collections.unmodifiableNavigableSet(candidates.getOrDefault(key, NO_CANDIDATES));
    }

    /** The keys that have candidates, in alphabetical order. */
    public List<String> keys() {
        return new ArrayList<>(candidates.keySet());
    }

    /** Returns all candidates as text. Two mergers with the same text have the same candidates in the same order. */
    public String describe() {
        StringBuilder text = new StringBuilder();
        candidates.forEach((key, keyCandidates) -> {
            for (Candidate candidate : keyCandidates) {
                text.append(key).append(' ').append(candidate.relation().wireName());
                text.append(' ').append(candidate.partner());
                text.append(' ').append(candidate.route()).append('\n');
            }
        });
        return text.toString();
    }
}
