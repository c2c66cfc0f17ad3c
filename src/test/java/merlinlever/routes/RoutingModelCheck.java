package merlinlever.routes;

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
 * Walks every state that four sites can come to: the first says one variant of its route after the other, each site publishes to
 * each partner at any time, each published table arrives, is overtaken or is lost, and any table held may run out. Looks at every
 * table sent and every route taken with rules of its own, and brings each state to rest, to see that all orders end alike.
 */
final class RoutingModelCheck {

    static final String[] SITES = {"a", "b", "c", "d"};
    private static final int N = 4;
    private static final int NOTHING = 0;

    /** What the second is to the first, by index; null where they are no partners. */
    final Relation[][] relations = new Relation[N][N];

    private final List<Restrictions> variants;
    private final RoutingPolicy[] rules = new RoutingPolicy[N];
    /** Passes on all that it has; or even as if it were the other's own table. */
    int leaker = -1;

    boolean strips;
    final Set<String> breaches = new TreeSet<>();
    final Map<Integer, Set<String>> results = new TreeMap<>();
    int states;
    private final List<List<Route>> contents = new ArrayList<>(List.of(List.of()));
    private final Map<List<Route>, Integer> numbers = new HashMap<>(Map.of(List.of(), NOTHING));
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
            rules[i] = new RoutingPolicy(SITES[i], without, withoutExport);
        }
    }

    static RoutingModelCheck of(List<Restrictions> variants) {
        return new RoutingModelCheck(
                variants,
                EnumSet.noneOf(RoutingPolicy.ImportRule.class),
                EnumSet.noneOf(RoutingPolicy.ExportRule.class));
    }

    /** The second is to the first what is stated. */
    RoutingModelCheck link(int one, int other, Relation relation) {
        relations[one][other] = relation;
        relations[other][one] = relation.inverse();
        return this;
    }

    /** held[y][x]: what y has of x; way[x][y]: what is on its way from x to y, -1 for none; said: variants announced. */
    private record NetworkState(int said, int[][] held, int[][] way) {
        NetworkState copy(int nowSaid) {
            return new NetworkState(
                    nowSaid,
                    Arrays.stream(held).map(int[]::clone).toArray(int[][]::new),
                    Arrays.stream(way).map(int[]::clone).toArray(int[][]::new));
        }

        String key() {
            return said + Arrays.deepToString(held) + Arrays.deepToString(way);
        }
    }

    private Route own(int said) {
        Restrictions its = variants.get(said);
        // By the figure of calls the variant is known again, whatever became of the rest.
        return its == null ? null : new Route("t", "g", "10.0.0.1:1", 10 + said, 0, false, List.of("a"), null, its);
    }

    private RouteMerger merge(int site, int[] held) {
        RouteMerger merge = new RouteMerger(rules[site]);
        for (int from = 0; from < N; from++) {
            if (relations[site][from] != null && held[from] != NOTHING) {
                merge.replaceTable(
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
        return merge;
    }

    /** What the site would publish to the other, as a number. */
    private int export(NetworkState state, int site, int to) {
        return exports.computeIfAbsent(
                site + ">" + to + (site == 0 ? "/" + state.said : "") + Arrays.toString(state.held[site]), key -> {
                    Route own = site == 0 ? own(state.said) : null;
                    RouteMerger merge = merge(site, state.held[site]);
                    List<Route> all = new ArrayList<>();
                    if (site == leaker) {
                        all.addAll(own == null ? List.of() : List.of(own));
                        for (int from = 0; from < N; from++) {
                            for (Route each : contents.get(state.held[site][from])) {
                                all.add(
                                        strips
                                                ? each
                                                : rules[site].toExported(
                                                        each,
                                                        new RouteExporter.Terms(
                                                                "-", relations[site][to], "10.0.0.9:1", 100, 1)));
                            }
                        }
                    } else {
                        all = RouteExporter.export(
                                rules[site],
                                merge,
                                new RouteExporter.Terms(
                                        SITES[to], relations[site][to], "10.0.0." + (site + 1) + ":1", 100, 1),
                                own == null ? List.of() : List.of(own),
                                any -> true);
                        all.forEach(each -> look("sent", each, site, to));
                    }
                    merge.keys().forEach(way -> merge.candidates(way)
                            .forEach(each -> look(
                                    "taken", each.route(), Arrays.asList(SITES).indexOf(each.partner()), site)));
                    List<Route> content = List.copyOf(all);
                    Integer number = numbers.get(content);
                    if (number == null) {
                        numbers.put(content, number = contents.size());
                        contents.add(content);
                    }
                    return number;
                });
    }

    /** The auditor's own rules; it knows the variant by its figure, and who is what to whom. */
    private void look(String what, Route route, int from, int to) {
        Restrictions said = variants.get(route.callsPerSecond() - 10);
        List<String> path = route.path();
        boolean first = path.size() == 1;
        String why = said.unreadable() && to != 0
                ? "unreadable"
                : said.onlyTo() != null && !said.onlyTo().contains(SITES[to])
                        ? "not among the only"
                        : said.notTo().contains(SITES[to])
                                ? "not to it"
                                : said.noExport() && !first
                                        ? "further"
                                        : path.size() > said.maxSites()
                                                ? "too long"
                                                : said.customersOnly()
                                                                && !first
                                                                && relations[from][to] != Relation.CUSTOMER
                                                        ? "not a customer"
                                                        : path.contains(SITES[to])
                                                                        || new HashSet<>(path).size() < path.size()
                                                                ? "loop"
                                                                : !path.get(0).equals(SITES[from])
                                                                        ? "not its own"
                                                                        : valley(path, to) ? "valley" : null;
        if (why != null) {
            breaches.add(what + " to " + SITES[to] + " by " + path + ": " + why);
        }
    }

    private boolean valley(List<String> path, int to) {
        boolean down = false;
        int at = Arrays.asList(SITES).indexOf(path.get(path.size() - 1));
        for (int i = path.size() - 2; i >= -1; i--) {
            int next = i < 0 ? to : Arrays.asList(SITES).indexOf(path.get(i));
            Relation step = relations[at][next];
            if (step == null || (down && step != Relation.CUSTOMER)) {
                return true;
            }
            down |= step != Relation.PROVIDER;
            at = next;
        }
        return false;
    }

    void run(int most) {
        NetworkState begin = new NetworkState(0, new int[N][N], new int[N][N]);
        Arrays.stream(begin.way).forEach(each -> Arrays.fill(each, -1));
        Set<String> known = new HashSet<>(Set.of(begin.key()));
        ArrayDeque<NetworkState> open = new ArrayDeque<>(List.of(begin));
        while (!open.isEmpty()) {
            NetworkState state = open.poll();
            states++;
            rest(state);
            for (NetworkState next : steps(state)) {
                if (known.size() < most && known.add(next.key())) {
                    open.add(next);
                }
            }
        }
    }

    private List<NetworkState> steps(NetworkState state) {
        List<NetworkState> next = new ArrayList<>();
        if (state.said + 1 < variants.size()) {
            next.add(state.copy(state.said + 1));
        }
        for (int x = 0; x < N; x++) {
            for (int y = 0; y < N; y++) {
                if (relations[x][y] == null) {
                    continue;
                }
                int would = export(state, x, y);
                if (would != (state.way[x][y] >= 0 ? state.way[x][y] : state.held[y][x])) {
                    // What was on its way is overtaken: it is older when it comes.
                    NetworkState published = state.copy(state.said);
                    published.way[x][y] = would;
                    next.add(published);
                }
                if (state.way[x][y] >= 0) {
                    NetworkState arrived = state.copy(state.said);
                    arrived.held[y][x] = state.way[x][y];
                    arrived.way[x][y] = -1;
                    next.add(arrived);
                    NetworkState lost = state.copy(state.said);
                    lost.way[x][y] = -1;
                    next.add(lost);
                }
                if (state.held[y][x] != NOTHING) {
                    NetworkState out = state.copy(state.said);
                    out.held[y][x] = NOTHING;
                    next.add(out);
                }
            }
        }
        return next;
    }

    /** Nothing is said any more and nothing lost: what all come to hangs on the last word alone. */
    private void rest(NetworkState from) {
        NetworkState state = from.copy(from.said);
        boolean moved = true;
        for (int round = 0; moved && round < 40; round++) {
            moved = false;
            for (int x = 0; x < N; x++) {
                for (int y = 0; y < N; y++) {
                    if (relations[x][y] != null) {
                        int would = export(state, x, y);
                        moved |= would != state.held[y][x];
                        state.held[y][x] = would;
                    }
                }
            }
        }
        StringBuilder all = new StringBuilder(moved ? "no rest\n" : "");
        for (int x = 0; x < N; x++) {
            int site = x;
            all.append(SITES[x])
                    .append(":\n")
                    .append(merges.computeIfAbsent(
                            x + Arrays.toString(state.held[x]),
                            key -> merge(site, state.held[site]).describe()));
        }
        results.computeIfAbsent(state.said, said -> new TreeSet<>()).add(all.toString());
    }
}
