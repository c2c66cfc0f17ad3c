package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiFunction;
import merlinlever.fleet.routes.Relation;
import merlinlever.fleet.routes.Restrictions;
import merlinlever.fleet.routes.Route;
import merlinlever.fleet.routes.RouteTable;

/**
 * Checks that sites respect the restrictions of the routes' origins, by what passes between them: a table or call reaches a
 * site only if that was allowed at some moment within the last leases (one for each hop), no path has a loop, no request
 * takes effect twice, and every request ends. Its rules are written independently of the program.
 */
public final class RouteExportAudit {

    private static final int MAX_LISTED = 20;

    /** The restrictions of an origin from that time on; empty while its route is withdrawn. */
    private record PublishedRestrictions(long ms, Optional<Restrictions> restrictions) {}

    private final BiFunction<String, String, Relation> relations;
    private final long leaseMs;
    private final Map<String, List<PublishedRestrictions>> publishedByOrigin = new TreeMap<>();
    private final Map<Long, String> effectsByRequest = new TreeMap<>();
    /** The latest end of each open request, in milliseconds. */
    private final Map<Long, Long> openRequests = new TreeMap<>();

    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> lastCallByOrigin = new TreeMap<>();
    private final Set<String> leakingSites = new TreeSet<>();
    private long calls;
    private long tables;
    private long leaks;

    /**
     * An audit of one network of sites.
     *
     * @param relations what the second site is to the first; null where they are no partners
     * @param leaseMs for how long a published table holds
     */
    public RouteExportAudit(BiFunction<String, String, Relation> relations, long leaseMs) {
        this.relations = relations;
        this.leaseMs = leaseMs;
    }

    /**
     * The origin publishes its routes with these restrictions from now on.
     *
     * @param restrictions null withdraws the routes
     */
    public void recordRestrictions(long ms, String origin, Restrictions restrictions) {
        publishedByOrigin
                .computeIfAbsent(origin, site -> new ArrayList<>())
                .add(new PublishedRestrictions(ms, Optional.ofNullable(restrictions)));
    }

    /** The site is known to leak routes: what it publishes against the rules is only counted. */
    public void markLeaking(String site) {
        leakingSites.add(site);
    }

    /** How many routes leaking sites published against the rules. */
    public long leakCount() {
        return leaks;
    }

    /** A site received the table of another. */
    public void recordTable(long ms, String from, String to, RouteTable table) {
        tables++;
        for (Route each : table.routes().values()) {
            if (!each.path().get(0).equals(from)) {
                addViolation(ms + ": table of " + from + " to " + to + " has a route of "
                        + each.path().get(0));
            }
            Optional<String> violation = check(to, each.path(), ms, (each.path().size() - 1) * leaseMs, false);
            if (violation.isPresent() && leakingSites.contains(from)) {
                leaks++;
            } else {
                violation.ifPresent(what -> addViolation(ms + ": a table of " + from + " to " + what));
            }
        }
    }

    /**
     * A site sent a call along a path.
     *
     * @param path the sites that pass it on, the origin of the route last
     * @param effect whether the call is not idempotent
     */
    public void recordCall(long ms, String from, List<String> path, boolean effect) {
        calls++;
        lastCallByOrigin.put(path.get(path.size() - 1), ms);
        check(from, path, ms, path.size() * leaseMs, effect)
                .ifPresent(what -> addViolation(ms + ": a call of " + what));
    }

    /** What is wrong with a path that reaches a site at that time; empty where it was allowed within the leases. */
    private Optional<String> check(String to, List<String> path, long ms, long leases, boolean effect) {
        if (path.contains(to) || new HashSet<>(path).size() < path.size()) {
            return Optional.of(to + " goes round: " + path);
        }
        List<PublishedRestrictions> published = publishedByOrigin.getOrDefault(path.get(path.size() - 1), List.of());
        for (int i = 0; i < published.size(); i++) {
            boolean isExpired = i + 1 < published.size() && published.get(i + 1).ms() < ms - leases;
            boolean isPublished = published.get(i).ms() <= ms;
            Optional<Restrictions> restrictions = published.get(i).restrictions();
            if (!isExpired && isPublished && restrictions.isPresent() && allows(restrictions.get(), to, path, effect)) {
                return Optional.empty();
            }
        }
        return Optional.of(to + " along " + path + " is forbidden since more than " + leases + " ms");
    }

    private boolean allows(Restrictions restrictions, String to, List<String> path, boolean effect) {
        return !restrictions.unreadable()
                && path.size() <= restrictions.maxPathLength()
                && !(restrictions.noExport() && path.size() > 1)
                && !(restrictions.idempotentOnly() && effect)
                && allowsHops(restrictions, to, path);
    }

    /** Checks the hops from the origin on: after a hop to a customer or peer only customers may follow. */
    private boolean allowsHops(Restrictions restrictions, String to, List<String> path) {
        boolean onlyCustomers = false;
        for (int i = path.size() - 1; i >= 0; i--) {
            String next = i == 0 ? to : path.get(i - 1);
            Relation relation = relations.apply(path.get(i), next);
            boolean customersOnly = onlyCustomers || (restrictions.customersOnly() && i < path.size() - 1);
            if (relation == null || (customersOnly && relation != Relation.CUSTOMER)) {
                return false;
            }
            if (restrictions.deniedSites().contains(next)
                    || (restrictions.allowedSites() != null
                            && !restrictions.allowedSites().contains(next))) {
                return false;
            }
            onlyCustomers |= relation != Relation.PROVIDER;
        }
        return true;
    }

    /** A request arrived, which has to end by that time. */
    public void recordStart(long id, long until) {
        openRequests.put(id, until);
    }

    /** A request ended, with any outcome. */
    public void recordEnd(long ms, long id) {
        Long until = openRequests.remove(id);
        if (until == null || until < ms) {
            addViolation(ms + ": operation " + id + (until == null ? " ended twice" : " ended late"));
        }
    }

    /** A call of the request took effect at a site. */
    public void recordEffect(long ms, long id, String where) {
        String before = effectsByRequest.putIfAbsent(id, where);
        if (before != null) {
            addViolation(ms + ": operation " + id + " had its effect at " + before + " and at " + where);
        }
    }

    /** The run is over: requests that should have ended are lost. */
    public void recordRunEnd(long ms) {
        openRequests.forEach((id, until) -> {
            if (until < ms) {
                addViolation(ms + ": operation " + id + " is lost");
            }
        });
    }

    private void addViolation(String what) {
        if (violations.size() < MAX_LISTED) {
            violations.add(what);
        }
    }

    /** The first {@value #MAX_LISTED} violations, one line each. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** When the last call along a route of the origin was sent, in milliseconds; 0 for never. */
    public long lastCallMs(String origin) {
        return lastCallByOrigin.getOrDefault(origin, 0L);
    }

    /** How many calls and tables passed between sites. */
    public long[] counts() {
        return new long[] {calls, tables};
    }
}
