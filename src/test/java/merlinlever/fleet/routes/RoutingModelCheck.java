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
 * Walks every state that four sites can reach: the first publishes one variant of its route after the other, each site publishes to
 * each partner at any time, each published table arrives, is overtaken or is lost, and any table that is held may expire. Checks
 * every exported and every imported route by rules of its own, and lets each state converge, to see that all orders end alike.
 */
final class RoutingModelCheck {

    static final String[] SITES = {"a", "b", "c", "d"};
    private static final int N = 4;
    private static final int NOTHING = 0;
    /** The first variant's calls per second; each later one has one more. */
    private static final int VARIANT_RATE = 10;

    /** What the second is to the first, by index; null where they are no partners. */
    final Relation[][] relations = new Relation[N][N];

    private final List<Restrictions> variants;
    private final RoutingPolicy[] policies = new RoutingPolicy[N];
    /** A site that exports all that it has, -1 for none. */
    int leaker = -1;

    /** Whether the leaker passes routes on as if they were its own. */
    boolean stripsPath;

    final Set<String> breaches = new TreeSet<>();
    final Map<Integer, Set<String>> results = new TreeMap<>();
    int states;
    private final List<List<Route>> contents = new ArrayList<>(List.of(List.of()));
    private final Map<List<Route>, Integer> numberOfContent = new HashMap<>(Map.of(List.of(), NOTHING));
    private final Map<String, Integer> exports = new HashMap<>();
    private final Map<String, String> merges = new HashMap<>();

    /**
     * A walk that begins with the first variant.
     *
     * @param variants of the first site's route, null for withdrawn
     */
    RoutingModelCheck(
            List<Restrictions> variants,
            Set<RoutingPolicy.ImportRule> without,
            Set<RoutingPolicy.ExportRule> withoutExport) {
        this.variants = variants;
        for (int i = 0; i < N; i++) {
            policies[i] = new RoutingPolicy(SITES[i], without, withoutExport);
        }
    }

    static RoutingModelCheck of(List<Restrictions> variants) {
        return new RoutingModelCheck(
                variants,
                EnumSet.noneOf(RoutingPolicy.ImportRule.class),
                EnumSet.noneOf(RoutingPolicy.ExportRule.class));
    }

    /** Makes the second site this to the first. */
    RoutingModelCheck link(int one, int other, Relation relation) {
        relations[one][other] = relation;
        relations[other][one] = relation.inverse();
        return this;
    }

    /**
     * A state of all sites; tables are numbers of contents.
     *
     * @param published how many variants were published
     * @param held by receiver and publisher: the table that is held
     * @param inTransit by publisher and receiver: the table that is under way, -1 for none
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

    private Route own(int published) {
        Restrictions restrictions = variants.get(published);
        // By its rate the variant is recognized, whatever became of the rest.
        return restrictions == null
                ? null
                : new Route(
                        "t", "g", "10.0.0.1:1", VARIANT_RATE + published, 0, false, List.of("a"), null, restrictions);
    }

    private RouteMerger merger(int site, int[] held) {
        RouteMerger merger = new RouteMerger(policies[site]);
        for (int from = 0; from < N; from++) {
            if (relations[site][from] != null && held[from] != NOTHING) {
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

    /** The content that the site would publish to the other, as its number. */
    private int export(NetworkState state, int site, int to) {
        return exports.computeIfAbsent(
                site + ">" + to + (site == 0 ? "/" + state.published : "") + Arrays.toString(state.held[site]), key -> {
                    Route own = site == 0 ? own(state.published) : null;
                    RouteMerger merger = merger(site, state.held[site]);
                    List<Route> all = new ArrayList<>();
                    if (site == leaker) {
                        all.addAll(own == null ? List.of() : List.of(own));
                        for (int from = 0; from < N; from++) {
                            for (Route route : contents.get(state.held[site][from])) {
                                all.add(
                                        stripsPath
                                                ? route
                                                : policies[site].toExported(
                                                        route,
                                                        new RouteExporter.Terms(
                                                                "-", relations[site][to], "10.0.0.9:1", 100, 1)));
                            }
                        }
                    } else {
                        all = RouteExporter.export(
                                policies[site],
                                merger,
                                new RouteExporter.Terms(
                                        SITES[to], relations[site][to], "10.0.0." + (site + 1) + ":1", 100, 1),
                                own == null ? List.of() : List.of(own),
                                candidate -> true);
                        all.forEach(route -> check("sent", route, site, to));
                    }
                    merger.keys().forEach(routeKey -> merger.candidates(routeKey)
                            .forEach(candidate -> check(
                                    "taken",
                                    candidate.route(),
                                    Arrays.asList(SITES).indexOf(candidate.partner()),
                                    site)));
                    List<Route> content = List.copyOf(all);
                    Integer number = numberOfContent.get(content);
                    if (number == null) {
                        number = contents.size();
                        numberOfContent.put(content, number);
                        contents.add(content);
                    }
                    return number;
                });
    }

    /** Checks a route by rules of its own; it recognizes the variant by its rate, and knows what the sites are to each other. */
    private void check(String event, Route route, int from, int to) {
        String breach = findBreach(route, from, to);
        if (breach != null) {
            breaches.add(event + " to " + SITES[to] + " by " + route.path() + ": " + breach);
        }
    }

    private String findBreach(Route route, int from, int to) {
        Restrictions published = variants.get(route.callsPerSecond() - VARIANT_RATE);
        List<String> path = route.path();
        boolean isOrigin = path.size() == 1;
        if (published.unreadable() && to != 0) {
            return "unreadable";
        } else if (published.allowedSites() != null && !published.allowedSites().contains(SITES[to])) {
            return "not among the only";
        } else if (published.deniedSites().contains(SITES[to])) {
            return "not to it";
        } else if (published.noExport() && !isOrigin) {
            return "exported";
        } else if (path.size() > published.maxPathLength()) {
            return "too long";
        } else if (published.customersOnly() && !isOrigin && relations[from][to] != Relation.CUSTOMER) {
            return "not a customer";
        } else if (path.contains(SITES[to]) || new HashSet<>(path).size() < path.size()) {
            return "loop";
        } else if (!path.get(0).equals(SITES[from])) {
            return "not its own";
        }
        return hasValley(path, to) ? "valley" : null;
    }

    private boolean hasValley(List<String> path, int to) {
        boolean wentToPeerOrCustomer = false;
        int at = Arrays.asList(SITES).indexOf(path.get(path.size() - 1));
        for (int i = path.size() - 2; i >= -1; i--) {
            int next = i < 0 ? to : Arrays.asList(SITES).indexOf(path.get(i));
            Relation step = relations[at][next];
            if (step == null || (wentToPeerOrCustomer && step != Relation.CUSTOMER)) {
                return true;
            }
            wentToPeerOrCustomer |= step != Relation.PROVIDER;
            at = next;
        }
        return false;
    }

    void run(int maxStates) {
        NetworkState initial = new NetworkState(0, new int[N][N], new int[N][N]);
        Arrays.stream(initial.inTransit).forEach(row -> Arrays.fill(row, -1));
        Set<String> seen = new HashSet<>(Set.of(initial.key()));
        ArrayDeque<NetworkState> open = new ArrayDeque<>(List.of(initial));
        while (!open.isEmpty()) {
            NetworkState state = open.poll();
            states++;
            converge(state);
            for (NetworkState next : successors(state)) {
                if (seen.size() < maxStates && seen.add(next.key())) {
                    open.add(next);
                }
            }
        }
    }

    private List<NetworkState> successors(NetworkState state) {
        List<NetworkState> next = new ArrayList<>();
        if (state.published + 1 < variants.size()) {
            next.add(state.copy(state.published + 1));
        }
        for (int x = 0; x < N; x++) {
            for (int y = 0; y < N; y++) {
                if (relations[x][y] == null) {
                    continue;
                }
                int content = export(state, x, y);
                if (content != (state.inTransit[x][y] >= 0 ? state.inTransit[x][y] : state.held[y][x])) {
                    // What was on its way is overtaken: it is older when it comes.
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
                if (state.held[y][x] != NOTHING) {
                    NetworkState expired = state.copy(state.published);
                    expired.held[y][x] = NOTHING;
                    next.add(expired);
                }
            }
        }
        return next;
    }

    /** Nothing more is published or lost: what all converge to depends only on the last variant. */
    private void converge(NetworkState from) {
        NetworkState state = from.copy(from.published);
        boolean changed = true;
        for (int round = 0; changed && round < 40; round++) {
            changed = false;
            for (int x = 0; x < N; x++) {
                for (int y = 0; y < N; y++) {
                    if (relations[x][y] != null) {
                        int content = export(state, x, y);
                        changed |= content != state.held[y][x];
                        state.held[y][x] = content;
                    }
                }
            }
        }
        StringBuilder all = new StringBuilder(changed ? "no rest\n" : "");
        for (int x = 0; x < N; x++) {
            int site = x;
            all.append(SITES[x])
                    .append(":\n")
                    .append(merges.computeIfAbsent(
                            x + Arrays.toString(state.held[x]),
                            key -> merger(site, state.held[site]).describe()));
        }
        results.computeIfAbsent(state.published, published -> new TreeSet<>()).add(all.toString());
    }
}
