package merlinlever.fleet.routes.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.backend.TestRequests;
import merlinlever.common.log.Log;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.controller.Outcome;
import merlinlever.fleet.routes.FlapDamping;
import merlinlever.fleet.routes.LocalServiceHealth;
import merlinlever.fleet.routes.Relation;
import merlinlever.fleet.routes.Restrictions;
import merlinlever.fleet.routes.Route;
import merlinlever.fleet.routes.RouteSelector;
import merlinlever.fleet.routes.RouteTable;
import merlinlever.fleet.routes.RouteTableWriter;
import merlinlever.fleet.routes.RoutingPolicy;
import merlinlever.fleet.routes.RoutingTable;
import merlinlever.fleet.view.FleetView;
import merlinlever.fleet.view.QuorumStatus;
import merlinlever.testing.faults.audit.QuotaAudit;
import merlinlever.testing.faults.standins.SimulatedRecordsService;
import merlinlever.testing.faults.timeline.FixedFleetView;
import org.junit.jupiter.api.Test;

/** Makes the calls of one backend over real sockets, and stops the local service during the calls. */
class DownstreamFailoverTest {

    private static final FleetView FULL_QUORUM = new FixedFleetView(now -> QuorumStatus.FULL);
    private static final String SERVICE = "records";
    private static final String PRIORITY_CLASS = "t";
    private static final int CALLS = 200;
    private static final Duration CALL_INTERVAL = Duration.ofMillis(5);
    private static final Duration LOSS_OF_LOCAL_SERVICE = Duration.ofMillis(500);
    private static final Duration TEST_TIMEOUT = Duration.ofSeconds(20);
    private static final int PARTNER_CAPACITY = 1000;

    private final MonotonicClock clock = MonotonicClock.system();
    private final EventLoop loop;
    private final Map<Long, Outcome> outcomesById = new TreeMap<>();
    private final List<Long> partnerCapacities = new ArrayList<>();
    private final QuotaAudit localAudit = new QuotaAudit(100_000, true);
    private final QuotaAudit eastAudit = new QuotaAudit(100_000, true);
    private final QuotaAudit westAudit = new QuotaAudit(100_000, true);

    DownstreamFailoverTest() throws IOException {
        loop = new EventLoop(clock, failure -> {});
    }

    /** Number of calls that a service received. */
    private static long received(QuotaAudit audit) {
        return audit.counts()[1];
    }

    private SimulatedRecordsService startService(QuotaAudit audit) throws Exception {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new SimulatedRecordsService(loop, anyPort, Duration.ofMillis(20), audit);
    }

    private RoutingTable routes(Map<String, SimulatedRecordsService> partners) throws Exception {
        RoutingTable routes = new RoutingTable(
                new RoutingPolicy("me"),
                partners.keySet().stream()
                        .map(site -> new RoutingTable.PartnerSettings(site, Relation.PEER))
                        .toList(),
                0.01,
                FlapDamping.FlapDampingSettings.RECOMMENDED,
                FULL_QUORUM,
                line -> {});
        for (Map.Entry<String, SimulatedRecordsService> partner : partners.entrySet()) {
            String site = partner.getKey();
            Route route = new Route(
                    PRIORITY_CLASS,
                    SERVICE,
                    "127.0.0.1:" + partner.getValue().address().getPort(),
                    PARTNER_CAPACITY,
                    1,
                    false,
                    List.of(site),
                    null,
                    Restrictions.NONE);
            RouteTable table = RouteTable.of(site, 1, 1, Relation.PEER, Duration.ofMinutes(5), List.of(route));
            routes.offer(clock.uptime(), table);
            routes.renew(
                    clock.uptime(),
                    new RoutingTable.Renewal(
                            site, 1, 1, RouteTableWriter.digest(table), clock.uptime(), table.lease()));
        }
        return routes;
    }

    private RoutedDownstreamService downstreamService(
            RouteSelector.RetrySafety retrySafety, SimulatedRecordsService local, RoutingTable routes)
            throws Exception {
        return new RoutedDownstreamService(
                loop,
                (now, id, outcome, reply) -> {
                    assertTrue(outcomesById.put(id, outcome) == null, "call ended twice: " + id);
                    if (outcomesById.size() == CALLS) {
                        loop.stop();
                    }
                },
                new Log(System.out, Instant::now),
                routes,
                new RouteSelector(routes, 1),
                new LocalServiceHealth(new LocalServiceHealth.HealthSettings(
                        3, Duration.ofMillis(500), 32, Duration.ofMillis(100), 3)),
                new RoutedDownstreamService.RoutingSettings(
                        local.address(),
                        100,
                        List.of(new RouteSelector.RoutingClass(PRIORITY_CLASS, retrySafety, true)),
                        SERVICE),
                partnerCapacities::add);
    }

    private void makeCalls(RouteSelector.RetrySafety retrySafety) throws Exception {
        SimulatedRecordsService local = startService(localAudit);
        Map<String, SimulatedRecordsService> partners = new LinkedHashMap<>();
        partners.put("east", startService(eastAudit));
        partners.put("west", startService(westAudit));
        RoutedDownstreamService downstreamService = downstreamService(retrySafety, local, routes(partners));
        byte[] body = "body".getBytes(StandardCharsets.US_ASCII);
        for (long i = 0; i < CALLS; i++) {
            long id = i;
            loop.schedule(
                    CALL_INTERVAL.multipliedBy(i),
                    () -> downstreamService.call(
                            TestRequests.tracked(id, PRIORITY_CLASS), body, Duration.ofSeconds(5)));
        }
        loop.schedule(LOSS_OF_LOCAL_SERVICE, local::lose);
        loop.schedule(TEST_TIMEOUT, loop::stop);
        loop.run();
        assertEquals(downstreamService.callsToPartners(), received(eastAudit) + received(westAudit));
    }

    private long count(Outcome outcome) {
        return outcomesById.values().stream().filter(outcome::equals).count();
    }

    @Test
    void idempotentCallsAreForwardedToPartnersWhenTheLocalServiceIsLost() throws Exception {
        makeCalls(RouteSelector.RetrySafety.IDEMPOTENT);
        assertEquals(CALLS, outcomesById.size());
        long succeeded = count(Outcome.OK);
        long connectionLost = count(Outcome.CONNECTION_LOST);
        assertTrue(
                succeeded >= 170 && succeeded + connectionLost == CALLS,
                "succeeded: " + succeeded + ", connection lost: " + connectionLost);
        long east = received(eastAudit);
        long west = received(westAudit);
        assertTrue(east > 20 && west > 20, "east " + east + ", west " + west);
        // A call that the local service may have received is not forwarded; a retry is up to the controller.
        long local = received(localAudit);
        assertTrue(local + east + west <= CALLS && local > 50, "local " + local);
        assertEquals(List.of(2L * PARTNER_CAPACITY), partnerCapacities);
    }

    @Test
    void nonIdempotentCallsAreNotForwarded() throws Exception {
        makeCalls(RouteSelector.RetrySafety.NON_IDEMPOTENT);
        assertEquals(0, received(eastAudit) + received(westAudit));
        assertTrue(count(Outcome.UNREACHABLE) > 20);
    }
}
