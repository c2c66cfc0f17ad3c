package merlinlever.fleet.routes;

import static merlinlever.fleet.routes.RouteMergerTest.route;
import static merlinlever.fleet.routes.RouteMergerTest.table;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import merlinlever.fleet.view.QuorumStatus;
import merlinlever.testing.faults.timeline.FixedFleetView;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests which routes of a partner are used, and for how long. */
class RoutingTableTest {

    private final List<String> logLines = new ArrayList<>();
    private QuorumStatus quorumStatus = QuorumStatus.FULL;
    private final RoutingTable routes = newTable();

    private RoutingTable newTable() {
        return new RoutingTable(
                new RoutingPolicy("me"),
                List.of(
                        new RoutingTable.PartnerSettings("east", Relation.PEER),
                        new RoutingTable.PartnerSettings("west", Relation.PEER)),
                0.01,
                FlapDamping.FlapDampingSettings.RECOMMENDED,
                new FixedFleetView(now -> quorumStatus),
                event -> logLines.add(event.text()));
    }

    private static Duration seconds(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    private void publishAndConfirm(double at, RouteTable table) {
        routes.offer(seconds(at), table);
        routes.renew(
                seconds(at),
                new RoutingTable.Renewal(
                        "east",
                        table.incarnation(),
                        table.sequence(),
                        RouteTableWriter.digest(table),
                        seconds(at),
                        table.lease()));
    }

    private List<Integer> costs(double at) {
        routes.tick(seconds(at));
        return routes.candidates(seconds(at), "t/records").stream()
                .map(candidate -> candidate.route().cost())
                .toList();
    }

    private static RouteTable eastTable(long sequence, Route... published) {
        return table("east", sequence, Relation.PEER, published);
    }

    private static Route restricted(Route route) {
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

    @Test
    void aTableIsUsedOnlyWhileItsLeaseIsValid() {
        routes.offer(seconds(0), eastTable(1, route("t", 1, "east")));
        assertEquals(List.of(), costs(0.1), "a table without a confirmation has no lease");
        publishAndConfirm(0.2, eastTable(1, route("t", 1, "east")));
        assertFalse(routes.isStale(seconds(5), "east"));
        assertTrue(routes.isStale(seconds(5.3), "east"));
        assertEquals(List.of(1), costs(10.0));
        // The lease is shortened by the maximum clock drift of 1%.
        assertEquals(List.of(), costs(10.11));
    }

    @Test
    void routesOfStaleTablesAreUsedLast() {
        publishAndConfirm(0, eastTable(1, route("t", 1, "east")));
        RouteTable west = table("west", 1, Relation.PEER, route("t", 9, "west"));
        routes.offer(seconds(4), west);
        routes.renew(
                seconds(4),
                new RoutingTable.Renewal("west", 1, 1, RouteTableWriter.digest(west), seconds(4), west.lease()));
        assertEquals(List.of(1, 9), costs(4));
        assertEquals(List.of(9, 1), costs(6));
        assertEquals(List.of(9), costs(11));
    }

    @Test
    void delayedDuplicateOrOldTablesPermitNoNewRoutes() {
        RouteTable first = eastTable(1, route("t", 1, "east"));
        RouteTable second = eastTable(2, restricted(route("t", 1, "east")));
        publishAndConfirm(0, first);
        publishAndConfirm(1, second);
        assertEquals(List.of(), costs(1));
        publishAndConfirm(2, first);
        assertEquals(List.of(), costs(2));
        assertEquals(
                1,
                logLines.stream()
                        .filter(line -> line.contains("reason=older-version"))
                        .count());
        // A renewal for another version or digest does not renew the lease.
        assertFalse(routes.renew(
                seconds(3),
                new RoutingTable.Renewal("east", 1, 1, RouteTableWriter.digest(first), seconds(3), seconds(10))));
        assertFalse(routes.renew(
                seconds(3),
                new RoutingTable.Renewal("east", 1, 2, RouteTableWriter.digest(first), seconds(3), seconds(10))));
    }

    /**
     * If two tables have the same version, neither must be adopted, regardless of their order. The previous table
     * must be used until its lease expires, and the conflict must be logged.
     */
    @Test
    void twoTablesWithTheSameVersionConflict() {
        RouteTable first = eastTable(2, route("t", 1, "east"), route("t", 2, "east", "x"));
        RouteTable second = eastTable(2, route("t", 1, "east"), route("t", 3, "east", "y", "z"));
        for (List<RouteTable> tables : List.of(List.of(first, second), List.of(second, first))) {
            RoutingTable routingTable = newTable();
            RouteTable before = eastTable(1, route("t", 1, "east"));
            routingTable.offer(seconds(0), before);
            routingTable.renew(
                    seconds(0),
                    new RoutingTable.Renewal("east", 1, 1, RouteTableWriter.digest(before), seconds(0), seconds(10)));
            tables.forEach(table -> {
                routingTable.offer(seconds(1), table);
                routingTable.renew(
                        seconds(4),
                        new RoutingTable.Renewal(
                                "east", 1, 2, RouteTableWriter.digest(table), seconds(4), seconds(10)));
            });
            tables.forEach(table -> routingTable.renew(
                    seconds(5),
                    new RoutingTable.Renewal("east", 1, 2, RouteTableWriter.digest(table), seconds(5), seconds(10))));
            routingTable.tick(seconds(9));
            assertEquals(
                    List.of(1),
                    routingTable.candidates(seconds(9), "t/records").stream()
                            .map(candidate -> candidate.route().cost())
                            .toList());
            routingTable.tick(seconds(10));
            assertEquals(List.of(), routingTable.candidates(seconds(10), "t/records"));
            assertTrue(routingTable.isConflicting("east"));
            assertEquals(Duration.ZERO, routingTable.lease(seconds(9), "east").remaining());
        }
        assertEquals(
                2,
                logLines.stream()
                        .filter(line -> line.startsWith("route-table-conflict"))
                        .count());
    }

    /**
     * Tighter restrictions and withdrawals must be adopted at once; new routes and looser restrictions need a quorum.
     */
    @Test
    void withoutQuorumOnlyRestrictionsAreAdopted() {
        publishAndConfirm(
                0,
                eastTable(
                        1,
                        route("t", 1, "east"),
                        restricted(route("t", 2, "east", "x")),
                        route("t", 3, "east", "x", "y")));
        assertEquals(List.of(1, 3), costs(0));
        quorumStatus = QuorumStatus.MINORITY;
        publishAndConfirm(
                1,
                eastTable(
                        2,
                        restricted(route("t", 1, "east")),
                        route("t", 2, "east", "x"),
                        route("t", 3, "east", "x", "y"),
                        route("t", 4, "east", "x", "y", "z")));
        assertEquals(List.of(3), costs(1));
        publishAndConfirm(
                2,
                eastTable(3, route("t", 1, "east"), route("t", 2, "east", "x"), route("t", 4, "east", "x", "y", "z")));
        assertEquals(List.of(), costs(2));
        quorumStatus = QuorumStatus.MAJORITY;
        assertEquals(List.of(1, 2, 4), costs(3));
        quorumStatus = QuorumStatus.RECOVERING;
        assertEquals(List.of(), costs(3));
    }

    /**
     * For random sequences of tables, each candidate must be permitted by a table that was published within the last
     * lease.
     */
    @Property(tries = 300, seed = "43")
    void neverAllowsMoreThanWasPublishedWithinALease(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RoutingTable routes = newTable();
        List<RouteTable> published = new ArrayList<>();
        List<Double> publishedAt = new ArrayList<>();
        for (int step = 0; step < 60; step++) {
            double now = step * 0.7;
            if (random.nextInt(3) == 0 || published.isEmpty()) {
                Route latest = route("t", published.size(), "east");
                published.add(
                        random.nextInt(4) == 0
                                ? eastTable(published.size() + 1)
                                : eastTable(published.size() + 1, random.nextBoolean() ? latest : restricted(latest)));
                publishedAt.add(now);
            }
            quorumStatus = QuorumStatus.values()[random.nextInt(5)];
            int index = random.nextInt(published.size());
            routes.offer(seconds(now), published.get(index));
            if (random.nextInt(3) == 0) {
                // The partner confirms only its last table.
                RouteTable last = published.get(published.size() - 1);
                routes.renew(
                        seconds(now),
                        new RoutingTable.Renewal(
                                "east", 1, last.sequence(), RouteTableWriter.digest(last), seconds(now), last.lease()));
            }
            routes.tick(seconds(now));
            for (RouteMerger.Candidate candidate : routes.candidates(seconds(now), "t/records")) {
                int cost = candidate.route().cost();
                // The cost is the index of the table. The table must have been the latest one within the last 10 s.
                double replacedAt = cost + 1 < publishedAt.size() ? publishedAt.get(cost + 1) : now;
                assertTrue(now - replacedAt <= 10, cost + " at " + now);
                assertTrue(published
                        .get(cost)
                        .routes()
                        .values()
                        .iterator()
                        .next()
                        .restrictions()
                        .allows("me"));
            }
        }
    }

    @Test
    void flappingRoutesAreSuppressedForAtMostAnHour() {
        FlapDamping damping = new FlapDamping(FlapDamping.FlapDampingSettings.RECOMMENDED);
        for (int i = 0; i < 5; i++) {
            damping.recordWithdrawal(seconds(i), "r");
        }
        assertFalse(damping.isSuppressed(seconds(5), "r"));
        damping.recordWithdrawal(seconds(5), "r");
        damping.recordWithdrawal(seconds(6), "r");
        assertTrue(damping.isSuppressed(seconds(6), "r"));
        // The decay from below 7,000 to 750 takes slightly more than three half-lives.
        assertTrue(damping.isSuppressed(seconds(6 + 3 * 900), "r"));
        assertFalse(damping.isSuppressed(seconds(6 + 3.3 * 900), "r"));
        for (int i = 0; i < 100; i++) {
            damping.recordWithdrawal(seconds(10_000), "r");
        }
        assertFalse(
                damping.isSuppressed(seconds(10_000 + 3601), "r"),
                "a route must not be suppressed for more than an hour");
        for (int i = 0; i < FlapDamping.MAX_ROUTES + 100; i++) {
            damping.recordChange(seconds(20_000), "r" + i);
        }
        assertEquals(FlapDamping.MAX_ROUTES, damping.size());
    }

    @Test
    void aFlappingRouteIsNotACandidate() {
        for (int i = 1; i < 16; i++) {
            publishAndConfirm(
                    i,
                    i % 2 == 1
                            ? eastTable(i, route("t", 1, "east"), route("t", 2, "east", "x"))
                            : eastTable(i, route("t", 2, "east", "x")));
        }
        assertEquals(List.of(2), costs(15));
    }
}
