package merlinlever.testing.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import merlinlever.fleet.routes.Relation;
import merlinlever.fleet.routes.Restrictions;
import org.junit.jupiter.api.Test;

/** The hard cases of routes, in virtual time. */
class RoutesModelTest {

    private static final Duration LEASE = Duration.ofSeconds(4);
    private static final int SEEDS = Integer.getInteger("merlinlever.seeds", 6);

    private static Restrictions notTo(String... sites) {
        return new Restrictions(null, new TreeSet<>(List.of(sites)), false, 16, false, false, false);
    }

    /** a and c are customers of b, which is a peer of d. */
    private static RoutesModel model(long seed) {
        return new RoutesModel(
                seed,
                5,
                LEASE,
                List.of("a", "b", "c", "d"),
                Map.of("b a", Relation.CUSTOMER, "b c", Relation.CUSTOMER, "b d", Relation.PEER));
    }

    private static void passed(RoutesModel model) {
        model.run(6000, 0);
        model.audit.recordRunEnd(model.now);
        assertEquals(List.of(), model.audit.violations());
    }

    private static boolean way(RoutesModel model, String site, int node) {
        return model.hasWay(model.site(site).nodes.get(node));
    }

    @Test
    void allBackendsOfASiteComeToTheSame() {
        RoutesModel model = model(1);
        model.loss = 0.2;
        model.run(12_000, 1);
        for (RoutesModel.Site site : model.sites) {
            String first = model.merged(site.nodes.get(0));
            assertTrue(first.lines().count() >= 2, site.name + " has " + first);
            site.nodes.forEach(node -> assertEquals(first, model.merged(node)));
        }
        passed(model);
    }

    @Test
    void tightenedWhileHalfIsCutOff() {
        for (int seed = 0; seed < SEEDS; seed++) {
            RoutesModel model = model(seed);
            model.run(10_000, 1);
            model.site("b").serviceUp = false;
            model.run(3000, 2);
            // Two of five backends of b, and a reader among them, are cut off from their fellows and from a.
            model.site("b").nodes.get(1).side = 1;
            model.site("b").nodes.get(3).side = 1;
            model.cut.add("b1 a");
            model.site("a").restrict(notTo("b"));
            model.run(LEASE.toMillis() / 2, 2);
            assertTrue(model.audit.counts()[0] > 50, "calls were sent");
            model.run(LEASE.toMillis(), 2);
            for (int node = 0; node < 5; node++) {
                assertFalse(
                        model.merged(model.site("b").nodes.get(node)).contains("[a]"),
                        "backend " + node + " has a route of a still");
            }
            // Looser again: those that are cut off and few do not take it on, the others do.
            model.cut.clear();
            model.site("a").restrict(Restrictions.NONE);
            model.run(6000, 2);
            assertTrue(model.merged(model.site("b").nodes.get(0)).contains("path=[a]"));
            assertFalse(model.merged(model.site("b").nodes.get(1)).contains("path=[a]"));
            model.sites.forEach(site -> site.nodes.forEach(node -> node.side = 0));
            model.run(6000, 2);
            assertTrue(model.merged(model.site("b").nodes.get(1)).contains("path=[a]"));
            passed(model);
        }
    }

    @Test
    void aPartnerThatLeaksAnothersTable() {
        // d leaks to b what it has of c over its provider e; b is d's peer.
        RoutesModel model = new RoutesModel(
                3,
                3,
                LEASE,
                List.of("a", "b", "c", "d", "e"),
                Map.of(
                        "d e",
                        Relation.PROVIDER,
                        "e c",
                        Relation.CUSTOMER,
                        "b d",
                        Relation.PEER,
                        "b a",
                        Relation.CUSTOMER));
        model.site("d").leaks = true;
        model.audit.markLeaking("d");
        model.run(12_000, 1);
        String merged = model.merged(model.site("b").nodes.get(0));
        assertTrue(merged.contains("path=[d]"), merged);
        assertFalse(merged.contains("path=[d, e"), merged);
        assertTrue(model.site("b").nodes.get(0).told.stream().anyMatch(line -> line.endsWith("rule=leak")));
        model.site("b").serviceUp = false;
        model.run(6000, 2);
        assertTrue(model.audit.leakCount() > 100, "the auditor sees the leak");
        passed(model);
    }

    @Test
    void aCircleOfFourThatReExport() {
        RoutesModel model = new RoutesModel(
                4,
                3,
                LEASE,
                List.of("a", "b", "c", "d"),
                Map.of(
                        "a b",
                        Relation.PROVIDER,
                        "b c",
                        Relation.PROVIDER,
                        "a d",
                        Relation.PROVIDER,
                        "d c",
                        Relation.PROVIDER));
        model.run(15_000, 1);
        assertTrue(model.merged(model.site("d").nodes.get(2)).contains("path=[c, b]"));
        model.site("a").serviceUp = false;
        model.site("c").serviceUp = false;
        model.run(5000, 2);
        model.site("a").restrict(null);
        model.run(4 * LEASE.toMillis(), 2);
        model.sites.forEach(site ->
                site.nodes.forEach(node -> assertFalse(model.merged(node).contains("a]"), site.name)));
        passed(model);
    }

    @Test
    void aPartnerBackWithAnOlderTableAndASilentOne() {
        RoutesModel model = model(5);
        model.run(10_000, 1);
        model.site("a").restrict(notTo("d"));
        model.run(4000, 1);
        model.site("a").forgetVersions();
        model.run(1000, 1);
        assertTrue(way(model, "b", 0));
        model.run(2 * LEASE.toMillis(), 1);
        assertTrue(model.site("b").nodes.get(0).told.stream().anyMatch(line -> line.contains("reason=older-version")));
        assertFalse(model.merged(model.site("b").nodes.get(0)).contains("path=[a]"), "what it said last ran out");
        model.site("a").incarnation = 2;
        model.run(4000, 1);
        assertTrue(model.merged(model.site("b").nodes.get(0)).contains("path=[a]"));
        model.cut("b", "a");
        model.run(LEASE.toMillis() + 1000, 1);
        assertFalse(model.merged(model.site("b").nodes.get(4)).contains("path=[a]"), "silent for a lease");
        passed(model);
    }

    @Test
    void ownServiceLostInTheMiddleOfTwoHundredCalls() {
        for (boolean without : new boolean[] {false, true}) {
            RoutesModel model = model(6);
            model.run(10_000, 0);
            model.without = without;
            for (int i = 0; i < 200; i++) {
                int at = i;
                model.later(i * 5L, () -> model.site("b").nodes.get(at % 5).operation());
            }
            model.later(500, () -> model.site("b").serviceUp = false);
            passed(model);
            assertEquals(200, model.site("b").served + model.site("b").brokenOff);
            assertTrue(
                    without ? model.site("b").served <= 105 : model.site("b").served >= 185,
                    without + ": " + model.site("b").served);
        }
    }

    /** Whatever asks again: what may have had its effect goes no second way. */
    @Test
    void noEffectTwiceThoughAnswersAreLost() {
        RoutesModel model = model(7);
        model.run(10_000, 0);
        model.site("b").serviceUp = false;
        model.secondWay = true;
        model.loss = 0.3;
        model.run(8000, 3);
        assertTrue(model.site("b").brokenOff > 10, "answers were missing");
        passed(model);
    }

    /** The backend that read the table is killed while its words are on their way. */
    @Test
    void theReaderKilledWhileATableIsAdopted() {
        for (int seed = 0; seed < SEEDS; seed++) {
            RoutesModel model = model(seed);
            model.run(8000, 1);
            model.site("a").restrict(notTo("c", "d"));
            model.run(700 + 40 * seed, 1);
            model.site("b").nodes.get(0).up = false;
            model.run(6000, 1);
            String second = model.merged(model.site("b").nodes.get(1));
            assertTrue(second.contains("path=[a]"));
            model.site("b").nodes.forEach(node -> assertEquals(second, node.up ? model.merged(node) : second));
            model.site("b").nodes.get(0).begin();
            model.run(8000, 1);
            model.site("b")
                    .nodes
                    .forEach(node ->
                            assertEquals(model.merged(model.site("b").nodes.get(1)), model.merged(node)));
            passed(model);
        }
    }

    @Test
    void drawnTroubles() {
        for (int seed = 0; seed < SEEDS; seed++) {
            RoutesModel model = model(seed * 77L + 5);
            SplittableRandom chance = new SplittableRandom(seed);
            model.run(6000, 1);
            for (int step = 0; step < 30; step++) {
                RoutesModel.Site site = model.sites.get(chance.nextInt(4));
                RoutesModel.SiteBackend node = site.nodes.get(chance.nextInt(5));
                switch (chance.nextInt(10)) {
                    case 0 -> site.restrict(
                            chance.nextInt(4) == 0
                                    ? null
                                    : new Restrictions(
                                            chance.nextBoolean() ? null : new TreeSet<>(Set.of("b", "c")),
                                            new TreeSet<>(Set.of(chance.nextBoolean() ? "d" : "c")),
                                            chance.nextBoolean(),
                                            1 + chance.nextInt(3),
                                            chance.nextBoolean(),
                                            chance.nextBoolean(),
                                            false));
                    case 1 -> site.restrict(Restrictions.NONE);
                    case 2 -> node.up = false;
                    case 3 -> site.nodes.stream().filter(each -> !each.up).forEach(RoutesModel.SiteBackend::begin);
                    case 4 -> site.nodes.forEach(each -> each.side = chance.nextInt(2));
                    case 5 -> site.nodes.forEach(each -> each.side = 0);
                    case 6 -> model.cut(site.name, model.sites.get(chance.nextInt(4)).name);
                    case 7 -> model.cut.clear();
                    case 8 -> model.loss = chance.nextDouble() * 0.5;
                    default -> site.serviceUp ^= true;
                }
                model.run(chance.nextInt(4000), 2);
            }
            passed(model);
        }
    }
}
