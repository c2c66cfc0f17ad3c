package merlinlever.routes;

import static merlinlever.routes.RouteMergerTest.route;
import static merlinlever.routes.RouteMergerTest.table;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import merlinlever.faults.FixedFleetView;
import merlinlever.view.QuorumStatus;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** What holds of a partner's word, and for how long. */
class RoutingTableTest {

    private final List<String> told = new ArrayList<>();
    private QuorumStatus standing = QuorumStatus.FULL;
    private final RoutingTable routes = fresh();

    private RoutingTable fresh() {
        return new RoutingTable(
                new RoutingPolicy("me"),
                List.of(
                        new RoutingTable.PartnerSettings("east", Relation.PEER),
                        new RoutingTable.PartnerSettings("west", Relation.PEER)),
                0.01,
                FlapDamping.FlapDampingSettings.RECOMMENDED,
                new FixedFleetView(now -> standing),
                told::add);
    }

    private static Duration s(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    private void says(double at, RouteTable table) {
        routes.offer(s(at), table);
        routes.renew(
                s(at),
                new RoutingTable.Renewal(
                        "east",
                        table.incarnation(),
                        table.sequence(),
                        RouteTableWriter.digest(table),
                        s(at),
                        table.lease()));
    }

    private List<Integer> costs(double at) {
        routes.tick(s(at));
        return routes.candidates(s(at), "t/records").stream()
                .map(each -> each.route().cost())
                .toList();
    }

    private static RouteTable of(long sequence, Route... all) {
        return table("east", sequence, Relation.PEER, all);
    }

    private static Route tight(Route route) {
        return new Route(
                route.priorityClass(),
                route.group(),
                route.address(),
                route.callsPerSecond(),
                route.cost(),
                route.allowsNonIdempotent(),
                route.path(),
                null,
                new Restrictions(new TreeSet<>(List.of("other")), new TreeSet<>(), false, 16, false, false, false));
    }

    @Example
    void aTableIsUsedOnlyWhileItsLeaseIsValid() {
        routes.offer(s(0), of(1, route("t", 1, "east")));
        assertEquals(List.of(), costs(0.1), "nobody knows yet whether it stands by it");
        says(0.2, of(1, route("t", 1, "east")));
        assertFalse(routes.isStale(s(5), "east"));
        assertTrue(routes.isStale(s(5.3), "east"));
        assertEquals(List.of(1), costs(10.0));
        // A hundredth sooner, as this clock may be slow.
        assertEquals(List.of(), costs(10.11));
    }

    @Example
    void staleRoutesAreUsedLast() {
        says(0, of(1, route("t", 1, "east")));
        RouteTable west = table("west", 1, Relation.PEER, route("t", 9, "west"));
        routes.offer(s(4), west);
        routes.renew(s(4), new RoutingTable.Renewal("west", 1, 1, RouteTableWriter.digest(west), s(4), west.lease()));
        assertEquals(List.of(1, 9), costs(4));
        assertEquals(List.of(9, 1), costs(6));
        assertEquals(List.of(9), costs(11));
    }

    @Example
    void lateDuplicateAndOldTablesWidenNothing() {
        RouteTable first = of(1, route("t", 1, "east")), second = of(2, tight(route("t", 1, "east")));
        says(0, first);
        says(1, second);
        assertEquals(List.of(), costs(1));
        says(2, first);
        assertEquals(List.of(), costs(2));
        assertEquals(
                1,
                told.stream()
                        .filter(line -> line.contains("reason=older-version"))
                        .count());
        // Nor does its lease go on where the word is of another version.
        assertFalse(routes.renew(
                s(3), new RoutingTable.Renewal("east", 1, 1, RouteTableWriter.digest(first), s(3), s(10))));
        assertFalse(routes.renew(
                s(3), new RoutingTable.Renewal("east", 1, 2, RouteTableWriter.digest(first), s(3), s(10))));
    }

    /** Of one version there are two: the one before runs out, in no order is either taken, and it is told. */
    @Example
    void twoTablesUnderOneVersionConflict() {
        RouteTable one = of(2, route("t", 1, "east"), route("t", 2, "east", "x")),
                other = of(2, route("t", 1, "east"), route("t", 3, "east", "y", "z"));
        for (List<RouteTable> order : List.of(List.of(one, other), List.of(other, one))) {
            RoutingTable each = fresh();
            RouteTable before = of(1, route("t", 1, "east"));
            each.offer(s(0), before);
            each.renew(s(0), new RoutingTable.Renewal("east", 1, 1, RouteTableWriter.digest(before), s(0), s(10)));
            order.forEach(table -> {
                each.offer(s(1), table);
                each.renew(s(4), new RoutingTable.Renewal("east", 1, 2, RouteTableWriter.digest(table), s(4), s(10)));
            });
            order.forEach(table -> each.renew(
                    s(5), new RoutingTable.Renewal("east", 1, 2, RouteTableWriter.digest(table), s(5), s(10))));
            each.tick(s(9));
            assertEquals(
                    List.of(1),
                    each.candidates(s(9), "t/records").stream()
                            .map(way -> way.route().cost())
                            .toList());
            each.tick(s(10));
            assertEquals(List.of(), each.candidates(s(10), "t/records"));
            assertTrue(each.isConflicting("east"));
            assertEquals(Duration.ZERO, each.lease(s(9), "east").remaining());
        }
        assertEquals(
                2,
                told.stream()
                        .filter(line -> line.startsWith("route-table-conflict"))
                        .count());
    }

    /** Cut off: a tightening and a withdrawal are taken, a new route and a looser one wait until enough are heard again. */
    @Example
    void withoutQuorumOnlyRestrictionsAreAdopted() {
        says(0, of(1, route("t", 1, "east"), tight(route("t", 2, "east", "x")), route("t", 3, "east", "x", "y")));
        assertEquals(List.of(1, 3), costs(0));
        standing = QuorumStatus.MINORITY;
        says(
                1,
                of(
                        2,
                        tight(route("t", 1, "east")),
                        route("t", 2, "east", "x"),
                        route("t", 3, "east", "x", "y"),
                        route("t", 4, "east", "x", "y", "z")));
        assertEquals(List.of(3), costs(1));
        says(2, of(3, route("t", 1, "east"), route("t", 2, "east", "x"), route("t", 4, "east", "x", "y", "z")));
        assertEquals(List.of(), costs(2));
        standing = QuorumStatus.MAJORITY;
        assertEquals(List.of(1, 2, 4), costs(3));
        standing = QuorumStatus.RECOVERING;
        assertEquals(List.of(), costs(3));
    }

    /** Any words in any order: what is used allows no more than one that was said at most a lease before. */
    @Property(tries = 300, seed = "43")
    void neverAllowsMoreThanWasPublishedWithinALease(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        RoutingTable routes = fresh();
        List<RouteTable> said = new ArrayList<>();
        List<Double> at = new ArrayList<>();
        for (int step = 0; step < 60; step++) {
            double now = step * 0.7;
            if (chance.nextInt(3) == 0 || said.isEmpty()) {
                Route its = route("t", said.size(), "east");
                said.add(
                        chance.nextInt(4) == 0
                                ? of(said.size() + 1)
                                : of(said.size() + 1, chance.nextBoolean() ? its : tight(its)));
                at.add(now);
            }
            standing = QuorumStatus.values()[chance.nextInt(5)];
            int which = chance.nextInt(said.size());
            routes.offer(s(now), said.get(which));
            if (chance.nextInt(3) == 0) {
                // It stands by the last alone; who hears of it counts from when it asked.
                RouteTable last = said.get(said.size() - 1);
                routes.renew(
                        s(now),
                        new RoutingTable.Renewal(
                                "east", 1, last.sequence(), RouteTableWriter.digest(last), s(now), last.lease()));
            }
            routes.tick(s(now));
            for (RouteMerger.Candidate each : routes.candidates(s(now), "t/records")) {
                int cost = each.route().cost();
                // The latest version that it may come from was the last one at some moment of the lease before.
                double until = cost + 1 < at.size() ? at.get(cost + 1) : now;
                assertTrue(now - until <= 10, cost + " at " + now);
                assertTrue(said.get(cost)
                        .routes()
                        .values()
                        .iterator()
                        .next()
                        .restrictions()
                        .allows("me"));
            }
        }
    }

    @Example
    void flappingRoutesAreSuppressedAsRecommended() {
        FlapDamping damping = new FlapDamping(FlapDamping.FlapDampingSettings.RECOMMENDED);
        for (int i = 0; i < 5; i++) {
            damping.recordWithdrawal(s(i), "r");
        }
        assertFalse(damping.isSuppressed(s(5), "r"));
        damping.recordWithdrawal(s(5), "r");
        damping.recordWithdrawal(s(6), "r");
        assertTrue(damping.isSuppressed(s(6), "r"));
        // From under 7,000 to 750 it is a little over three half lives.
        assertTrue(damping.isSuppressed(s(6 + 3 * 900), "r"));
        assertFalse(damping.isSuppressed(s(6 + 3.3 * 900), "r"));
        for (int i = 0; i < 100; i++) {
            damping.recordWithdrawal(s(10_000), "r");
        }
        assertFalse(damping.isSuppressed(s(10_000 + 3601), "r"), "never for more than an hour");
        for (int i = 0; i < FlapDamping.MAX_ROUTES + 100; i++) {
            damping.recordChange(s(20_000), "r" + i);
        }
        assertEquals(FlapDamping.MAX_ROUTES, damping.size());
    }

    @Example
    void aFlappingRouteIsNoCandidate() {
        for (int i = 1; i < 16; i++) {
            says(
                    i,
                    i % 2 == 1
                            ? of(i, route("t", 1, "east"), route("t", 2, "east", "x"))
                            : of(i, route("t", 2, "east", "x")));
        }
        assertEquals(List.of(2), costs(15));
    }
}
