package merlinlever.fleet.routes;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Restrictions that the origin of a route puts on its export and use. Each site that exports the route exports its
 * restrictions unchanged.
 *
 * @param allowedSites the only sites that may use the route; null for all sites
 * @param deniedSites sites that may not use the route
 * @param noExport whether sites that received the route from its origin must not export the route (as NO_EXPORT in
 *     RFC 1997)
 * @param maxPathLength maximum number of sites on the path, including the origin
 * @param idempotentOnly whether only idempotent calls may use the route
 * @param customersOnly whether the route may be exported only to customers
 * @param unreadable whether the restrictions could not be parsed, in which case they forbid everything
 */
public record Restrictions(
        SortedSet<String> allowedSites,
        SortedSet<String> deniedSites,
        boolean noExport,
        int maxPathLength,
        boolean idempotentOnly,
        boolean customersOnly,
        boolean unreadable) {

    /** Maximum number of sites on any path. */
    public static final int MAX_PATH_LENGTH = 16;

    /** Restrictions that forbid nothing. */
    public static final Restrictions NONE =
            new Restrictions(null, new TreeSet<>(), false, MAX_PATH_LENGTH, false, false, false);

    /** Restrictions that forbid everything. */
    public static final Restrictions UNREADABLE =
            new Restrictions(new TreeSet<>(), new TreeSet<>(), true, 1, true, true, true);

    /** Copies the sets. */
    public Restrictions {
        allowedSites = allowedSites == null ? null : Collections.unmodifiableSortedSet(new TreeSet<>(allowedSites));
        deniedSites = Collections.unmodifiableSortedSet(new TreeSet<>(deniedSites));
    }

    /** Whether the origin allows the site to use the route, regardless of the path. */
    public boolean allows(String site) {
        return !unreadable && (allowedSites == null || allowedSites.contains(site)) && !deniedSites.contains(site);
    }

    /** Returns restrictions that forbid everything that either of the two forbids. The operation is commutative. */
    public Restrictions intersect(Restrictions other) {
        SortedSet<String> allowedByBoth = allowedSites == null ? other.allowedSites : new TreeSet<>(allowedSites);
        if (allowedSites != null && other.allowedSites != null) {
            allowedByBoth.retainAll(other.allowedSites);
        }
        SortedSet<String> deniedByEither = new TreeSet<>(deniedSites);
        deniedByEither.addAll(other.deniedSites);
        return new Restrictions(
                allowedByBoth,
                deniedByEither,
                noExport || other.noExport,
                Math.min(maxPathLength, other.maxPathLength),
                idempotentOnly || other.idempotentOnly,
                customersOnly || other.customersOnly,
                unreadable || other.unreadable);
    }
}
