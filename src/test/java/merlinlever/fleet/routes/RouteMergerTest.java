package merlinlever.fleet.routes;

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
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RouteMergerTest {

    static Route route(String priorityClass, int cost, String... path) {
        return new Route(
                priorityClass,
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

    private static Route randomRoute(SplittableRandom random, String site) {
        List<String> path = new ArrayList<>(List.of(site));
        for (int extraSites = random.nextInt(3); extraSites > 0; extraSites--) {
            path.add("s" + random.nextInt(6));
        }
        Restrictions restrictions = random.nextInt(3) > 0
                ? Restrictions.NONE
                : new Restrictions(
                        random.nextBoolean() ? null : new TreeSet<>(Set.of("me", "s1")),
                        new TreeSet<>(Set.of(random.nextInt(4) == 0 ? "me" : "s2")),
                        random.nextBoolean(),
                        1 + random.nextInt(4),
                        false,
                        random.nextBoolean(),
                        random.nextInt(9) == 0);
        return new Route(
                "t" + random.nextInt(3),
                "records",
                "10.0.0." + random.nextInt(3) + ":1",
                1 + random.nextInt(50),
                random.nextInt(3),
                false,
                path,
                random.nextInt(4) == 0 ? "s" + random.nextInt(6) : null,
                restrictions);
    }

    /**
     * Compares a merger after a random history of tables with a new merger that only got the last table of each
     * partner.
     */
    @Property(tries = 300, seed = "41")
    void theResultDoesNotDependOnTheOrderOfTables(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RouteMerger updatedMerger = new RouteMerger(new RoutingPolicy("me"));
        TreeMap<String, RouteTable> lastTables = new TreeMap<>();
        for (int step = 0; step < 30; step++) {
            String site = "s" + random.nextInt(6);
            List<Route> routes = new ArrayList<>();
            for (int i = random.nextInt(6); i > 0; i--) {
                routes.add(randomRoute(random, site));
            }
            Relation relation = Relation.values()[site.charAt(1) % 3];
            RouteTable table = random.nextInt(5) == 0
                    ? null
                    : RouteTable.of(site, 1, step, relation, Duration.ofSeconds(1), routes);
            assertTrue(updatedMerger.replaceTable(site, relation, table, RouteMerger.NO_LISTENER));
            if (table == null) {
                lastTables.remove(site);
            } else {
                lastTables.put(site, table);
            }
        }
        RouteMerger newMerger = new RouteMerger(new RoutingPolicy("me"));
        lastTables
                .descendingMap()
                .forEach((site, table) -> newMerger.replaceTable(
                        site, Relation.values()[site.charAt(1) % 3], table, RouteMerger.NO_LISTENER));
        assertEquals(newMerger.describe(), updatedMerger.describe());
        assertEquals(
                lastTables.values().stream()
                        .mapToInt(candidate -> candidate.routes().size())
                        .sum(),
                updatedMerger.routeCount());
        for (String key : updatedMerger.keys()) {
            for (RouteMerger.Candidate candidate : updatedMerger.candidates(key)) {
                assertFalse(candidate.route().path().contains("me"));
                assertTrue(candidate.route().restrictions().allows("me"));
            }
        }
    }

    @Test
    void candidatesAreOrderedByRelationThenPathLengthThenCost() {
        RouteMerger merger = new RouteMerger(new RoutingPolicy("me"));
        merger.replaceTable(
                "pro",
                Relation.PROVIDER,
                table("pro", 1, Relation.PROVIDER, route("t", 0, "pro")),
                RouteMerger.NO_LISTENER);
        merger.replaceTable(
                "peer", Relation.PEER, table("peer", 1, Relation.PEER, route("t", 9, "peer")), RouteMerger.NO_LISTENER);
        merger.replaceTable(
                "cus",
                Relation.CUSTOMER,
                table("cus", 1, Relation.CUSTOMER, route("t", 5, "cus", "x"), route("t", 7, "cus")),
                RouteMerger.NO_LISTENER);
        assertEquals(
                List.of(7, 5, 9, 0),
                merger.candidates("t/records").stream()
                        .map(candidate -> candidate.route().cost())
                        .toList());
    }

    @Test
    void withdrawingTenThousandRoutesRestoresThePreviousCandidates() {
        List<Route> manyRoutes = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            manyRoutes.add(route("t" + i, 1, "east"));
        }
        int[] withdrawn = new int[1];
        RouteMerger merger = new RouteMerger(new RoutingPolicy("me"));
        merger.replaceTable(
                "west",
                Relation.PEER,
                table("west", 1, Relation.PEER, route("t7", 3, "west")),
                RouteMerger.NO_LISTENER);
        String before = merger.describe();
        merger.replaceTable(
                "east",
                Relation.PEER,
                RouteTable.of("east", 1, 1, Relation.PEER, Duration.ofSeconds(1), manyRoutes),
                RouteMerger.NO_LISTENER);
        assertEquals(10_000, merger.keys().size());
        merger.replaceTable("east", Relation.PEER, table("east", 2, Relation.PEER), new RouteMerger.RouteListener() {
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
        assertEquals(before, merger.describe());
    }

    @Test
    void aTableAboveTheRouteLimitIsRejected() {
        RouteMerger merger = new RouteMerger(new RoutingPolicy("me"));
        List<Route> manyRoutes = new ArrayList<>();
        for (int i = 0; i < RouteTable.MAX_ROUTES; i++) {
            manyRoutes.add(route("t" + i, 1, "x"));
        }
        for (int i = 0; i < 8; i++) {
            assertTrue(merger.replaceTable(
                    "p" + i,
                    Relation.PEER,
                    RouteTable.of("p" + i, 1, 1, Relation.PEER, Duration.ofSeconds(1), manyRoutes),
                    RouteMerger.NO_LISTENER));
        }
        assertFalse(merger.replaceTable(
                "late",
                Relation.PEER,
                table("late", 1, Relation.PEER, route("t", 1, "late")),
                RouteMerger.NO_LISTENER));
        assertEquals(RouteMerger.MAX_ROUTES, merger.routeCount());
    }
}
