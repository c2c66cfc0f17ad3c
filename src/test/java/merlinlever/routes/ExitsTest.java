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
import merlinlever.Ending;
import merlinlever.faults.Stands;
import merlinlever.view.Seen;
import merlinlever.view.Standing;
import net.jqwik.api.Example;

class ExitsTest {

    private static final Exits.Tariff READS = new Exits.Tariff("t", Exits.Kind.RETRIABLE, true);
    private static final Exits.Tariff BINDING = new Exits.Tariff("t", Exits.Kind.BINDING, true);
    private static final Duration NOW = Duration.ofSeconds(1);

    private final Routes routes = new Routes(
            new Rules("me"),
            List.of(
                    new Routes.Stated("east", Relation.PEER),
                    new Routes.Stated("west", Relation.PEER),
                    new Routes.Stated("far", Relation.PROVIDER)),
            0,
            Damping.Figures.PUBLISHED,
            whole(),
            line -> {});
    private final Exits exits = new Exits(routes, 1);

    static Seen whole() {
        return new Stands(now -> Standing.WHOLE);
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
        Table table = Table.of(site, 1, ++version, relation, Duration.ofHours(1), List.of(all));
        routes.offer(NOW, table);
        routes.stoodBy(NOW, site, 1, table.sequence(), TableWriter.digest(table), NOW, table.lease());
    }

    private static Exits.Call call(Exits.Tariff tariff, String key) {
        return new Exits.Call(tariff, "records", key, Set.of(), false);
    }

    private Optional<String> place(Exits.Call call) {
        return exits.way(NOW, call, Own.State.AWAY, false).map(Exits.Way::place);
    }

    @Example
    void staysWhileItsOwnIsGood() {
        says(Relation.PEER, "east", at("east", 1, 10, false, false));
        assertEquals(Optional.empty(), exits.way(NOW, call(READS, "k"), Own.State.GOOD, false));
        assertTrue(exits.way(NOW, call(READS, "k"), Own.State.GOOD, true).isPresent());
        assertTrue(exits.way(NOW, call(READS, "k"), Own.State.SLOW, false).isPresent());
    }

    @Example
    void bindingWorkLeavesOnlyWhereBothSaySo() {
        says(Relation.PEER, "east", at("east", 1, 10, false, false), at("east", 2, 10, false, true));
        assertEquals(Optional.empty(), place(call(BINDING, "k")));
        says(Relation.PEER, "east", at("east", 1, 10, true, false), at("east", 2, 10, true, true));
        assertEquals(Optional.of("10.0.0.1:1"), place(call(BINDING, "k")));
        assertEquals(Optional.empty(), place(call(new Exits.Tariff("t", Exits.Kind.BINDING, false), "k")));
        assertEquals(Optional.empty(), place(call(new Exits.Tariff("t", Exits.Kind.RETRIABLE, false), "k")));
    }

    @Example
    void whatMayHaveHadItsEffectGoesNoSecondWay() {
        says(Relation.PEER, "east", at("east", 1, 10, true, false), at("east", 2, 10, true, false));
        Exits.Tariff fingerprinted = new Exits.Tariff("t", Exits.Kind.FINGERPRINTED, true);
        for (Exits.Tariff each : List.of(BINDING, fingerprinted)) {
            assertEquals(Optional.empty(), place(new Exits.Call(each, "records", "k", Set.of("10.0.0.1:1"), true)));
            // What surely never ran may.
            assertEquals(
                    Optional.of("10.0.0.2:1"),
                    place(new Exits.Call(each, "records", "k", Set.of("10.0.0.1:1"), false)));
        }
        assertEquals(
                Optional.of("10.0.0.2:1"), place(new Exits.Call(READS, "records", "k", Set.of("10.0.0.1:1"), true)));
    }

    private Map<String, String> all(int keys) {
        Map<String, String> places = new HashMap<>();
        Exits fresh = new Exits(routes, 1);
        for (int i = 0; i < keys; i++) {
            places.put(
                    "key" + i,
                    fresh.way(NOW.plusSeconds(i), call(READS, "key" + i), Own.State.AWAY, false)
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
        Exits eighth = new Exits(routes, 8);
        Map<String, Integer> counts = new HashMap<>();
        for (int ms = 0; ms < 8000; ms += 10) {
            eighth.way(NOW.plusMillis(ms), call(READS, "k"), Own.State.AWAY, false)
                    .ifPresent(way -> counts.merge(way.site(), 1, Integer::sum));
        }
        assertEquals(Map.of("east", 8, "far", 3), counts);
        assertEquals(1, eighth.room(NOW, List.of(READS), "records"));
    }

    @Example
    void itsOwnIsAwaySlowAndGoodAgain() {
        Own own = new Own(Own.Stated.USUAL);
        Duration quick = Duration.ofMillis(5);
        own.ended(NOW, Ending.UNREACHABLE, quick);
        own.ended(NOW, Ending.CUT_OFF, quick);
        own.ended(NOW, Ending.OK, quick);
        own.ended(NOW, Ending.UNREACHABLE, quick);
        own.ended(NOW, Ending.UNREACHABLE, quick);
        assertEquals(Own.State.GOOD, own.state());
        own.ended(NOW, Ending.UNREACHABLE, quick);
        assertEquals(Own.State.AWAY, own.state());
        assertFalse(own.tries(NOW.plusMillis(400)));
        assertTrue(own.tries(NOW.plusMillis(500)));
        assertFalse(own.tries(NOW.plusMillis(600)));
        own.ended(NOW, Ending.OK, quick);
        own.ended(NOW, Ending.OK, quick);
        assertEquals(Own.State.AWAY, own.state());
        own.ended(NOW, Ending.TURNED_AWAY, quick);
        assertEquals(Own.State.GOOD, own.state());
        for (int i = 0; i < 32; i++) {
            assertEquals(Own.State.GOOD, own.state());
            own.ended(NOW, i % 2 == 0 ? Ending.OK : Ending.GIVEN_UP, quick);
        }
        assertEquals(Own.State.SLOW, own.state());
    }
}
