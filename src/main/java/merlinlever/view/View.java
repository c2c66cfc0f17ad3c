package merlinlever.view;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Who belongs to the fleet at one time. Numbers go up alone (a leader's term in the upper half, a count within it below), and
 * of one number there is one membership.
 *
 * @param number 0 before the first
 * @param digest of the number and the members, for telling apart
 */
public record View(long number, String digest, SortedSet<String> members) {

    public static final View NONE = new View(0, "-", Collections.emptySortedSet());
    private static final int COUNTS = 20;

    public View {
        members = Collections.unmodifiableSortedSet(new TreeSet<>(members));
    }

    /** The number of the count-th view (from 1) of a term. */
    public static long number(long term, int count) {
        return term << COUNTS | count;
    }

    public long term() {
        return number >> COUNTS;
    }
}
