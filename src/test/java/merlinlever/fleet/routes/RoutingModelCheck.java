package merlinlever.fleet.routes;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Model checker that explores the reachable states of four sites by breadth-first search. The first site publishes
 * the variants of its route in turn. Each site may publish to each partner at any time; a published table may arrive,
 * be replaced by a later table or be lost, and a held table may expire. The model checker verifies each exported and
 * imported route with independent rules, and that all states of one variant converge to the same result.
 */
final class RoutingModelCheck {

    static final String[] SITES = {"a", "b", "c", "d"};
    private static final int SITE_COUNT = 4;
    private static final int EMPTY_CONTENT = 0;
    /** Calls per second of the first variant. The rate of each further variant is higher by one. */
    private static final int VARIANT_RATE = 10;

    /** Relation of the second site (second index) to the first site (first index), or null if they are not partners. */
    final Relation[][] relations = new Relation[SITE_COUNT][SITE_COUNT];

    private final List<Restrictions> variants;
    private final RoutingPolicy[] policies = new RoutingPolicy[SITE_COUNT];
    /** Index of the site that exports all its routes regardless of the rules, or -1 for none. */
    int leakingSite = -1;

    /** Whether the leaking site re-exports routes without adding itself to the path. */
    boolean stripsPath;

    final Set<String> violations = new TreeSet<>();
    final Map<Integer, Set<String>> results = new TreeMap<>();
    int states;
    private final List<List<Route>> contents = new ArrayList<>(List.of(List.of()));
    private final Map<List<Route>, Integer> contentIndexes = new HashMap<>(Map.of(List.of(), EMPTY_CONTENT));
    private final Map<String, Integer> contentIndexesByState = new HashMap<>();
    private final Map<String, String> candidatesByTables = new HashMap<>();

    /**
     * Creates a search that starts with the first variant.
     *
     * @param variants restrictions of the variants of the first site's route, with null for a withdrawn route
     * @param disabledImportRules import rules that the sites do not apply
     * @param disabledExportRules export rules that the sites do not apply
     */
    RoutingModelCheck(
            List<Restrictions> variants,
            Set<RoutingPolicy.ImportRule> disabledImportRules,
            Set<RoutingPolicy.ExportRule> disabledExportRules) {
        this.variants = variants;
        for (int i = 0; i < SITE_COUNT; i++) {
            policies[i] = new RoutingPolicy(SITES[i], disabledImportRules, disabledExportRules);
        }
    }

    static RoutingModelCheck of(List<Restrictions> variants) {
        return new RoutingModelCheck(
                variants,
                EnumSet.noneOf(RoutingPolicy.ImportRule.class),
                EnumSet.noneOf(RoutingPolicy.ExportRule.class));
    }

    /** Makes two sites partners; the relation is the relation of the second site to the first. */
    RoutingModelCheck link(int first, int second, Relation relation) {
        relations[first][second] = relation;
        relations[second][first] = relation.inverse();
        return this;
    }

    /**
     * A state of all sites. Tables are represented by their index in the list of contents.
     *
     * @param published index of the variant that the first site publishes
     * @param held the held table by receiver and publisher
     * @param inTransit the table in transit by publisher and receiver, or -1 for none
     */
    private record NetworkState(int published, int[][] held, int[][] inTransit) {
        NetworkState copy(int nowPublished) {
            return new NetworkState(
                    nowPublished,
                    Arrays.stream(held).map(int[]::clone).toArray(int[][]::new),
                    Arrays.stream(inTransit).map(int[]::clone).toArray(int[][]::new));
        }

        String key() {
            return published + Arrays.deepToString(held) + Arrays.deepToString(inTransit);
        }
    }

    private Route ownRoute(int published) {
        Restrictions restrictions = variants.get(published);
        // The rate identifies the variant after the route has been exported.
        return restrictions == null
                ? null
                : new Route(
                        "t", "g", "10.0.0.1:1", VARIANT_RATE + published, 0, false, List.of("a"), null, restrictions);
    }

    private RouteMerger merger(int site, int[] held) {
        RouteMerger merger = new RouteMerger(policies[site]);
        for (int from = 0; from < SITE_COUNT; from++) {
            if (relations[site][from] != null && held[from] != EMPTY_CONTENT) {
                merger.replaceTable(
                        SITES[from],
                        relations[site][from],
                        RouteTable.of(
                                SITES[from],
                                1,
                                1,
                                relations[site][from],
                                Duration.ofSeconds(1),
                                contents.get(held[from])),
                        RouteMerger.NO_LISTENER);
            }
        }
        return merger;
    }

    /** Returns the index of the content that the site publishes to the receiver. */
    private int export(NetworkState state, int site, int to) {
        return contentIndexesByState.computeIfAbsent(
                site + ">" + to + (site == 0 ? "/" + state.published : "") + Arrays.toString(state.held[site]), key -> {
                    Route ownRoute = site == 0 ? ownRoute(state.published) : null;
                    RouteMerger merger = merger(site, state.held[site]);
                    List<Route> exportedRoutes = new ArrayList<>();
                    if (site == leakingSite) {
                        exportedRoutes.addAll(ownRoute == null ? List.of() : List.of(ownRoute));
                        for (int from = 0; from < SITE_COUNT; from++) {
                            for (Route route : contents.get(state.held[site][from])) {
                                exportedRoutes.add(
                                        stripsPath
                                                ? route
                                                : policies[site].toExported(
                                                        route,
                                                        new RouteExporter.ExportTerms(
                                                                "-", relations[site][to], "10.0.0.9:1", 100, 1)));
                            }
                        }
                    } else {
                        exportedRoutes = RouteExporter.export(
                                policies[site],
                                merger,
                                new RouteExporter.ExportTerms(
                                        SITES[to], relations[site][to], "10.0.0." + (site + 1) + ":1", 100, 1),
                                ownRoute == null ? List.of() : List.of(ownRoute),
                                candidate -> true);
                        exportedRoutes.forEach(route -> check("export", route, site, to));
                    }
                    merger.keys().forEach(routeKey -> merger.candidates(routeKey)
                            .forEach(candidate -> check(
                                    "import",
                                    candidate.route(),
                                    Arrays.asList(SITES).indexOf(candidate.partner()),
                                    site)));
                    List<Route> content = List.copyOf(exportedRoutes);
                    Integer index = contentIndexes.get(content);
                    if (index == null) {
                        index = contents.size();
                        contentIndexes.put(content, index);
                        contents.add(content);
                    }
                    return index;
                });
    }

    /**
     * Checks a route with independent rules, based on the restrictions of its variant and on the relations of the
     * sites.
     */
    private void check(String event, Route route, int from, int to) {
        String violation = findViolation(route, from, to);
        if (violation != null) {
            violations.add(event + " to " + SITES[to] + " on path " + route.path() + ": " + violation);
        }
    }

    private String findViolation(Route route, int from, int to) {
        Restrictions published = variants.get(route.callsPerSecond() - VARIANT_RATE);
        List<String> path = route.path();
        boolean isOrigin = path.size() == 1;
        if (published.unreadable() && to != 0) {
            return "unreadable";
        } else if (published.allowedSites() != null && !published.allowedSites().contains(SITES[to])) {
            return "receiver not among allowed sites";
        } else if (published.deniedSites().contains(SITES[to])) {
            return "receiver denied";
        } else if (published.noExport() && !isOrigin) {
            return "re-exported";
        } else if (path.size() > published.maxPathLength()) {
            return "path too long";
        } else if (published.customersOnly() && !isOrigin && relations[from][to] != Relation.CUSTOMER) {
            return "receiver not a customer";
        } else if (path.contains(SITES[to]) || new HashSet<>(path).size() < path.size()) {
            return "loop";
        } else if (!path.get(0).equals(SITES[from])) {
            return "first site is not the sender";
        }
        return hasValley(path, to) ? "valley" : null;
    }

    private boolean hasValley(List<String> path, int to) {
        boolean wentToPeerOrCustomer = false;
        int site = Arrays.asList(SITES).indexOf(path.get(path.size() - 1));
        for (int i = path.size() - 2; i >= -1; i--) {
            int next = i < 0 ? to : Arrays.asList(SITES).indexOf(path.get(i));
            Relation step = relations[site][next];
            if (step == null || (wentToPeerOrCustomer && step != Relation.CUSTOMER)) {
                return true;
            }
            wentToPeerOrCustomer |= step != Relation.PROVIDER;
            site = next;
        }
        return false;
    }

    void run(int maxStates) {
        NetworkState initial = new NetworkState(0, new int[SITE_COUNT][SITE_COUNT], new int[SITE_COUNT][SITE_COUNT]);
        Arrays.stream(initial.inTransit).forEach(row -> Arrays.fill(row, -1));
        Set<String> visitedKeys = new HashSet<>(Set.of(initial.key()));
        ArrayDeque<NetworkState> queue = new ArrayDeque<>(List.of(initial));
        while (!queue.isEmpty()) {
            NetworkState state = queue.poll();
            states++;
            converge(state);
            for (NetworkState next : nextStates(state)) {
                if (visitedKeys.size() < maxStates && visitedKeys.add(next.key())) {
                    queue.add(next);
                }
            }
        }
    }

    private List<NetworkState> nextStates(NetworkState state) {
        List<NetworkState> next = new ArrayList<>();
        if (state.published + 1 < variants.size()) {
            next.add(state.copy(state.published + 1));
        }
        for (int x = 0; x < SITE_COUNT; x++) {
            for (int y = 0; y < SITE_COUNT; y++) {
                if (relations[x][y] == null) {
                    continue;
                }
                int content = export(state, x, y);
                if (content != (state.inTransit[x][y] >= 0 ? state.inTransit[x][y] : state.held[y][x])) {
                    // The new table replaces the table in transit, which would be rejected as an older version.
                    NetworkState published = state.copy(state.published);
                    published.inTransit[x][y] = content;
                    next.add(published);
                }
                if (state.inTransit[x][y] >= 0) {
                    NetworkState arrived = state.copy(state.published);
                    arrived.held[y][x] = state.inTransit[x][y];
                    arrived.inTransit[x][y] = -1;
                    next.add(arrived);
                    NetworkState lost = state.copy(state.published);
                    lost.inTransit[x][y] = -1;
                    next.add(lost);
                }
                if (state.held[y][x] != EMPTY_CONTENT) {
                    NetworkState expired = state.copy(state.published);
                    expired.held[y][x] = EMPTY_CONTENT;
                    next.add(expired);
                }
            }
        }
        return next;
    }

    /** Delivers all tables until no table changes, and records the result by the published variant. */
    private void converge(NetworkState from) {
        NetworkState state = from.copy(from.published);
        boolean changed = true;
        for (int round = 0; changed && round < 40; round++) {
            changed = false;
            for (int x = 0; x < SITE_COUNT; x++) {
                for (int y = 0; y < SITE_COUNT; y++) {
                    if (relations[x][y] != null) {
                        int content = export(state, x, y);
                        changed |= content != state.held[y][x];
                        state.held[y][x] = content;
                    }
                }
            }
        }
        StringBuilder result = new StringBuilder(changed ? "not converged\n" : "");
        for (int x = 0; x < SITE_COUNT; x++) {
            int site = x;
            result.append(SITES[x])
                    .append(":\n")
                    .append(candidatesByTables.computeIfAbsent(
                            x + Arrays.toString(state.held[x]),
                            key -> merger(site, state.held[site]).describe()));
        }
        results.computeIfAbsent(state.published, published -> new TreeSet<>()).add(result.toString());
    }
}
