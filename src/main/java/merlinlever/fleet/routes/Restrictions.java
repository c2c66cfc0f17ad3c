package merlinlever.fleet.routes;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Where a route may be exported and what may go along it, as its origin says; whoever exports the route exports these unchanged.
 *
 * @param allowedSites the only sites that may have it; null for all
 * @param deniedSites sites that may not have it
 * @param noExport whoever has it from its origin exports it to nobody (as NO_EXPORT in RFC 1997)
 * @param maxPathLength upper bound of the sites on the path, the origin among them
 * @param idempotentOnly only idempotent calls may go along it
 * @param customersOnly exported only to customers
 * @param unreadable they were not understood, and so forbid everything
 */
public record Restrictions(
        SortedSet<String> allowedSites,
        SortedSet<String> deniedSites,
        boolean noExport,
        int maxPathLength,
        boolean idempotentOnly,
        boolean customersOnly,
        boolean unreadable) {

    /** Upper bound of the sites on a path, whatever is said. */
    public static final int MAX_PATH_LENGTH = 16;

    /** Everything is allowed. */
    public static final Restrictions NONE =
            new Restrictions(null, new TreeSet<>(), false, MAX_PATH_LENGTH, false, false, false);

    /** Nothing is allowed. */
    public static final Restrictions UNREADABLE =
            new Restrictions(new TreeSet<>(), new TreeSet<>(), true, 1, true, true, true);

    /** Copies the sets. */
    public Restrictions {
        allowedSites = allowedSites == null ? null : Collections.unmodifiableSortedSet(new TreeSet<>(allowedSites));
        deniedSites = Collections.unmodifiableSortedSet(new TreeSet<>(deniedSites));
    }

    /** Whether the origin lets the site have the route, however it got there. */
    public boolean allows(String site) {
        return !unreadable && (allowedSites == null || allowedSites.contains(site)) && !deniedSites.contains(site);
    }

    /** Forbids all that either of the two forbids; the same in any order. */
    public Restrictions intersect(Restrictions other) {
        SortedSet<String> onlyToBoth = allowedSites == null ? other.allowedSites : new TreeSet<>(allowedSites);
        if (allowedSites != null && other.allowedSites != null) {
            onlyToBoth.retainAll(other.allowedSites);
        }
        SortedSet<String> notToEither = new TreeSet<>(deniedSites);
        notToEither.addAll(other.deniedSites);
        return new Restrictions(
                onlyToBoth,
                notToEither,
                noExport || other.noExport,
                Math.min(maxPathLength, other.maxPathLength),
                idempotentOnly || other.idempotentOnly,
                customersOnly || other.customersOnly,
                unreadable || other.unreadable);
    }
}
