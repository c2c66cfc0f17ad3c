package merlinlever.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import merlinlever.Outcome;
import merlinlever.faults.FixedFleetView;
import merlinlever.view.FleetView;
import merlinlever.view.QuorumStatus;
import net.jqwik.api.Example;

class RouteSelectorTest {

    private static final RouteSelector.RoutingClass READS =
            new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.RETRIABLE, true);
    private static final RouteSelector.RoutingClass BINDING =
            new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.BINDING, true);
    private static final Duration NOW = Duration.ofSeconds(1);

    private final RoutingTable routes = new RoutingTable(
            new RoutingPolicy("me"),
            List.of(
                    new RoutingTable.PartnerSettings("east", Relation.PEER),
                    new RoutingTable.PartnerSettings("west", Relation.PEER),
                    new RoutingTable.PartnerSettings("far", Relation.PROVIDER)),
            0,
            FlapDamping.FlapDampingSettings.PUBLISHED,
            whole(),
            line -> {});
    private final RouteSelector exits = new RouteSelector(routes, 1);

    static FleetView whole() {
        return new FixedFleetView(now -> QuorumStatus.WHOLE);
    }

    private static Route at(String site, int place, int calls, boolean binding, boolean retriableOnly) {
        return new Route(
                "t",
                "records",
                "10.0.0." + place + ":1",
                calls,
                1,
                binding,
                List.of(site),
                null,
                new Restrictions(null, new TreeSet<>(), false, 16, retriableOnly, false, false));
    }

    private long version;

    private void says(Relation relation, String site, Route... all) {
        RouteTable table = RouteTable.of(site, 1, ++version, relation, Duration.ofHours(1), List.of(all));
        routes.offer(NOW, table);
        routes.stoodBy(NOW, site, 1, table.sequence(), RouteTableWriter.digest(table), NOW, table.lease());
    }

    private static RouteSelector.RoutedCall call(RouteSelector.RoutingClass tariff, String key) {
        return new RouteSelector.RoutedCall(tariff, "records", key, Set.of(), false);
    }

    private Optional<String> place(RouteSelector.RoutedCall call) {
        return exits.way(NOW, call, LocalServiceHealth.HealthState.AWAY, false).map(RouteSelector.SelectedRoute::place);
    }

    @Example
    void staysWhileItsOwnIsGood() {
        says(Relation.PEER, "east", at("east", 1, 10, false, false));
        assertEquals(Optional.empty(), exits.way(NOW, call(READS, "k"), LocalServiceHealth.HealthState.GOOD, false));
        assertTrue(exits.way(NOW, call(READS, "k"), LocalServiceHealth.HealthState.GOOD, true)
                .isPresent());
        assertTrue(exits.way(NOW, call(READS, "k"), LocalServiceHealth.HealthState.SLOW, false)
                .isPresent());
    }

    @Example
    void bindingWorkLeavesOnlyWhereBothSaySo() {
        says(Relation.PEER, "east", at("east", 1, 10, false, false), at("east", 2, 10, false, true));
        assertEquals(Optional.empty(), place(call(BINDING, "k")));
        says(Relation.PEER, "east", at("east", 1, 10, true, false), at("east", 2, 10, true, true));
        assertEquals(Optional.of("10.0.0.1:1"), place(call(BINDING, "k")));
        assertEquals(
                Optional.empty(),
                place(call(new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.BINDING, false), "k")));
        assertEquals(
                Optional.empty(),
                place(call(new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.RETRIABLE, false), "k")));
    }

    @Example
    void whatMayHaveHadItsEffectGoesNoSecondWay() {
        says(Relation.PEER, "east", at("east", 1, 10, true, false), at("east", 2, 10, true, false));
        RouteSelector.RoutingClass fingerprinted =
                new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.FINGERPRINTED, true);
        for (RouteSelector.RoutingClass each : List.of(BINDING, fingerprinted)) {
            assertEquals(
                    Optional.empty(),
                    place(new RouteSelector.RoutedCall(each, "records", "k", Set.of("10.0.0.1:1"), true)));
            // What surely never ran may.
            assertEquals(
                    Optional.of("10.0.0.2:1"),
                    place(new RouteSelector.RoutedCall(each, "records", "k", Set.of("10.0.0.1:1"), false)));
        }
        assertEquals(
                Optional.of("10.0.0.2:1"),
                place(new RouteSelector.RoutedCall(READS, "records", "k", Set.of("10.0.0.1:1"), true)));
    }

    private Map<String, String> all(int keys) {
        Map<String, String> places = new HashMap<>();
        RouteSelector fresh = new RouteSelector(routes, 1);
        for (int i = 0; i < keys; i++) {
            places.put(
                    "key" + i,
                    fresh.way(NOW.plusSeconds(i), call(READS, "key" + i), LocalServiceHealth.HealthState.AWAY, false)
                            .orElseThrow()
                            .place());
        }
        return places;
    }

    @Example
    void spreadByCapacityAndLittleMoves() {
        says(Relation.PEER, "east", at("east", 1, 10, false, false), at("east", 2, 20, false, false));
        says(Relation.PEER, "west", at("west", 3, 30, false, false));
        Map<String, String> before = all(3000);
        for (int place = 1; place <= 3; place++) {
            String its = "10.0.0." + place + ":1";
            long count = before.values().stream().filter(its::equals).count();
            assertTrue(Math.abs(count - 500L * place) < 90, its + " has " + count);
        }
        says(Relation.PEER, "west", at("west", 3, 30, false, false), at("west", 4, 20, false, false));
        Map<String, String> after = all(3000);
        after.forEach((key, its) -> assertTrue(its.equals(before.get(key)) || its.equals("10.0.0.4:1"), key));
        says(Relation.PEER, "west", at("west", 4, 20, false, false));
        all(3000)
                .forEach((key, its) ->
                        assertTrue(after.get(key).equals("10.0.0.3:1") || its.equals(after.get(key)), key));
    }

    @Example
    void inNoSecondMoreThanARouteTakesThenTheNextBest() {
        says(Relation.PEER, "east", at("east", 1, 10, false, false));
        says(Relation.PROVIDER, "far", at("far", 5, 3, false, false));
        List<Optional<String>> went = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            went.add(place(call(READS, "k" + i)));
        }
        assertEquals(10, went.stream().filter(Optional.of("10.0.0.1:1")::equals).count());
        assertEquals(
                went.subList(10, 13),
                List.of(Optional.of("10.0.0.5:1"), Optional.of("10.0.0.5:1"), Optional.of("10.0.0.5:1")));
        assertEquals(7, went.stream().filter(Optional::isEmpty).count());
        assertEquals(13, exits.room(NOW, List.of(READS), "records"));
        // Of eight backends each has an eighth of ten, and less than one of three: one in three seconds.
        RouteSelector eighth = new RouteSelector(routes, 8);
        Map<String, Integer> counts = new HashMap<>();
        for (int ms = 0; ms < 8000; ms += 10) {
            eighth.way(NOW.plusMillis(ms), call(READS, "k"), LocalServiceHealth.HealthState.AWAY, false)
                    .ifPresent(way -> counts.merge(way.site(), 1, Integer::sum));
        }
        assertEquals(Map.of("east", 8, "far", 3), counts);
        assertEquals(1, eighth.room(NOW, List.of(READS), "records"));
    }

    @Example
    void itsOwnIsAwaySlowAndGoodAgain() {
        LocalServiceHealth own = new LocalServiceHealth(LocalServiceHealth.HealthSettings.USUAL);
        Duration quick = Duration.ofMillis(5);
        own.ended(NOW, Outcome.UNREACHABLE, quick);
        own.ended(NOW, Outcome.CONNECTION_LOST, quick);
        own.ended(NOW, Outcome.OK, quick);
        own.ended(NOW, Outcome.UNREACHABLE, quick);
        own.ended(NOW, Outcome.UNREACHABLE, quick);
        assertEquals(LocalServiceHealth.HealthState.GOOD, own.state());
        own.ended(NOW, Outcome.UNREACHABLE, quick);
        assertEquals(LocalServiceHealth.HealthState.AWAY, own.state());
        assertFalse(own.tries(NOW.plusMillis(400)));
        assertTrue(own.tries(NOW.plusMillis(500)));
        assertFalse(own.tries(NOW.plusMillis(600)));
        own.ended(NOW, Outcome.OK, quick);
        own.ended(NOW, Outcome.OK, quick);
        assertEquals(LocalServiceHealth.HealthState.AWAY, own.state());
        own.ended(NOW, Outcome.REJECTED, quick);
        assertEquals(LocalServiceHealth.HealthState.GOOD, own.state());
        for (int i = 0; i < 32; i++) {
            assertEquals(LocalServiceHealth.HealthState.GOOD, own.state());
            own.ended(NOW, i % 2 == 0 ? Outcome.OK : Outcome.TIMED_OUT, quick);
        }
        assertEquals(LocalServiceHealth.HealthState.SLOW, own.state());
    }
}
