package merlinlever.fleet.routes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

class RoutingModelCheckTest {

    private static final Restrictions OPEN = Restrictions.NONE;
    private static final Restrictions ONLY =
            new Restrictions(new TreeSet<>(Set.of("b", "d")), new TreeSet<>(), false, 16, false, false, false);
    private static final Restrictions NOT =
            new Restrictions(null, new TreeSet<>(Set.of("c")), false, 16, false, false, false);
    private static final Restrictions STAY = new Restrictions(null, new TreeSet<>(), true, 16, false, false, false);
    private static final Restrictions ONE = new Restrictions(null, new TreeSet<>(), false, 1, false, false, false);
    private static final Restrictions DOWN = new Restrictions(null, new TreeSet<>(), false, 16, false, true, false);
    /** What the rest of it says does not count. */
    private static final Restrictions UNREADABLE =
            new Restrictions(null, new TreeSet<>(), false, 16, false, false, true);

    private static final List<Restrictions> EACH = List.of(ONLY, NOT, STAY, ONE, DOWN, UNREADABLE);
    /** A larger bound walks all of it: 2,000,000 does, in some minutes. */
    private static final int MAX_STATES = Integer.getInteger("merlinlever.states", 10_000);

    /** A circle: the first pays the second and fourth, which both pay the third. */
    private static RoutingModelCheck circle(RoutingModelCheck search) {
        return search.link(0, 1, Relation.PROVIDER)
                .link(0, 3, Relation.PROVIDER)
                .link(1, 2, Relation.PROVIDER)
                .link(3, 2, Relation.PROVIDER);
    }

    /** A circle with peers in it: the first is the second's customer, which is a peer of the third; the fourth is the third's customer and the first's peer. */
    private static RoutingModelCheck peers(RoutingModelCheck search) {
        return search.link(0, 1, Relation.PROVIDER)
                .link(1, 2, Relation.PEER)
                .link(2, 3, Relation.CUSTOMER)
                .link(3, 0, Relation.PEER);
    }

    /** The first is the provider of the second and fourth, and these of the third: all goes down. */
    private static RoutingModelCheck down(RoutingModelCheck search) {
        return search.link(0, 1, Relation.CUSTOMER)
                .link(0, 3, Relation.CUSTOMER)
                .link(1, 2, Relation.CUSTOMER)
                .link(3, 2, Relation.CUSTOMER);
    }

    private static List<RoutingModelCheck> topologies(
            List<Restrictions> variants,
            Set<RoutingPolicy.ImportRule> without,
            Set<RoutingPolicy.ExportRule> withoutExport) {
        return List.of(
                circle(new RoutingModelCheck(variants, without, withoutExport)),
                peers(new RoutingModelCheck(variants, without, withoutExport)),
                down(new RoutingModelCheck(variants, without, withoutExport)));
    }

    @Test
    void everyOrderConvergesAndNothingForbiddenIsSent() {
        int states = 0;
        int completeWalks = 0;
        int walks = 0;
        for (Restrictions tight : EACH) {
            for (RoutingModelCheck check : topologies(Arrays.asList(OPEN, tight, null), Set.of(), Set.of())) {
                check.run(MAX_STATES);
                assertEquals(Set.of(), check.breaches);
                check.results.forEach(
                        (variant, results) -> assertEquals(1, results.size(), () -> variant + ": " + results));
                assertEquals(Set.of(0, 1, 2), check.results.keySet());
                assertFalse(check.results.get(0).iterator().next().contains("no rest"));
                states += check.states;
                completeWalks += check.states < MAX_STATES ? 1 : 0;
                walks++;
            }
        }
        System.out.println(
                "routes search: " + states + " states; " + completeWalks + " of " + walks + " walks saw all of theirs");
        assertTrue(states > 10_000, "only " + states + " states");
    }

    @Test
    void aMissingExportRuleIsFound() {
        for (RoutingPolicy.ExportRule rule : RoutingPolicy.ExportRule.values()) {
            assertTrue(
                    found(EnumSet.noneOf(RoutingPolicy.ImportRule.class), EnumSet.of(rule), -1, "sent"),
                    "not found: " + rule);
        }
    }

    @Test
    void routesThatALeakingSiteExportsAreRejected() {
        assertFalse(found(
                EnumSet.noneOf(RoutingPolicy.ImportRule.class), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 0, ""));
        assertFalse(found(
                EnumSet.noneOf(RoutingPolicy.ImportRule.class), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 1, ""));
        assertFalse(found(
                EnumSet.noneOf(RoutingPolicy.ImportRule.class), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 3, ""));
    }

    @Test
    void aMissingImportRuleIsFound() {
        for (RoutingPolicy.ImportRule rule : RoutingPolicy.ImportRule.values()) {
            assertTrue(
                    found(EnumSet.of(rule), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 0, "taken")
                            || found(EnumSet.of(rule), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 1, "taken")
                            || found(EnumSet.of(rule), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 3, "taken"),
                    "not found: " + rule);
        }
    }

    private static boolean found(
            EnumSet<RoutingPolicy.ImportRule> without,
            EnumSet<RoutingPolicy.ExportRule> withoutExport,
            int leaker,
            String what) {
        boolean found = false;
        for (Restrictions tight : EACH) {
            for (boolean stripsPath : leaker < 0 ? new boolean[] {false} : new boolean[] {false, true}) {
                for (RoutingModelCheck check : topologies(Arrays.asList(OPEN, tight), without, withoutExport)) {
                    check.leaker = leaker;
                    check.stripsPath = stripsPath;
                    check.run(400);
                    found |= check.breaches.stream().anyMatch(breach -> breach.startsWith(what));
                }
            }
        }
        return found;
    }
}
