package merlinlever.testing.faults.timeline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.fleet.routes.FlapDamping;
import merlinlever.fleet.routes.Relation;
import merlinlever.fleet.routes.Route;
import merlinlever.fleet.routes.RouteMerger;
import merlinlever.fleet.routes.RouteTable;
import merlinlever.fleet.routes.RouteTableWriter;
import merlinlever.fleet.routes.RoutingPolicy;
import merlinlever.fleet.routes.RoutingTable;
import merlinlever.fleet.view.QuorumStatus;

/**
 * A site of one backend in a play: each second it asks each partner what that stands by, and uses it for a lease from its
 * question. One that is careless passes on all that it knows, whatever the rules say.
 */
final class RoutesNode implements Scenario.ScenarioNode<RoutesNode.RouteMessage> {

    /** A question where there is no table, else the answer to it. */
    record RouteMessage(long number, RouteTable table) {}

    static final Duration LEASE = Duration.ofSeconds(6);

    static final Scenario.MessageDescriber<RouteMessage> WORDS = new Scenario.MessageDescriber<>() {
        @Override
        public String of(RouteMessage word) {
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
        public Scenario.MessageVisibility show(RouteMessage word) {
            return word.table == null ? Scenario.MessageVisibility.NEVER : Scenario.MessageVisibility.EFFECT_OR_LOST;
        }
    };

    private final String self;
    private final Map<String, Relation> partners;
    private final boolean careless;
    private final RoutingTable routes;
    private final List<Route> own = new ArrayList<>();
    private final Map<String, RouteTable> said = new TreeMap<>();
    private final Map<String, RouteMessage> asked = new TreeMap<>();
    private final Map<String, Duration> askedAt = new TreeMap<>();
    private Duration next;
    private long numbers;

    RoutesNode(Scenario.NodeContext born, Map<String, Relation> partners, boolean careless) {
        self = born.node();
        this.partners = new TreeMap<>(partners);
        this.careless = careless;
        next = born.now();
        List<RoutingTable.PartnerSettings> stated = new ArrayList<>();
        this.partners.forEach((site, relation) -> stated.add(new RoutingTable.PartnerSettings(site, relation)));
        routes = new RoutingTable(
                new RoutingPolicy(self),
                stated,
                0.01,
                FlapDamping.FlapDampingSettings.RECOMMENDED,
                new FixedFleetView(now -> QuorumStatus.FULL),
                event -> born.notes().accept(event.text()));
    }

    List<Route> own() {
        return own;
    }

    @Override
    public List<Scenario.AddressedMessage<RouteMessage>> look(Duration now) {
        routes.tick(now);
        List<Scenario.AddressedMessage<RouteMessage>> out = new ArrayList<>();
        if (now.compareTo(next) >= 0) {
            next = now.plusSeconds(1);
            for (String site : partners.keySet()) {
                RouteMessage question = new RouteMessage(++numbers, null);
                asked.put(site, question);
                askedAt.put(site, now);
                out.add(new Scenario.AddressedMessage<>(site, question));
            }
        }
        return out;
    }

    @Override
    public List<Scenario.AddressedMessage<RouteMessage>> heard(Duration now, String from, RouteMessage word) {
        if (word.table == null) {
            return List.of(new Scenario.AddressedMessage<>(from, new RouteMessage(word.number, table(now, from))));
        }
        if (asked.get(from) != null && asked.get(from).number == word.number) {
            routes.offer(now, word.table);
            routes.renew(
                    now,
                    new RoutingTable.Renewal(
                            from,
                            word.table.incarnation(),
                            word.table.sequence(),
                            RouteTableWriter.digest(word.table),
                            askedAt.get(from),
                            LEASE));
        }
        return List.of();
    }

    private RouteTable table(Duration now, String to) {
        List<Route> all = new ArrayList<>(routes.export(now, to, own, self + ":1", 10, 1));
        if (careless) {
            routes.candidates(now, RoutesScenarios.KEY).stream()
                    .filter(way -> !way.partner().equals(to))
                    .forEach(way -> all.add(passed(way.route())));
        }
        RouteTable before = said.get(to);
        RouteTable present = RouteTable.of(
                self,
                1,
                before == null ? 1 : before.sequence() + 1,
                partners.get(to).inverse(),
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
                route.priorityClass(),
                route.group(),
                self + ":1",
                route.callsPerSecond(),
                route.cost() + 1,
                route.allowsNonIdempotent(),
                path,
                route.onlyToCustomerSite(),
                route.restrictions());
    }

    @Override
    public Map<String, String> believes(Duration now) {
        Map<String, String> all = new LinkedHashMap<>();
        List<String> ways = new ArrayList<>();
        for (RouteMerger.Candidate way : routes.candidates(now, RoutesScenarios.KEY)) {
            ways.add(String.join(" ", way.route().path())
                    + (way.route().restrictions().noExport() ? ", not to be passed on" : "")
                    + (routes.isStale(now, way.partner()) ? ", used last" : ""));
        }
        all.put("ways", ways.isEmpty() ? "no way" : "by " + String.join("; by ", ways));
        return all;
    }
}
