package merlinlever.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.membership.PeerMessage;
import net.jqwik.api.Example;

class PeerTableSyncTest {

    private static Duration s(double seconds) {
        return Duration.ofMillis((long) (seconds * 1000));
    }

    private static RoutingTable routes() {
        return new RoutingTable(
                new RoutingPolicy("me"),
                List.of(new RoutingTable.PartnerSettings("east", Relation.PEER)),
                0,
                FlapDamping.FlapDampingSettings.RECOMMENDED,
                RouteSelectorTest.whole(),
                line -> {});
    }

    /** Whatever the answer takes, twice or late: the lease counts from the question, and an answer to an earlier one is none. */
    @Example
    void aLeaseCountsFromTheQuery() {
        RoutingTable heard = routes(), told = routes();
        RouteTable table = RouteMergerTest.table("east", 1, Relation.PEER, RouteMergerTest.route("t", 1, "east"));
        heard.offer(s(0), table);
        heard.renew(s(0), new RoutingTable.Renewal("east", 1, 1, RouteTableWriter.digest(table), s(0), s(10)));
        told.offer(s(0), table);
        PeerTableSync one = new PeerTableSync(heard, 1000, new SplittableRandom(1)),
                other = new PeerTableSync(told, 5000, new SplittableRandom(2));
        PeerMessage.Text question = other.dueQueries(s(2), List.of("one")).get(0);
        PeerMessage.Text answer = one.receive(s(3), "other", question.correlationId(), question.text())
                .get(0);
        assertEquals("L/east/1/1/" + RouteTableWriter.digest(table) + "/7000", answer.text());
        other.receive(s(6), "one", answer.correlationId(), answer.text());
        other.receive(s(8), "one", answer.correlationId(), answer.text());
        assertEquals(1, told.candidates(s(8.9), "t/records").size());
        assertEquals(0, told.candidates(s(9), "t/records").size());
        PeerMessage.Text next = other.dueQueries(s(20), List.of("one")).get(0);
        other.receive(s(20), "one", question.correlationId(), answer.text());
        assertEquals(0, told.candidates(s(20), "t/records").size());
        // Who has no lease left says nothing; and what is no word is passed over.
        assertEquals(List.of(), one.receive(s(20), "other", next.correlationId(), next.text()));
        for (String odd : List.of(
                "",
                "L",
                "K/",
                "L/east/1/1/x/-1",
                "L/east/a/1/x/5",
                "L/west/1/1/x/5",
                "L/east/1/1/x/99999999999999999999")) {
            assertEquals(List.of(), other.receive(s(20), "one", next.correlationId(), odd));
        }
        assertEquals(0, told.candidates(s(20), "t/records").size());
    }
}
