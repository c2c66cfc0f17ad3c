package merlinlever.testing.faults.timeline;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import merlinlever.fleet.routes.Relation;
import merlinlever.fleet.routes.Restrictions;
import merlinlever.fleet.routes.Route;
import merlinlever.testing.faults.timeline.RoutesNode.RouteMessage;

/** Hard cases of routes between sites: each asks its partners each second, and uses what they say for 6 s from its question. */
final class RoutesScenarios {

    static final String KEY = "gold/eu";

    private static final List<String> CHAIN = List.of("s1", "s2", "s3");

    private RoutesScenarios() {}

    private static Route own(String site, Restrictions restrictions) {
        return new Route("gold", "eu", site + ":1", 10, 1, false, List.of(site), null, restrictions);
    }

    /** s1 buys of s2, and s2 of s3: what s3 sells goes down to s1. */
    private static Scenario<RouteMessage> chain(long seed) {
        Map<String, Map<String, Relation>> all = Map.of(
                "s1",
                Map.of("s2", Relation.PROVIDER),
                "s2",
                Map.of("s1", Relation.CUSTOMER, "s3", Relation.PROVIDER),
                "s3",
                Map.of("s2", Relation.CUSTOMER));
        return new Scenario<>(seed, CHAIN, born -> new RoutesNode(born, all.get(born.node()), false), RoutesNode.WORDS);
    }

    private static void sells(Scenario<RouteMessage> play, String site, Restrictions restrictions, String told) {
        play.note(site, "! " + told);
        List<Route> own = ((RoutesNode) play.node(site)).own();
        own.clear();
        if (restrictions != null) {
            own.add(own(site, restrictions));
        }
    }

    static Timeline withdrawn() {
        return chain(1).at(500, p -> sells(p, "s3", Restrictions.NONE, "sells gold/eu"))
                .at(5000, p -> p.cut("s2", "s1"))
                .at(5500, p -> sells(p, "s3", null, "sells it no longer"))
                .until(16_000)
                .timeline(
                        """
                A withdrawal that does not get there
                s1 buys of s2, and s2 of s3. What s3 sells passes down. Then s1 does not hear s2 any more: when half of its lease
                is over s1 uses it last, and when all of it is over not at all, whoever withdrew it and why.""");
    }

    static Timeline tightened() {
        Restrictions none =
                new Restrictions(null, new TreeSet<>(), true, Restrictions.MAX_PATH_LENGTH, false, false, false);
        return chain(2).at(500, p -> sells(p, "s3", Restrictions.NONE, "sells gold/eu"))
                .at(5000, p -> sells(p, "s3", none, "says: no further"))
                .until(10_000)
                .timeline(
                        """
                A restriction that comes later
                s3 says of its route that whoever has it from s3 passes it on to nobody. s2 goes on using it and passes it on no
                longer; s1 has no way as soon as it hears s2's next table.""");
    }

    static Timeline leak() {
        Map<String, Map<String, Relation>> all = Map.of(
                "s1",
                Map.of("s2", Relation.CUSTOMER),
                "s2",
                Map.of("s1", Relation.PROVIDER, "s3", Relation.PROVIDER),
                "s3",
                Map.of("s2", Relation.CUSTOMER));
        return new Scenario<>(
                        3,
                        CHAIN,
                        born -> new RoutesNode(
                                born, all.get(born.node()), born.node().equals("s2")),
                        RoutesNode.WORDS)
                .at(500, p -> sells(p, "s3", Restrictions.NONE, "sells gold/eu"))
                .until(5000)
                .timeline(
                        """
                A leak
                s2 buys of both s1 and s3, and by mistake offers s1 what it has of s3: all of it would go through the small s2. The
                route bears the mark that it went down from s3 already, so s1 takes it from no customer (RFC 9234).""");
    }
}
