package merlinlever.fleet.routes;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import merlinlever.common.WireNamed;

/**
 * Rules for the routes of partners that a site may use, and for the routes that it may export to a partner. Tests can
 * disable single rules to verify that each rule is necessary. Immutable.
 */
public final class RoutingPolicy {

    /** A rule that forbids the use of a partner's route. */
    enum ImportRule implements WireNamed {
        /** The restrictions of the route could not be parsed. */
        UNREADABLE("unreadable"),
        /** The first site on the path is not the publisher. */
        FIRST_SITE_MISMATCH("first"),
        /** The path contains this site, or a site twice (RFC 4271). */
        LOOP("loop"),
        /** The origin does not allow this site to use the route. */
        SITE_NOT_ALLOWED("not-here"),
        /** The origin does not allow re-export, but the route was re-exported. */
        NO_EXPORT("no-further"),
        /** The path has more sites than the origin allows. */
        PATH_TOO_LONG("too-long"),
        /**
         * Route leak: the publisher is not a provider of this site, but the route was already exported to a peer or
         * customer (RFC 7908, RFC 9234).
         */
        LEAK("leak");

        private final String wireName;

        ImportRule(String wireName) {
            this.wireName = wireName;
        }

        /** The name in logs. */
        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** A rule that forbids the export of a route. */
    enum ExportRule {
        /** The receiver is on the path. */
        RECEIVER_ON_PATH,
        /** The origin does not allow the receiver to use the route. */
        RECEIVER_NOT_ALLOWED,
        /** The origin does not allow re-export. */
        NO_EXPORT,
        /** The path would have more sites than the origin allows. */
        PATH_TOO_LONG,
        /** The origin allows export only to customers. */
        CUSTOMERS_ONLY,
        /**
         * Routes of peers and providers may be exported only to customers (valley-free routing, Gao and Rexford
         * 2001).
         */
        VALLEY
    }

    private final String self;
    private final Set<ImportRule> importRules;
    private final Set<ExportRule> exportRules;

    /**
     * Creates the policy of a site with all rules.
     *
     * @param self name of this site
     */
    public RoutingPolicy(String self) {
        this(self, EnumSet.noneOf(ImportRule.class), EnumSet.noneOf(ExportRule.class));
    }

    /** Creates a policy without some of the rules, for tests. */
    RoutingPolicy(String self, Set<ImportRule> disabledImportRules, Set<ExportRule> disabledExportRules) {
        this.self = self;
        importRules = EnumSet.allOf(ImportRule.class);
        importRules.removeAll(disabledImportRules);
        exportRules = EnumSet.allOf(ExportRule.class);
        exportRules.removeAll(disabledExportRules);
    }

    /** Name of this site. */
    public String self() {
        return self;
    }

    /** Returns the first rule that forbids the use of a partner's route, or null. */
    ImportRule findImportViolation(String partner, Relation relation, Route route) {
        for (ImportRule rule : importRules) {
            if (violatesImport(rule, partner, relation, route)) {
                return rule;
            }
        }
        return null;
    }

    private boolean violatesImport(ImportRule rule, String partner, Relation relation, Route route) {
        Restrictions restrictions = route.restrictions();
        List<String> path = route.path();
        boolean wasReExported = path.size() > 1;
        return switch (rule) {
            case UNREADABLE -> restrictions.unreadable();
            case FIRST_SITE_MISMATCH -> !path.get(0).equals(partner);
            case LOOP -> path.contains(self) || new HashSet<>(path).size() < path.size();
            case SITE_NOT_ALLOWED -> !allowsThisSite(restrictions);
            case NO_EXPORT -> restrictions.noExport() && wasReExported;
            case PATH_TOO_LONG -> path.size() > Math.min(restrictions.maxPathLength(), Restrictions.MAX_PATH_LENGTH);
            case LEAK -> isLeak(partner, relation, route)
                    || (relation != Relation.PROVIDER && restrictions.customersOnly() && wasReExported);
        };
    }

    /** Whether the site lists allow this site. Unreadable restrictions violate another rule. */
    private boolean allowsThisSite(Restrictions restrictions) {
        return (restrictions.allowedSites() == null
                        || restrictions.allowedSites().contains(self))
                && !restrictions.deniedSites().contains(self);
    }

    private static boolean isLeak(String partner, Relation relation, Route route) {
        String mark = route.onlyToCustomerSite();
        return (relation == Relation.CUSTOMER && mark != null)
                || (relation == Relation.PEER && mark != null && !mark.equals(partner));
    }

    /** Marks a route from a provider or peer with the partner unless the route has a mark (RFC 9234, section 5). */
    static Route markOnImport(String partner, Relation relation, Route route) {
        return relation == Relation.CUSTOMER || route.onlyToCustomerSite() != null
                ? route
                : route.withOnlyToCustomerSite(partner);
    }

    /**
     * Returns the first rule that forbids the export of a route, or null.
     *
     * @param publisherRelation relation of the partner that published the route to this site; null for this site's
     *     own routes
     * @param receiverRelation relation of the receiver to this site
     */
    ExportRule findExportViolation(
            Relation publisherRelation, Route route, String receiver, Relation receiverRelation) {
        for (ExportRule rule : exportRules) {
            if (violatesExport(rule, publisherRelation, route, receiver, receiverRelation)) {
                return rule;
            }
        }
        return null;
    }

    private static boolean violatesExport(
            ExportRule rule, Relation publisherRelation, Route route, String receiver, Relation receiverRelation) {
        Restrictions restrictions = route.restrictions();
        boolean isOwn = publisherRelation == null;
        // The path of an own route already starts with this site.
        int exportedPathLength = route.path().size() + (isOwn ? 0 : 1);
        return switch (rule) {
            case RECEIVER_ON_PATH -> route.path().contains(receiver);
            case RECEIVER_NOT_ALLOWED -> !restrictions.allows(receiver);
            case NO_EXPORT -> !isOwn && restrictions.noExport();
            case PATH_TOO_LONG -> exportedPathLength
                    > Math.min(restrictions.maxPathLength(), Restrictions.MAX_PATH_LENGTH);
            case CUSTOMERS_ONLY -> !isOwn && restrictions.customersOnly() && receiverRelation != Relation.CUSTOMER;
            case VALLEY -> !isOwn
                    && receiverRelation != Relation.CUSTOMER
                    && (publisherRelation != Relation.CUSTOMER || route.onlyToCustomerSite() != null);
        };
    }

    /**
     * Returns the route as this site re-exports it: this site is prepended to the path, and the route is marked for
     * export to a peer or customer (RFC 9234, section 5).
     */
    Route toExported(Route route, RouteExporter.ExportTerms terms) {
        List<String> path = new ArrayList<>();
        path.add(self);
        path.addAll(route.path());
        boolean isMarkedHere = route.onlyToCustomerSite() == null && terms.relation() != Relation.PROVIDER;
        return new Route(
                route.priorityClass(),
                route.group(),
                terms.address(),
                Math.min(terms.maxCallsPerSecond(), route.callsPerSecond()),
                Math.min(RouteTableReader.MAX_COST, route.cost() + terms.addedCost()),
                route.allowsNonIdempotent(),
                path,
                isMarkedHere ? self : route.onlyToCustomerSite(),
                route.restrictions());
    }
}
