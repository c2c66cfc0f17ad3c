package merlinlever.faults.timeline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.faults.Stands;
import merlinlever.routes.Damping;
import merlinlever.routes.Merge;
import merlinlever.routes.Relation;
import merlinlever.routes.Route;
import merlinlever.routes.Routes;
import merlinlever.routes.Rules;
import merlinlever.routes.Table;
import merlinlever.routes.TableWriter;
import merlinlever.view.Standing;

/**
 * A site of one backend in a play: each second it asks each partner what that stands by, and uses it for a lease from its
 * question. One that is careless passes on all that it knows, whatever the rules say.
 */
final class RoutesNode implements Play.Node<RoutesNode.Word> {

    /** A question where there is no table, else the answer to it. */
    record Word(long number, Table table) {}

    static final Duration LEASE = Duration.ofSeconds(6);

    static final Play.Words<Word> WORDS = new Play.Words<>() {
        @Override
        public String of(Word word) {
            if (word.table == null) {
                return "what do you say?";
            }
            List<String> routes = new ArrayList<>();
            word.table
                    .routes()
                    .values()
                    .forEach(route -> routes.add(route.key() + " by " + String.join(" ", route.path())));
            return "table " + word.table.incarnation() + "." + word.table.sequence() + ": "
                    + (routes.isEmpty() ? "nothing" : String.join(", ", routes));
        }

        @Override
        public Play.Show show(Word word) {
            return word.table == null ? Play.Show.NEVER : Play.Show.EFFECT_OR_LOST;
        }
    };

    private final String self;
    private final Map<String, Relation> partners;
    private final boolean careless;
    private final Routes routes;
    private final List<Route> own = new ArrayList<>();
    private final Map<String, Table> said = new TreeMap<>();
    private final Map<String, Word> asked = new TreeMap<>();
    private final Map<String, Duration> askedAt = new TreeMap<>();
    private Duration next;
    private long numbers;

    RoutesNode(Play.Born born, Map<String, Relation> partners, boolean careless) {
        self = born.node();
        this.partners = new TreeMap<>(partners);
        this.careless = careless;
        next = born.now();
        List<Routes.Stated> stated = new ArrayList<>();
        this.partners.forEach((site, relation) -> stated.add(new Routes.Stated(site, relation)));
        routes = new Routes(
                new Rules(self),
                stated,
                0.01,
                Damping.Figures.PUBLISHED,
                new Stands(now -> Standing.WHOLE),
                born.notes());
    }

    List<Route> own() {
        return own;
    }

    @Override
    public List<Play.Out<Word>> look(Duration now) {
        routes.settle(now);
        List<Play.Out<Word>> out = new ArrayList<>();
        if (now.compareTo(next) >= 0) {
            next = now.plusSeconds(1);
            for (String site : partners.keySet()) {
                Word question = new Word(++numbers, null);
                asked.put(site, question);
                askedAt.put(site, now);
                out.add(new Play.Out<>(site, question));
            }
        }
        return out;
    }

    @Override
    public List<Play.Out<Word>> heard(Duration now, String from, Word word) {
        if (word.table == null) {
            return List.of(new Play.Out<>(from, new Word(word.number, table(now, from))));
        }
        if (asked.get(from) != null && asked.get(from).number == word.number) {
            routes.offer(now, word.table);
            routes.stoodBy(
                    now,
                    from,
                    word.table.incarnation(),
                    word.table.sequence(),
                    TableWriter.digest(word.table),
                    askedAt.get(from),
                    LEASE);
        }
        return List.of();
    }

    private Table table(Duration now, String to) {
        List<Route> all = new ArrayList<>(routes.export(now, to, own, self + ":1", 10, 1));
        if (careless) {
            routes.ways(now, RoutesPlays.KEY).stream()
                    .filter(way -> !way.from().equals(to))
                    .forEach(way -> all.add(passed(way.route())));
        }
        Table before = said.get(to);
        Table present = Table.of(
                self,
                1,
                before == null ? 1 : before.sequence() + 1,
                partners.get(to).seenFromThere(),
                LEASE,
                all);
        if (before == null || !before.routes().equals(present.routes())) {
            said.put(to, present);
        }
        return said.get(to);
    }

    private Route passed(Route route) {
        List<String> path = new ArrayList<>(List.of(self));
        path.addAll(route.path());
        return new Route(
                route.tariff(),
                route.group(),
                self + ":1",
                route.calls(),
                route.cost() + 1,
                route.binding(),
                path,
                route.downFrom(),
                route.restrictions());
    }

    @Override
    public Map<String, String> believes(Duration now) {
        Map<String, String> all = new LinkedHashMap<>();
        List<String> ways = new ArrayList<>();
        for (Merge.Candidate way : routes.ways(now, RoutesPlays.KEY)) {
            ways.add(String.join(" ", way.route().path())
                    + (way.route().restrictions().noFurther() ? ", not to be passed on" : "")
                    + (routes.stale(now, way.from()) ? ", used last" : ""));
        }
        all.put("ways", ways.isEmpty() ? "no way" : "by " + String.join("; by ", ways));
        return all;
    }
}
