package merlinlever.fleet.routes;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import merlinlever.common.WireNamed;

/**
 * Which routes of a partner may be used, and which may be exported to another. A test can leave out each rule, to show that it
 * is needed. Immutable.
 */
public final class RoutingPolicy {

    /** Why a route of a partner may not be used. */
    enum ImportRule implements WireNamed {
        /** Its restrictions were not understood. */
        UNREADABLE("unreadable"),
        /** Its path begins at another site than the publisher. */
        FIRST("first"),
        /** It comes back to this site or passes one twice (RFC 4271). */
        LOOP("loop"),
        /** Its origin does not let this site have it. */
        NOT_HERE("not-here"),
        /** It was not to be exported. */
        NO_EXPORT("no-further"),
        /** More sites on the path than its origin allows. */
        TOO_LONG("too-long"),
        /** It went to a peer or customer before, and the publisher is not this site's provider (RFC 7908, RFC 9234). */
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

    /** Why a route may not be exported. */
    enum ExportRule {
        /** The receiver is on its path. */
        BACK,
        /** The origin does not let the receiver have it. */
        NOT_THERE,
        /** The origin does not let anybody export it. */
        NO_EXPORT,
        /** More sites on the path than its origin allows. */
        TOO_LONG,
        /** The origin lets it be exported only to customers. */
        CUSTOMERS_ONLY,
        /** What is not a customer's goes to customers alone (Gao and Rexford 2001). */
        VALLEY
    }

    private final String self;
    private final Set<ImportRule> importRules;
    private final Set<ExportRule> exportRules;

    /**
     * The policy of a site, with all rules.
     *
     * @param self name of this site
     */
    public RoutingPolicy(String self) {
        this(self, EnumSet.noneOf(ImportRule.class), EnumSet.noneOf(ExportRule.class));
    }

    /** For tests: without some of the rules. */
    RoutingPolicy(String self, Set<ImportRule> withoutImport, Set<ExportRule> withoutExport) {
        this.self = self;
        importRules = EnumSet.allOf(ImportRule.class);
        importRules.removeAll(withoutImport);
        exportRules = EnumSet.allOf(ExportRule.class);
        exportRules.removeAll(withoutExport);
    }

    /** Name of this site. */
    public String self() {
        return self;
    }

    /** The first rule that forbids to use a partner's route, or null. */
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
        boolean wasExportedOn = path.size() > 1;
        return switch (rule) {
            case UNREADABLE -> restrictions.unreadable();
            case FIRST -> !path.get(0).equals(partner);
            case LOOP -> path.contains(self) || new HashSet<>(path).size() < path.size();
            case NOT_HERE -> !isAllowedHere(restrictions);
            case NO_EXPORT -> restrictions.noExport() && wasExportedOn;
            case TOO_LONG -> path.size() > Math.min(restrictions.maxPathLength(), Restrictions.MAX_PATH_LENGTH);
            case LEAK -> isLeak(partner, relation, route)
                    || (relation != Relation.PROVIDER && restrictions.customersOnly() && wasExportedOn);
        };
    }

    /** Whatever else they say: unreadable ones break another rule. */
    private boolean isAllowedHere(Restrictions restrictions) {
        return (restrictions.allowedSites() == null
                        || restrictions.allowedSites().contains(self))
                && !restrictions.deniedSites().contains(self);
    }

    private static boolean isLeak(String partner, Relation relation, Route route) {
        String marked = route.onlyToCustomerSite();
        return (relation == Relation.CUSTOMER && marked != null)
                || (relation == Relation.PEER && marked != null && !marked.equals(partner));
    }

    /** The route as it is kept: one of a provider or peer without a mark gets one (RFC 9234, section 5). */
    static Route markOnImport(String partner, Relation relation, Route route) {
        return relation == Relation.CUSTOMER || route.onlyToCustomerSite() != null
                ? route
                : route.withOnlyToCustomerSite(partner);
    }

    /**
     * The first rule that forbids to export a route, or null.
     *
     * @param source what the partner that published it is to this site; null for this site's own routes
     * @param receiverRelation what the receiver is to this site
     */
    ExportRule findExportViolation(Relation source, Route route, String receiver, Relation receiverRelation) {
        for (ExportRule rule : exportRules) {
            if (violatesExport(rule, source, route, receiver, receiverRelation)) {
                return rule;
            }
        }
        return null;
    }

    private static boolean violatesExport(
            ExportRule rule, Relation source, Route route, String receiver, Relation receiverRelation) {
        Restrictions restrictions = route.restrictions();
        boolean isOwn = source == null;
        // The path of an own route begins with this site already.
        int exportedPathLength = route.path().size() + (isOwn ? 0 : 1);
        return switch (rule) {
            case BACK -> route.path().contains(receiver);
            case NOT_THERE -> !restrictions.allows(receiver);
            case NO_EXPORT -> !isOwn && restrictions.noExport();
            case TOO_LONG -> exportedPathLength > Math.min(restrictions.maxPathLength(), Restrictions.MAX_PATH_LENGTH);
            case CUSTOMERS_ONLY -> !isOwn && restrictions.customersOnly() && receiverRelation != Relation.CUSTOMER;
            case VALLEY -> !isOwn
                    && receiverRelation != Relation.CUSTOMER
                    && (source != Relation.CUSTOMER || route.onlyToCustomerSite() != null);
        };
    }

    /** The route as it is exported: through this site, and marked where it goes to a peer or customer (RFC 9234, section 5). */
    Route toExported(Route route, RouteExporter.Terms terms) {
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
