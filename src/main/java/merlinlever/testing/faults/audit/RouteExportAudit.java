package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import merlinlever.fleet.routes.Relation;
import merlinlever.fleet.routes.Restrictions;
import merlinlever.fleet.routes.Route;
import merlinlever.fleet.routes.RouteTable;

/**
 * Whether sites kept to what the origins of routes allow, by what passed between them: no table and no call came to or from a site
 * that was not allowed it at any moment of the leases before (one for each step of the way), none went round, no effect came
 * twice, and every operation ended. Decisions alone; its rules are its own and not those of the program.
 */
public final class RouteExportAudit {

    private static final int MOST = 20;

    /** What an origin said of its route from then on; null for withdrawn. */
    private record PublishedRestrictions(long ms, Restrictions what) {}

    private final BiFunction<String, String, Relation> relations;
    private final long lease;
    private final Map<String, List<PublishedRestrictions>> said = new TreeMap<>();
    private final Map<Long, String> effects = new TreeMap<>();
    private final Map<Long, Long> open = new TreeMap<>();
    private final List<String> breaches = new ArrayList<>();
    private final Map<String, Long> last = new TreeMap<>();
    private final java.util.Set<String> leaking = new java.util.TreeSet<>();
    private long calls, tables, leaks;

    /** @param relations what the second site is to the first */
    public RouteExportAudit(BiFunction<String, String, Relation> relations, long leaseMs) {
        this.relations = relations;
        lease = leaseMs;
    }

    /** The origin says that of its routes from now on; null withdraws them. */
    public void said(long ms, String origin, Restrictions what) {
        said.computeIfAbsent(origin, site -> new ArrayList<>()).add(new PublishedRestrictions(ms, what));
    }

    /** What that site publishes is only counted: it is known to leak. */
    public void leaks(String site) {
        leaking.add(site);
    }

    /** Routes that such a site may not have published. */
    public long leaked() {
        return leaks;
    }

    /** A table came to a site. */
    public void table(long ms, String from, String to, RouteTable table) {
        tables++;
        for (Route each : table.routes().values()) {
            if (!each.path().get(0).equals(from)) {
                breach(ms + ": table of " + from + " to " + to + " has a route of "
                        + each.path().get(0));
            }
            String why = look(to, each.path(), ms, (each.path().size() - 1) * lease, false);
            if (why != null && leaking.contains(from)) {
                leaks++;
            } else if (why != null) {
                breach(ms + ": a table of " + from + " to " + why);
            }
        }
    }

    /** A call of a site came to the first of those sites, to be passed along the others. */
    public void call(long ms, String from, List<String> path, boolean effect) {
        calls++;
        last.put(path.get(path.size() - 1), ms);
        String why = look(from, path, ms, path.size() * lease, effect);
        if (why != null) {
            breach(ms + ": a call of " + why);
        }
    }

    private String look(String to, List<String> path, long ms, long leases, boolean effect) {
        if (path.contains(to) || new HashSet<>(path).size() < path.size()) {
            return to + " goes round: " + path;
        }
        List<PublishedRestrictions> all = said.getOrDefault(path.get(path.size() - 1), List.of());
        boolean allowed = false;
        for (int i = 0; i < all.size(); i++) {
            boolean past = i + 1 < all.size() && all.get(i + 1).ms() < ms - leases;
            allowed |= !past
                    && all.get(i).ms() <= ms
                    && all.get(i).what() != null
                    && allows(all.get(i).what(), to, path, effect);
        }
        return allowed ? null : to + " along " + path + " is forbidden since more than " + leases + " ms";
    }

    private boolean allows(Restrictions its, String to, List<String> path, boolean effect) {
        boolean down = false;
        for (int i = path.size() - 1; i >= 0; i--) {
            String next = i == 0 ? to : path.get(i - 1);
            Relation step = relations.apply(path.get(i), next);
            boolean only = down || (its.customersOnly() && i < path.size() - 1);
            if (step == null
                    || (only && step != Relation.CUSTOMER)
                    || its.notTo().contains(next)
                    || (its.onlyTo() != null && !its.onlyTo().contains(next))) {
                return false;
            }
            down |= step != Relation.PROVIDER;
        }
        return !its.unreadable()
                && path.size() <= its.maxSites()
                && !(its.noExport() && path.size() > 1)
                && !(its.idempotentOnly() && effect);
    }

    /** An operation has come and is owed an end until then. */
    public void begun(long id, long until) {
        open.put(id, until);
    }

    /** It ended, whichever way. */
    public void ended(long ms, long id) {
        Long until = open.remove(id);
        if (until == null || until < ms) {
            breach(ms + ": operation " + id + (until == null ? " ended twice" : " ended late"));
        }
    }

    /** A call of it had its effect there. */
    public void effect(long ms, long id, String where) {
        String before = effects.putIfAbsent(id, where);
        if (before != null) {
            breach(ms + ": operation " + id + " had its effect at " + before + " and at " + where);
        }
    }

    /** All is over: what is still owed is lost. */
    public void over(long ms) {
        open.forEach((id, until) -> {
            if (until < ms) {
                breach(ms + ": operation " + id + " is lost");
            }
        });
    }

    private void breach(String what) {
        if (breaches.size() < MOST) {
            breaches.add(what);
        }
    }

    public List<String> breaches() {
        return List.copyOf(breaches);
    }

    /** When the last call along a route of the origin was sent. */
    public long lastOf(String origin) {
        return last.getOrDefault(origin, 0L);
    }

    /** Calls and tables seen between sites. */
    public long[] counts() {
        return new long[] {calls, tables};
    }
}
