package merlinlever.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
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
                FlapDamping.FlapDampingSettings.PUBLISHED,
                RouteSelectorTest.whole(),
                line -> {});
    }

    /** Whatever the answer takes, twice or late: the lease counts from the question, and an answer to an earlier one is none. */
    @Example
    void aLeaseCountsFromTheQuestion() {
        RoutingTable heard = routes(), told = routes();
        RouteTable table = RouteMergerTest.table("east", 1, Relation.PEER, RouteMergerTest.route("t", 1, "east"));
        heard.offer(s(0), table);
        heard.stoodBy(s(0), "east", 1, 1, RouteTableWriter.digest(table), s(0), s(10));
        told.offer(s(0), table);
        PeerTableSync one = new PeerTableSync(heard, 1000, new SplittableRandom(1)),
                other = new PeerTableSync(told, 5000, new SplittableRandom(2));
        PeerTableSync.TableMessage question = other.look(s(2), List.of("one")).get(0);
        PeerTableSync.TableMessage answer =
                one.said(s(3), "other", question.number(), question.what()).get(0);
        assertEquals("L/east/1/1/" + RouteTableWriter.digest(table) + "/7000", answer.what());
        other.said(s(6), "one", answer.number(), answer.what());
        other.said(s(8), "one", answer.number(), answer.what());
        assertEquals(1, told.ways(s(8.9), "t/records").size());
        assertEquals(0, told.ways(s(9), "t/records").size());
        PeerTableSync.TableMessage next = other.look(s(20), List.of("one")).get(0);
        other.said(s(20), "one", question.number(), answer.what());
        assertEquals(0, told.ways(s(20), "t/records").size());
        // Who has no lease left says nothing; and what is no word is passed over.
        assertEquals(List.of(), one.said(s(20), "other", next.number(), next.what()));
        for (String odd : List.of(
                "",
                "L",
                "K/",
                "L/east/1/1/x/-1",
                "L/east/a/1/x/5",
                "L/west/1/1/x/5",
                "L/east/1/1/x/99999999999999999999")) {
            assertEquals(List.of(), other.said(s(20), "one", next.number(), odd));
        }
        assertEquals(0, told.ways(s(20), "t/records").size());
    }
}
