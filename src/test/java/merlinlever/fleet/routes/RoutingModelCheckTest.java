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

    private static final Restrictions UNRESTRICTED = Restrictions.NONE;
    private static final Restrictions ALLOWED_SITES =
            new Restrictions(new TreeSet<>(Set.of("b", "d")), new TreeSet<>(), false, 16, false, false, false);
    private static final Restrictions DENIED_SITES =
            new Restrictions(null, new TreeSet<>(Set.of("c")), false, 16, false, false, false);
    private static final Restrictions NO_EXPORT =
            new Restrictions(null, new TreeSet<>(), true, 16, false, false, false);
    private static final Restrictions ONE_SITE = new Restrictions(null, new TreeSet<>(), false, 1, false, false, false);
    private static final Restrictions CUSTOMERS_ONLY =
            new Restrictions(null, new TreeSet<>(), false, 16, false, true, false);
    private static final Restrictions UNREADABLE =
            new Restrictions(null, new TreeSet<>(), false, 16, false, false, true);

    private static final List<Restrictions> ALL_RESTRICTIONS =
            List.of(ALLOWED_SITES, DENIED_SITES, NO_EXPORT, ONE_SITE, CUSTOMERS_ONLY, UNREADABLE);
    /** Maximum number of states per search. With 2,000,000, all searches are complete. */
    private static final int MAX_STATES = Integer.getInteger("merlinlever.states", 10_000);

    /** A ring: the second and fourth sites are providers of the first, and the third site is the provider of both. */
    private static RoutingModelCheck ringOfProviders(RoutingModelCheck check) {
        return check.link(0, 1, Relation.PROVIDER)
                .link(0, 3, Relation.PROVIDER)
                .link(1, 2, Relation.PROVIDER)
                .link(3, 2, Relation.PROVIDER);
    }

    /**
     * A ring with peers: the first site is a customer of the second, the second and third are peers, the fourth is a
     * customer of the third, and the fourth and first are peers.
     */
    private static RoutingModelCheck ringWithPeers(RoutingModelCheck check) {
        return check.link(0, 1, Relation.PROVIDER)
                .link(1, 2, Relation.PEER)
                .link(2, 3, Relation.CUSTOMER)
                .link(3, 0, Relation.PEER);
    }

    /** A ring in which the first site is the provider of the second and fourth, and both are providers of the third. */
    private static RoutingModelCheck ringOfCustomers(RoutingModelCheck check) {
        return check.link(0, 1, Relation.CUSTOMER)
                .link(0, 3, Relation.CUSTOMER)
                .link(1, 2, Relation.CUSTOMER)
                .link(3, 2, Relation.CUSTOMER);
    }

    private static List<RoutingModelCheck> topologies(
            List<Restrictions> variants,
            Set<RoutingPolicy.ImportRule> disabledImportRules,
            Set<RoutingPolicy.ExportRule> disabledExportRules) {
        return List.of(
                ringOfProviders(new RoutingModelCheck(variants, disabledImportRules, disabledExportRules)),
                ringWithPeers(new RoutingModelCheck(variants, disabledImportRules, disabledExportRules)),
                ringOfCustomers(new RoutingModelCheck(variants, disabledImportRules, disabledExportRules)));
    }

    @Test
    void allOrdersConvergeWithoutForbiddenExports() {
        int states = 0;
        int completeSearches = 0;
        int searches = 0;
        for (Restrictions restrictions : ALL_RESTRICTIONS) {
            for (RoutingModelCheck check :
                    topologies(Arrays.asList(UNRESTRICTED, restrictions, null), Set.of(), Set.of())) {
                check.run(MAX_STATES);
                assertEquals(Set.of(), check.violations);
                check.results.forEach(
                        (variant, results) -> assertEquals(1, results.size(), () -> variant + ": " + results));
                assertEquals(Set.of(0, 1, 2), check.results.keySet());
                assertFalse(check.results.get(0).iterator().next().contains("not converged"));
                states += check.states;
                completeSearches += check.states < MAX_STATES ? 1 : 0;
                searches++;
            }
        }
        System.out.println("route model check: " + states + " states; " + completeSearches + " of " + searches
                + " searches were complete");
        assertTrue(states > 10_000, "only " + states + " states");
    }

    @Test
    void aDisabledExportRuleIsDetected() {
        for (RoutingPolicy.ExportRule rule : RoutingPolicy.ExportRule.values()) {
            assertTrue(
                    findsViolation(EnumSet.noneOf(RoutingPolicy.ImportRule.class), EnumSet.of(rule), -1, "export"),
                    "no violation without rule " + rule);
        }
    }

    @Test
    void routesThatALeakingSiteExportsAreRejected() {
        assertFalse(findsViolation(
                EnumSet.noneOf(RoutingPolicy.ImportRule.class), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 0, ""));
        assertFalse(findsViolation(
                EnumSet.noneOf(RoutingPolicy.ImportRule.class), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 1, ""));
        assertFalse(findsViolation(
                EnumSet.noneOf(RoutingPolicy.ImportRule.class), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 3, ""));
    }

    @Test
    void aDisabledImportRuleIsDetected() {
        for (RoutingPolicy.ImportRule rule : RoutingPolicy.ImportRule.values()) {
            assertTrue(
                    findsViolation(EnumSet.of(rule), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 0, "import")
                            || findsViolation(
                                    EnumSet.of(rule), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 1, "import")
                            || findsViolation(
                                    EnumSet.of(rule), EnumSet.noneOf(RoutingPolicy.ExportRule.class), 3, "import"),
                    "no violation without rule " + rule);
        }
    }

    private static boolean findsViolation(
            EnumSet<RoutingPolicy.ImportRule> disabledImportRules,
            EnumSet<RoutingPolicy.ExportRule> disabledExportRules,
            int leakingSite,
            String direction) {
        boolean findsViolation = false;
        for (Restrictions restrictions : ALL_RESTRICTIONS) {
            for (boolean stripsPath : leakingSite < 0 ? new boolean[] {false} : new boolean[] {false, true}) {
                for (RoutingModelCheck check : topologies(
                        Arrays.asList(UNRESTRICTED, restrictions), disabledImportRules, disabledExportRules)) {
                    check.leakingSite = leakingSite;
                    check.stripsPath = stripsPath;
                    check.run(400);
                    findsViolation |= check.violations.stream().anyMatch(violation -> violation.startsWith(direction));
                }
            }
        }
        return findsViolation;
    }
}
