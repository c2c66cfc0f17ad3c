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
 * Checks the tables and calls between sites against the restrictions that the origins of the routes publish. A table or
 * call reaches a site only if the restrictions allowed the transfer within the last leases (one for each hop), no path
 * has a loop, no request takes effect twice, and every request ends. The rules are implemented independently
 * of the program.
 */
public final class RouteExportAudit {

    private static final int MAX_LISTED = 20;

    /** The restrictions of an origin, valid from a time on; empty after a withdrawal of its routes. */
    private record PublishedRestrictions(long ms, Optional<Restrictions> restrictions) {}

    private final BiFunction<String, String, Relation> relations;
    private final long leaseMs;
    private final Map<String, List<PublishedRestrictions>> publishedByOrigin = new TreeMap<>();
    private final Map<Long, String> effectsByRequest = new TreeMap<>();
    /** The deadline of each open request, in milliseconds. */
    private final Map<Long, Long> openRequests = new TreeMap<>();

    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> lastCallByOrigin = new TreeMap<>();
    private final Set<String> leakingSites = new TreeSet<>();
    private long calls;
    private long tables;
    private long leaks;

    /**
     * Creates the audit of one network of sites.
     *
     * @param relations the relation of the second site to the first; null if they are not partners
     * @param leaseMs validity of a published table
     */
    public RouteExportAudit(BiFunction<String, String, Relation> relations, long leaseMs) {
        this.relations = relations;
        this.leaseMs = leaseMs;
    }

    /**
     * Records the restrictions that the origin publishes with its routes from now on.
     *
     * @param restrictions null if the origin withdraws its routes
     */
    public void recordRestrictions(long ms, String origin, Restrictions restrictions) {
        publishedByOrigin
                .computeIfAbsent(origin, site -> new ArrayList<>())
                .add(new PublishedRestrictions(ms, Optional.ofNullable(restrictions)));
    }

    /** Marks a site that leaks routes on purpose: its violations in tables are counted separately. */
    public void markLeaking(String site) {
        leakingSites.add(site);
    }

    /** Returns the number of routes that leaking sites published against the rules. */
    public long leakCount() {
        return leaks;
    }

    /** Records a table that a site received from another. */
    public void recordTable(long ms, String from, String to, RouteTable table) {
        tables++;
        for (Route route : table.routes().values()) {
            if (!route.path().get(0).equals(from)) {
                addViolation(ms + ": table of " + from + " to " + to + " has a route that starts at "
                        + route.path().get(0));
            }
            Optional<String> violation =
                    check(to, route.path(), ms, (route.path().size() - 1) * leaseMs, false);
            if (violation.isPresent() && leakingSites.contains(from)) {
                leaks++;
            } else {
                violation.ifPresent(description -> addViolation(ms + ": a table of " + from + " to " + description));
            }
        }
    }

    /**
     * Records a call that a site sent along a path.
     *
     * @param path the sites that relay the call; the last one is the origin of the route
     * @param effect whether the call has an effect, that is, it is not idempotent
     */
    public void recordCall(long ms, String from, List<String> path, boolean effect) {
        calls++;
        lastCallByOrigin.put(path.get(path.size() - 1), ms);
        check(from, path, ms, path.size() * leaseMs, effect)
                .ifPresent(description -> addViolation(ms + ": a call of " + description));
    }

    /** Describes the violation by a path that reaches a site; empty if the path was allowed within the leases. */
    private Optional<String> check(String to, List<String> path, long ms, long leases, boolean effect) {
        if (path.contains(to) || new HashSet<>(path).size() < path.size()) {
            return Optional.of(to + " is reached by a path with a loop: " + path);
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
        return Optional.of(to + " along " + path + " has been forbidden for more than " + leases + " ms");
    }

    private boolean allows(Restrictions restrictions, String to, List<String> path, boolean effect) {
        return !restrictions.unreadable()
                && path.size() <= restrictions.maxPathLength()
                && !(restrictions.noExport() && path.size() > 1)
                && !(restrictions.idempotentOnly() && effect)
                && allowsHops(restrictions, to, path);
    }

    /** Checks the hops from the origin on: only customers may follow a hop to a customer or peer. */
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

    /** Records the arrival of a request, which must end by the deadline. */
    public void recordStart(long id, long deadlineMs) {
        openRequests.put(id, deadlineMs);
    }

    /** Records the end of a request, with any outcome. */
    public void recordEnd(long ms, long id) {
        Long deadlineMs = openRequests.remove(id);
        if (deadlineMs == null || deadlineMs < ms) {
            addViolation(ms + ": request " + id + (deadlineMs == null ? " ended twice" : " ended after its deadline"));
        }
    }

    /** Records that a call of the request took effect at a site. */
    public void recordEffect(long ms, long id, String site) {
        String previousSite = effectsByRequest.putIfAbsent(id, site);
        if (previousSite != null) {
            addViolation(ms + ": request " + id + " took effect at " + previousSite + " and at " + site);
        }
    }

    /** Reports the requests that are open after their deadline at the end of the run. */
    public void recordRunEnd(long ms) {
        openRequests.forEach((id, deadlineMs) -> {
            if (deadlineMs < ms) {
                addViolation(ms + ": request " + id + " has not ended");
            }
        });
    }

    private void addViolation(String description) {
        if (violations.size() < MAX_LISTED) {
            violations.add(description);
        }
    }

    /** Returns the first {@value #MAX_LISTED} violations, one line each. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the time of the last call along a route of the origin, in milliseconds; 0 without a call. */
    public long lastCallMs(String origin) {
        return lastCallByOrigin.getOrDefault(origin, 0L);
    }

    /** Returns the numbers of calls and tables between sites. */
    public long[] counts() {
        return new long[] {calls, tables};
    }
}
