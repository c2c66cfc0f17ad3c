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

    /** However late or often the answer comes; and an answer to an earlier query is ignored. */
    @Test
    void aLeaseCountsFromTheQuery() {
        RoutingTable tableOfOne = routingTable();
        RoutingTable tableOfOther = routingTable();
        RouteTable table = RouteMergerTest.table("east", 1, Relation.PEER, RouteMergerTest.route("t", 1, "east"));
        tableOfOne.offer(seconds(0), table);
        tableOfOne.renew(
                seconds(0),
                new RoutingTable.Renewal("east", 1, 1, RouteTableWriter.digest(table), seconds(0), seconds(10)));
        tableOfOther.offer(seconds(0), table);
        PeerTableSync one = new PeerTableSync(tableOfOne, 1000, new SplittableRandom(1));
        PeerTableSync other = new PeerTableSync(tableOfOther, 5000, new SplittableRandom(2));
        PeerMessage.Text query = other.dueQueries(seconds(2), List.of("one")).get(0);
        PeerMessage.Text answer = one.receive(seconds(3), "other", query.correlationId(), query.text())
                .get(0);
        assertEquals("L/east/1/1/" + RouteTableWriter.digest(table) + "/7000", answer.text());
        other.receive(seconds(6), "one", answer.correlationId(), answer.text());
        other.receive(seconds(8), "one", answer.correlationId(), answer.text());
        assertEquals(1, tableOfOther.candidates(seconds(8.9), "t/records").size());
        assertEquals(0, tableOfOther.candidates(seconds(9), "t/records").size());
        PeerMessage.Text next = other.dueQueries(seconds(20), List.of("one")).get(0);
        other.receive(seconds(20), "one", query.correlationId(), answer.text());
        assertEquals(0, tableOfOther.candidates(seconds(20), "t/records").size());
        // A backend without a lease does not answer; and malformed texts are ignored.
        assertEquals(List.of(), one.receive(seconds(20), "other", next.correlationId(), next.text()));
        for (String malformed : List.of(
                "",
                "L",
                "K/",
                "L/east/1/1/x/-1",
                "L/east/a/1/x/5",
                "L/west/1/1/x/5",
                "L/east/1/1/x/99999999999999999999")) {
            assertEquals(List.of(), other.receive(seconds(20), "one", next.correlationId(), malformed));
        }
        assertEquals(0, tableOfOther.candidates(seconds(20), "t/records").size());
    }
}
