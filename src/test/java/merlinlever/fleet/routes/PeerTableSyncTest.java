package merlinlever.fleet.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.fleet.membership.PeerMessage;
import org.junit.jupiter.api.Test;

class PeerTableSyncTest {

    private static Duration seconds(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    private static RoutingTable routingTable() {
        return new RoutingTable(
                new RoutingPolicy("me"),
                List.of(new RoutingTable.PartnerSettings("east", Relation.PEER)),
                0,
                FlapDamping.FlapDampingSettings.RECOMMENDED,
                RouteSelectorTest.fullQuorum(),
                line -> {});
    }

    /** A late or duplicate answer must not extend a lease, and an answer to an earlier query must be ignored. */
    @Test
    void aLeaseStartsWhenTheQueryIsSent() {
        RoutingTable firstRoutingTable = routingTable();
        RoutingTable secondRoutingTable = routingTable();
        RouteTable table = RouteMergerTest.table("east", 1, Relation.PEER, RouteMergerTest.route("t", 1, "east"));
        firstRoutingTable.offer(seconds(0), table);
        firstRoutingTable.renew(
                seconds(0),
                new RoutingTable.Renewal("east", 1, 1, RouteTableWriter.digest(table), seconds(0), seconds(10)));
        secondRoutingTable.offer(seconds(0), table);
        PeerTableSync first = new PeerTableSync(firstRoutingTable, 1000, new SplittableRandom(1));
        PeerTableSync second = new PeerTableSync(secondRoutingTable, 5000, new SplittableRandom(2));
        PeerMessage.Text query = second.dueQueries(seconds(2), List.of("first")).get(0);
        PeerMessage.Text answer = first.receive(seconds(3), "second", query.correlationId(), query.text())
                .get(0);
        assertEquals("L/east/1/1/" + RouteTableWriter.digest(table) + "/7000", answer.text());
        second.receive(seconds(6), "first", answer.correlationId(), answer.text());
        second.receive(seconds(8), "first", answer.correlationId(), answer.text());
        assertEquals(1, secondRoutingTable.candidates(seconds(8.9), "t/records").size());
        assertEquals(0, secondRoutingTable.candidates(seconds(9), "t/records").size());
        PeerMessage.Text laterQuery =
                second.dueQueries(seconds(20), List.of("first")).get(0);
        second.receive(seconds(20), "first", query.correlationId(), answer.text());
        assertEquals(0, secondRoutingTable.candidates(seconds(20), "t/records").size());
        // A backend without a valid lease does not answer, and malformed messages are ignored.
        assertEquals(List.of(), first.receive(seconds(20), "second", laterQuery.correlationId(), laterQuery.text()));
        for (String malformed : List.of(
                "",
                "L",
                "K/",
                "L/east/1/1/x/-1",
                "L/east/a/1/x/5",
                "L/west/1/1/x/5",
                "L/east/1/1/x/99999999999999999999")) {
            assertEquals(List.of(), second.receive(seconds(20), "first", laterQuery.correlationId(), malformed));
        }
        assertEquals(0, secondRoutingTable.candidates(seconds(20), "t/records").size());
    }
}
