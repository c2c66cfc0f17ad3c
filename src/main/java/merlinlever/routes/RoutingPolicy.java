package merlinlever.routes;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import merlinlever.WireNamed;

/** What may be taken from a partner, and what may be passed on to another. Each rule can be left out by a test that is to notice. */
public final class RoutingPolicy {

    /** On what is taken. */
    enum ImportRule implements WireNamed {
        /** Its restrictions were not understood. */
        UNREADABLE("unreadable"),
        /** It begins at another than the publisher. */
        FIRST("first"),
        /** It comes back to this site or passes one twice (RFC 4271). */
        LOOP("loop"),
        /** Its origin does not let this site have it. */
        NOT_HERE("not-here"),
        /** It was not to be passed on. */
        NO_FURTHER("no-further"),
        /** More sites on the way than its origin allows. */
        TOO_LONG("too-long"),
        /** It went down or across before, and the publisher is not this site's provider (RFC 7908, RFC 9234). */
        LEAK("leak");

        private final String wireName;

        ImportRule(String wireName) {
            this.wireName = wireName;
        }

        @Override
        public String wireName() {
            return wireName;
        }
    }

    /** On what is passed on. */
    enum ExportRule {
        /** The receiver is on its way. */
        BACK,
        /** The origin does not let the receiver have it. */
        NOT_THERE,
        NO_FURTHER,
        TOO_LONG,
        /** Only on to customers, the origin says. */
        CUSTOMERS_ONLY,
        /** What is not a customer's goes to customers alone (Gao and Rexford 2001). */
        VALLEY
    }

    private final String self;
    private final Set<ImportRule> importRules;
    private final Set<ExportRule> exportRules;

    public RoutingPolicy(String self) {
        this(self, EnumSet.noneOf(ImportRule.class), EnumSet.noneOf(ExportRule.class));
    }

    /** For tests: without some of the rules. */
    RoutingPolicy(String self, Set<ImportRule> without, Set<ExportRule> withoutExport) {
        this.self = self;
        importRules = EnumSet.complementOf(without.isEmpty() ? EnumSet.noneOf(ImportRule.class) : EnumSet.copyOf(without));
        exportRules = EnumSet.complementOf(
                withoutExport.isEmpty() ? EnumSet.noneOf(ExportRule.class) : EnumSet.copyOf(withoutExport));
    }

    public String self() {
        return self;
    }

    /** Why the route may not be taken, or null. */
    ImportRule findViolation(String from, Relation relation, Route route) {
        for (ImportRule each : importRules) {
            if (violates(each, from, relation, route)) {
                return each;
            }
        }
        return null;
    }

    private boolean violates(ImportRule rule, String from, Relation relation, Route route) {
        Restrictions its = route.restrictions();
        boolean passedOn = route.path().size() > 1;
        return switch (rule) {
            case UNREADABLE -> its.unreadable();
            case FIRST -> !route.path().get(0).equals(from);
            case LOOP -> route.path().contains(self)
                    || new HashSet<>(route.path()).size() < route.path().size();
            case NOT_HERE -> its.onlyTo() != null && !its.onlyTo().contains(self)
                    || its.notTo().contains(self);
            case NO_FURTHER -> its.noExport() && passedOn;
            case TOO_LONG -> route.path().size() > Math.min(its.maxSites(), Restrictions.MAX_SITES);
            case LEAK -> relation == Relation.CUSTOMER && route.onlyToCustomerSite() != null
                    || relation == Relation.PEER
                            && route.onlyToCustomerSite() != null
                            && !route.onlyToCustomerSite().equals(from)
                    || relation != Relation.PROVIDER && its.customersOnly() && passedOn;
        };
    }

    /** As it is kept: what came from a provider or peer without a mark gets one (RFC 9234, 5). */
    static Route markOnImport(String from, Relation relation, Route route) {
        return relation == Relation.CUSTOMER || route.onlyToCustomerSite() != null ? route : route.withOnlyToCustomerSite(from);
    }

    /** Why what came from a partner of that relation (null for this site's own) may not be passed on to the receiver, or null. */
    ExportRule findViolation(Relation from, Route route, String receiver, Relation its) {
        for (ExportRule each : exportRules) {
            if (violates(each, from, route, receiver, its)) {
                return each;
            }
        }
        return null;
    }

    private boolean violates(ExportRule rule, Relation from, Route route, String receiver, Relation its) {
        Restrictions said = route.restrictions();
        return switch (rule) {
            case BACK -> route.path().contains(receiver);
            case NOT_THERE -> !said.allows(receiver);
            case NO_FURTHER -> from != null && said.noExport();
                // The path of this site's own begins with it already.
            case TOO_LONG -> route.path().size() + (from == null ? 0 : 1)
                    > Math.min(said.maxSites(), Restrictions.MAX_SITES);
            case CUSTOMERS_ONLY -> from != null && said.customersOnly() && its != Relation.CUSTOMER;
            case VALLEY -> its != Relation.CUSTOMER
                    && from != null
                    && (from != Relation.CUSTOMER || route.onlyToCustomerSite() != null);
        };
    }

    /** As it is passed on: this site first on its way, taken at its own place, marked where it goes down or across (RFC 9234, 5). */
    Route toExported(Route route, String address, int calls, int cost, Relation receiver) {
        List<String> path = new ArrayList<>(Collections.singleton(self));
        path.addAll(route.path());
        return new Route(
                route.priorityClass(),
                route.group(),
                address,
                Math.min(calls, route.callsPerSecond()),
                Math.min(RouteTableReader.MAX_COST, route.cost() + cost),
                route.allowsNonIdempotent(),
                path,
                route.onlyToCustomerSite() == null && receiver != Relation.PROVIDER ? self : route.onlyToCustomerSite(),
                route.restrictions());
    }
}
