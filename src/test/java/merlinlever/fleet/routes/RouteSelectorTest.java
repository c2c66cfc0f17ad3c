package merlinlever.fleet.routes;

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
import merlinlever.controller.Outcome;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.QuorumStatus;
import merlinlever.testing.faults.timeline.FixedFleetView;
import org.junit.jupiter.api.Test;

class RouteSelectorTest {

    private static final RouteSelector.RoutingClass READS =
            new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.IDEMPOTENT, true);
    private static final RouteSelector.RoutingClass NON_IDEMPOTENT =
            new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.NON_IDEMPOTENT, true);
    private static final Duration NOW = Duration.ofSeconds(1);

    private final RoutingTable routingTable = new RoutingTable(
            new RoutingPolicy("me"),
            List.of(
                    new RoutingTable.PartnerSettings("east", Relation.PEER),
                    new RoutingTable.PartnerSettings("west", Relation.PEER),
                    new RoutingTable.PartnerSettings("far", Relation.PROVIDER)),
            0,
            FlapDamping.FlapDampingSettings.RECOMMENDED,
            fullQuorum(),
            line -> {});
    private final RouteSelector selector = new RouteSelector(routingTable, 1);

    static FleetView fullQuorum() {
        return new FixedFleetView(now -> QuorumStatus.FULL);
    }

    private static Route route(String site, int host, int calls, boolean allowsNonIdempotent, boolean idempotentOnly) {
        return new Route(
                "t",
                "records",
                "10.0.0." + host + ":1",
                calls,
                1,
                allowsNonIdempotent,
                List.of(site),
                null,
                new Restrictions(null, new TreeSet<>(), false, 16, idempotentOnly, false, false));
    }

    private long version;

    private void publish(Relation relation, String site, Route... published) {
        RouteTable table = RouteTable.of(site, 1, ++version, relation, Duration.ofHours(1), List.of(published));
        routingTable.offer(NOW, table);
        routingTable.renew(
                NOW,
                new RoutingTable.Renewal(
                        site, 1, table.sequence(), RouteTableWriter.digest(table), NOW, table.lease()));
    }

    private static RouteSelector.RoutedCall call(RouteSelector.RoutingClass routingClass, String key) {
        return new RouteSelector.RoutedCall(routingClass, "records", key, Set.of(), false);
    }

    private Optional<String> address(RouteSelector.RoutedCall call) {
        return selector.selectRoute(NOW, call, LocalServiceHealth.HealthState.UNREACHABLE, false)
                .map(RouteSelector.SelectedRoute::address);
    }

    @Test
    void callsAreRoutedOnlyIfTheLocalServiceIsUnhealthyOrOverQuota() {
        publish(Relation.PEER, "east", route("east", 1, 10, false, false));
        assertEquals(
                Optional.empty(),
                selector.selectRoute(NOW, call(READS, "k"), LocalServiceHealth.HealthState.HEALTHY, false));
        assertTrue(selector.selectRoute(NOW, call(READS, "k"), LocalServiceHealth.HealthState.HEALTHY, true)
                .isPresent());
        assertTrue(selector.selectRoute(NOW, call(READS, "k"), LocalServiceHealth.HealthState.SLOW, false)
                .isPresent());
    }

    @Test
    void nonIdempotentCallsAreRoutedOnlyIfClassAndRouteAllow() {
        publish(Relation.PEER, "east", route("east", 1, 10, false, false), route("east", 2, 10, false, true));
        assertEquals(Optional.empty(), address(call(NON_IDEMPOTENT, "k")));
        publish(Relation.PEER, "east", route("east", 1, 10, true, false), route("east", 2, 10, true, true));
        assertEquals(Optional.of("10.0.0.1:1"), address(call(NON_IDEMPOTENT, "k")));
        assertEquals(
                Optional.empty(),
                address(call(
                        new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.NON_IDEMPOTENT, false), "k")));
        assertEquals(
                Optional.empty(),
                address(call(new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.IDEMPOTENT, false), "k")));
    }

    @Test
    void aCallThatMayHaveTakenEffectIsRetriedOnlyIfIdempotent() {
        publish(Relation.PEER, "east", route("east", 1, 10, true, false), route("east", 2, 10, true, false));
        RouteSelector.RoutingClass idempotentByKey =
                new RouteSelector.RoutingClass("t", RouteSelector.RetrySafety.IDEMPOTENT_BY_KEY, true);
        for (RouteSelector.RoutingClass routingClass : List.of(NON_IDEMPOTENT, idempotentByKey)) {
            assertEquals(
                    Optional.empty(),
                    address(new RouteSelector.RoutedCall(routingClass, "records", "k", Set.of("10.0.0.1:1"), true)));
            // A call that provably did not run may be retried.
            assertEquals(
                    Optional.of("10.0.0.2:1"),
                    address(new RouteSelector.RoutedCall(routingClass, "records", "k", Set.of("10.0.0.1:1"), false)));
        }
        assertEquals(
                Optional.of("10.0.0.2:1"),
                address(new RouteSelector.RoutedCall(READS, "records", "k", Set.of("10.0.0.1:1"), true)));
    }

    private Map<String, String> addressesByKey(int keys) {
        Map<String, String> addresses = new HashMap<>();
        RouteSelector newSelector = new RouteSelector(routingTable, 1);
        for (int i = 0; i < keys; i++) {
            addresses.put(
                    "key" + i,
                    newSelector
                            .selectRoute(
                                    NOW.plusSeconds(i),
                                    call(READS, "key" + i),
                                    LocalServiceHealth.HealthState.UNREACHABLE,
                                    false)
                            .orElseThrow()
                            .address());
        }
        return addresses;
    }

    @Test
    void keysAreDistributedByRateAndOnlyKeysOfChangedRoutesMove() {
        publish(Relation.PEER, "east", route("east", 1, 10, false, false), route("east", 2, 20, false, false));
        publish(Relation.PEER, "west", route("west", 3, 30, false, false));
        Map<String, String> before = addressesByKey(3000);
        for (int host = 1; host <= 3; host++) {
            String address = "10.0.0." + host + ":1";
            long count = before.values().stream().filter(address::equals).count();
            assertTrue(Math.abs(count - 500L * host) < 90, address + " has " + count);
        }
        publish(Relation.PEER, "west", route("west", 3, 30, false, false), route("west", 4, 20, false, false));
        Map<String, String> after = addressesByKey(3000);
        after.forEach(
                (key, address) -> assertTrue(address.equals(before.get(key)) || address.equals("10.0.0.4:1"), key));
        publish(Relation.PEER, "west", route("west", 4, 20, false, false));
        addressesByKey(3000)
                .forEach((key, address) ->
                        assertTrue(after.get(key).equals("10.0.0.3:1") || address.equals(after.get(key)), key));
    }

    @Test
    void callsAboveTheRateOfARouteUseTheNextBestRoute() {
        publish(Relation.PEER, "east", route("east", 1, 10, false, false));
        publish(Relation.PROVIDER, "far", route("far", 5, 3, false, false));
        List<Optional<String>> addresses = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            addresses.add(address(call(READS, "k" + i)));
        }
        assertEquals(
                10, addresses.stream().filter(Optional.of("10.0.0.1:1")::equals).count());
        assertEquals(
                addresses.subList(10, 13),
                List.of(Optional.of("10.0.0.5:1"), Optional.of("10.0.0.5:1"), Optional.of("10.0.0.5:1")));
        assertEquals(7, addresses.stream().filter(Optional::isEmpty).count());
        assertEquals(13, selector.callsPerSecond(NOW, List.of(READS), "records"));
        // With eight backends, the share of a rate of 10 is one call per second, and the share of a rate of 3 is one
        // call in 2.7 s.
        RouteSelector selectorOfEight = new RouteSelector(routingTable, 8);
        Map<String, Integer> counts = new HashMap<>();
        for (int ms = 0; ms < 8000; ms += 10) {
            selectorOfEight
                    .selectRoute(
                            NOW.plusMillis(ms), call(READS, "k"), LocalServiceHealth.HealthState.UNREACHABLE, false)
                    .ifPresent(selected -> counts.merge(selected.site(), 1, Integer::sum));
        }
        assertEquals(Map.of("east", 8, "far", 3), counts);
        assertEquals(1, selectorOfEight.callsPerSecond(NOW, List.of(READS), "records"));
    }

    @Test
    void theLocalServiceBecomesUnreachableSlowAndHealthyAgain() {
        LocalServiceHealth health = new LocalServiceHealth(LocalServiceHealth.HealthSettings.DEFAULTS);
        Duration quick = Duration.ofMillis(5);
        health.recordOutcome(NOW, Outcome.UNREACHABLE, quick);
        health.recordOutcome(NOW, Outcome.CONNECTION_LOST, quick);
        health.recordOutcome(NOW, Outcome.OK, quick);
        health.recordOutcome(NOW, Outcome.UNREACHABLE, quick);
        health.recordOutcome(NOW, Outcome.UNREACHABLE, quick);
        assertEquals(LocalServiceHealth.HealthState.HEALTHY, health.state());
        health.recordOutcome(NOW, Outcome.UNREACHABLE, quick);
        assertEquals(LocalServiceHealth.HealthState.UNREACHABLE, health.state());
        assertFalse(health.shouldProbe(NOW.plusMillis(400)));
        assertTrue(health.shouldProbe(NOW.plusMillis(500)));
        assertFalse(health.shouldProbe(NOW.plusMillis(600)));
        health.recordOutcome(NOW, Outcome.OK, quick);
        health.recordOutcome(NOW, Outcome.OK, quick);
        assertEquals(LocalServiceHealth.HealthState.UNREACHABLE, health.state());
        health.recordOutcome(NOW, Outcome.REJECTED, quick);
        assertEquals(LocalServiceHealth.HealthState.HEALTHY, health.state());
        for (int i = 0; i < 32; i++) {
            assertEquals(LocalServiceHealth.HealthState.HEALTHY, health.state());
            health.recordOutcome(NOW, i % 2 == 0 ? Outcome.OK : Outcome.TIMED_OUT, quick);
        }
        assertEquals(LocalServiceHealth.HealthState.SLOW, health.state());
    }
}
