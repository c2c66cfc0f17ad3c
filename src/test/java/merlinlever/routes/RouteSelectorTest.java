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
            new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.IDEMPOTENT, true);
    private static final RouteSelector.RoutingClass BINDING =
            new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.NON_IDEMPOTENT, true);
    private static final Duration NOW = Duration.ofSeconds(1);

    private final RoutingTable routes = new RoutingTable(
            new RoutingPolicy("me"),
            List.of(
                    new RoutingTable.PartnerSettings("east", Relation.PEER),
                    new RoutingTable.PartnerSettings("west", Relation.PEER),
                    new RoutingTable.PartnerSettings("far", Relation.PROVIDER)),
            0,
            FlapDamping.FlapDampingSettings.RECOMMENDED,
            whole(),
            line -> {});
    private final RouteSelector exits = new RouteSelector(routes, 1);

    static FleetView whole() {
        return new FixedFleetView(now -> QuorumStatus.FULL);
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
        routes.renew(
                NOW,
                new RoutingTable.Renewal(
                        site, 1, table.sequence(), RouteTableWriter.digest(table), NOW, table.lease()));
    }

    private static RouteSelector.RoutedCall call(RouteSelector.RoutingClass tariff, String key) {
        return new RouteSelector.RoutedCall(tariff, "records", key, Set.of(), false);
    }

    private Optional<String> place(RouteSelector.RoutedCall call) {
        return exits.selectRoute(NOW, call, LocalServiceHealth.HealthState.UNREACHABLE, false)
                .map(RouteSelector.SelectedRoute::address);
    }

    @Example
    void aCallStaysWhileTheLocalServiceIsHealthy() {
        says(Relation.PEER, "east", at("east", 1, 10, false, false));
        assertEquals(
                Optional.empty(),
                exits.selectRoute(NOW, call(READS, "k"), LocalServiceHealth.HealthState.HEALTHY, false));
        assertTrue(exits.selectRoute(NOW, call(READS, "k"), LocalServiceHealth.HealthState.HEALTHY, true)
                .isPresent());
        assertTrue(exits.selectRoute(NOW, call(READS, "k"), LocalServiceHealth.HealthState.SLOW, false)
                .isPresent());
    }

    @Example
    void nonIdempotentCallsLeaveOnlyWhereClassAndRouteAllowIt() {
        says(Relation.PEER, "east", at("east", 1, 10, false, false), at("east", 2, 10, false, true));
        assertEquals(Optional.empty(), place(call(BINDING, "k")));
        says(Relation.PEER, "east", at("east", 1, 10, true, false), at("east", 2, 10, true, true));
        assertEquals(Optional.of("10.0.0.1:1"), place(call(BINDING, "k")));
        assertEquals(
                Optional.empty(),
                place(call(new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.NON_IDEMPOTENT, false), "k")));
        assertEquals(
                Optional.empty(),
                place(call(new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.IDEMPOTENT, false), "k")));
    }

    @Example
    void aCallThatMayHaveTakenEffectIsSentAgainOnlyIfIdempotent() {
        says(Relation.PEER, "east", at("east", 1, 10, true, false), at("east", 2, 10, true, false));
        RouteSelector.RoutingClass fingerprinted =
                new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.IDEMPOTENT_BY_KEY, true);
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
                    fresh.selectRoute(
                                    NOW.plusSeconds(i),
                                    call(READS, "key" + i),
                                    LocalServiceHealth.HealthState.UNREACHABLE,
                                    false)
                            .orElseThrow()
                            .address());
        }
        return places;
    }

    @Example
    void keysAreSpreadByCapacityAndFewMoveWithAChange() {
        says(Relation.PEER, "east", at("east", 1, 10, false, false), at("east", 2, 20, false, false));
        says(Relation.PEER, "west", at("west", 3, 30, false, false));
        Map<String, String> before = all(3000);
        for (int place = 1; place <= 3; place++) {
            String its = "10.0.0." + place + ":1";
            long count = before.values().stream().filter(its::equals).count();
            assertTrue(Math.abs(count - 500 * place) < 90, its + " has " + count);
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
    void aRouteTakesNoMoreThanItsRateAndTheNextBestTheRest() {
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
        assertEquals(13, exits.callsPerSecond(NOW, List.of(READS), "records"));
        // Of eight backends each has an eighth of ten, and less than one of three: one in three seconds.
        RouteSelector eighth = new RouteSelector(routes, 8);
        Map<String, Integer> counts = new HashMap<>();
        for (int ms = 0; ms < 8000; ms += 10) {
            eighth.selectRoute(NOW.plusMillis(ms), call(READS, "k"), LocalServiceHealth.HealthState.UNREACHABLE, false)
                    .ifPresent(way -> counts.merge(way.site(), 1, Integer::sum));
        }
        assertEquals(Map.of("east", 8, "far", 3), counts);
        assertEquals(1, eighth.callsPerSecond(NOW, List.of(READS), "records"));
    }

    @Example
    void theLocalServiceBecomesUnreachableSlowAndHealthyAgain() {
        LocalServiceHealth own = new LocalServiceHealth(LocalServiceHealth.HealthSettings.DEFAULTS);
        Duration quick = Duration.ofMillis(5);
        own.recordOutcome(NOW, Outcome.UNREACHABLE, quick);
        own.recordOutcome(NOW, Outcome.CUT_OFF, quick);
        own.recordOutcome(NOW, Outcome.OK, quick);
        own.recordOutcome(NOW, Outcome.UNREACHABLE, quick);
        own.recordOutcome(NOW, Outcome.UNREACHABLE, quick);
        assertEquals(LocalServiceHealth.HealthState.HEALTHY, own.state());
        own.recordOutcome(NOW, Outcome.UNREACHABLE, quick);
        assertEquals(LocalServiceHealth.HealthState.UNREACHABLE, own.state());
        assertFalse(own.shouldProbe(NOW.plusMillis(400)));
        assertTrue(own.shouldProbe(NOW.plusMillis(500)));
        assertFalse(own.shouldProbe(NOW.plusMillis(600)));
        own.recordOutcome(NOW, Outcome.OK, quick);
        own.recordOutcome(NOW, Outcome.OK, quick);
        assertEquals(LocalServiceHealth.HealthState.UNREACHABLE, own.state());
        own.recordOutcome(NOW, Outcome.TURNED_AWAY, quick);
        assertEquals(LocalServiceHealth.HealthState.HEALTHY, own.state());
        for (int i = 0; i < 32; i++) {
            assertEquals(LocalServiceHealth.HealthState.HEALTHY, own.state());
            own.recordOutcome(NOW, i % 2 == 0 ? Outcome.OK : Outcome.GIVEN_UP, quick);
        }
        assertEquals(LocalServiceHealth.HealthState.SLOW, own.state());
    }
}
