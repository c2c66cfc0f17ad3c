package merlinlever.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class RouteMergerTest {

    static Route route(String tariff, int cost, String... path) {
        return new Route(
                tariff,
                "records",
                "10.0.0.1:700" + path.length,
                10,
                cost,
                false,
                List.of(path),
                null,
                Restrictions.NONE);
    }

    static RouteTable table(String site, long sequence, Relation relation, Route... routes) {
        return RouteTable.of(site, 1, sequence, relation, Duration.ofSeconds(10), List.of(routes));
    }

    private static Route drawn(SplittableRandom chance, String site) {
        List<String> path = new ArrayList<>(List.of(site));
        for (int more = chance.nextInt(3); more > 0; more--) {
            path.add("s" + chance.nextInt(6));
        }
        Restrictions its = chance.nextInt(3) > 0
                ? Restrictions.NONE
                : new Restrictions(
                        chance.nextBoolean() ? null : new TreeSet<>(Set.of("me", "s1")),
                        new TreeSet<>(Set.of(chance.nextInt(4) == 0 ? "me" : "s2")),
                        chance.nextBoolean(),
                        1 + chance.nextInt(4),
                        false,
                        chance.nextBoolean(),
                        chance.nextInt(9) == 0);
        return new Route(
                "t" + chance.nextInt(3),
                "records",
                "10.0.0." + chance.nextInt(3) + ":1",
                1 + chance.nextInt(50),
                chance.nextInt(3),
                false,
                path,
                chance.nextInt(4) == 0 ? "s" + chance.nextInt(6) : null,
                its);
    }

    /** Any history of tables, in any order over the partners, ends as the last tables alone put in at once. */
    @Property(tries = 300, seed = "41")
    void theResultDoesNotDependOnTheOrderOfTables(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        RouteMerger lived = new RouteMerger(new RoutingPolicy("me"));
        TreeMap<String, RouteTable> last = new TreeMap<>();
        for (int step = 0; step < 30; step++) {
            String site = "s" + chance.nextInt(6);
            List<Route> routes = new ArrayList<>();
            for (int i = chance.nextInt(6); i > 0; i--) {
                routes.add(drawn(chance, site));
            }
            Relation relation = Relation.values()[site.charAt(1) % 3];
            RouteTable table = chance.nextInt(5) == 0
                    ? null
                    : RouteTable.of(site, 1, step, relation, Duration.ofSeconds(1), routes);
            assertTrue(lived.replaceTable(site, relation, table, RouteMerger.NO_LISTENER));
            if (table == null) {
                last.remove(site);
            } else {
                last.put(site, table);
            }
        }
        RouteMerger fresh = new RouteMerger(new RoutingPolicy("me"));
        last.descendingMap()
                .forEach((site, table) -> fresh.replaceTable(
                        site, Relation.values()[site.charAt(1) % 3], table, RouteMerger.NO_LISTENER));
        assertEquals(fresh.describe(), lived.describe());
        assertEquals(
                last.values().stream().mapToInt(each -> each.routes().size()).sum(), lived.routeCount());
        for (String key : lived.keys()) {
            for (RouteMerger.Candidate each : lived.candidates(key)) {
                assertFalse(each.route().path().contains("me"));
                assertTrue(each.route().restrictions().allows("me"));
            }
        }
    }

    @Example
    void customersComeBeforePeersBeforeProvidersThenShortThenCheap() {
        RouteMerger merge = new RouteMerger(new RoutingPolicy("me"));
        merge.replaceTable(
                "pro",
                Relation.PROVIDER,
                table("pro", 1, Relation.PROVIDER, route("t", 0, "pro")),
                RouteMerger.NO_LISTENER);
        merge.replaceTable(
                "peer", Relation.PEER, table("peer", 1, Relation.PEER, route("t", 9, "peer")), RouteMerger.NO_LISTENER);
        merge.replaceTable(
                "cus",
                Relation.CUSTOMER,
                table("cus", 1, Relation.CUSTOMER, route("t", 5, "cus", "x"), route("t", 7, "cus")),
                RouteMerger.NO_LISTENER);
        assertEquals(
                List.of(7, 5, 9, 0),
                merge.candidates("t/records").stream()
                        .map(each -> each.route().cost())
                        .toList());
    }

    @Example
    void tenThousandWithdrawnAtOnceLeaveNothing() {
        List<Route> many = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            many.add(route("t" + i, 1, "east"));
        }
        int[] withdrawn = new int[1];
        RouteMerger merge = new RouteMerger(new RoutingPolicy("me"));
        merge.replaceTable(
                "west",
                Relation.PEER,
                table("west", 1, Relation.PEER, route("t7", 3, "west")),
                RouteMerger.NO_LISTENER);
        String before = merge.describe();
        merge.replaceTable(
                "east",
                Relation.PEER,
                RouteTable.of("east", 1, 1, Relation.PEER, Duration.ofSeconds(1), many),
                RouteMerger.NO_LISTENER);
        assertEquals(10_000, merge.keys().size());
        merge.replaceTable("east", Relation.PEER, table("east", 2, Relation.PEER), new RouteMerger.RouteListener() {
            @Override
            public void onRejected(Route route, String rule) {}

            @Override
            public void onWithdrawn(Route route) {
                withdrawn[0]++;
            }

            @Override
            public void onChanged(Route route) {}
        });
        assertEquals(10_000, withdrawn[0]);
        assertEquals(before, merge.describe());
    }

    @Example
    void aTableBeyondTheBoundIsRejected() {
        RouteMerger merge = new RouteMerger(new RoutingPolicy("me"));
        List<Route> many = new ArrayList<>();
        for (int i = 0; i < RouteTable.MAX_ROUTES; i++) {
            many.add(route("t" + i, 1, "x"));
        }
        for (int i = 0; i < 8; i++) {
            assertTrue(merge.replaceTable(
                    "p" + i,
                    Relation.PEER,
                    RouteTable.of("p" + i, 1, 1, Relation.PEER, Duration.ofSeconds(1), many),
                    RouteMerger.NO_LISTENER));
        }
        assertFalse(merge.replaceTable(
                "late",
                Relation.PEER,
                table("late", 1, Relation.PEER, route("t", 1, "late")),
                RouteMerger.NO_LISTENER));
        assertEquals(RouteMerger.MAX_ROUTES, merge.routeCount());
    }
}
