package merlinlever.routes;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Where a route may go and what may go along it, as its origin says; whoever passes it on passes these on as they are.
 *
 * @param onlyTo the only sites that may have it; null for all
 * @param notTo sites that may not have it
 * @param noExport whoever has it from its origin passes it on to nobody (as NO_EXPORT in RFC 1997)
 * @param maxSites at most so many sites on the way, the origin among them
 * @param idempotentOnly only retriable calls may go along it
 * @param customersOnly passed on only to customers
 * @param unreadable it says something that is not understood, and so forbids all
 */
public record Restrictions(
        SortedSet<String> onlyTo,
        SortedSet<String> notTo,
        boolean noExport,
        int maxSites,
        boolean idempotentOnly,
        boolean customersOnly,
        boolean unreadable) {

    /** Sites on the way at the most, whatever is said. */
    public static final int MAX_SITES = 16;

    public static final Restrictions NONE =
            new Restrictions(null, new TreeSet<>(), false, MAX_SITES, false, false, false);
    public static final Restrictions UNREADABLE =
            new Restrictions(new TreeSet<>(), new TreeSet<>(), true, 1, true, true, true);

    public Restrictions {
        onlyTo = onlyTo == null ? null : Collections.unmodifiableSortedSet(new TreeSet<>(onlyTo));
        notTo = Collections.unmodifiableSortedSet(new TreeSet<>(notTo));
    }

    /** Whether the origin lets the site have it, however it got there. */
    public boolean allows(String site) {
        return !unreadable && (onlyTo == null || onlyTo.contains(site)) && !notTo.contains(site);
    }

    /** All that either of the two forbids is forbidden; the same in any order. */
    public Restrictions intersect(Restrictions other) {
        SortedSet<String> only = onlyTo == null ? other.onlyTo : new TreeSet<>(onlyTo);
        if (onlyTo != null && other.onlyTo != null) {
            only.retainAll(other.onlyTo);
        }
        SortedSet<String> not = new TreeSet<>(notTo);
        not.addAll(other.notTo);
        return new Restrictions(
                only,
                not,
                noExport || other.noExport,
                Math.min(maxSites, other.maxSites),
                idempotentOnly || other.idempotentOnly,
                customersOnly || other.customersOnly,
                unreadable || other.unreadable);
    }
}
