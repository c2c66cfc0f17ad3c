package merlinlever.fleet.view;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collections;
import java.util.HexFormat;
import java.util.SortedSet;
import java.util.TreeSet;
import merlinlever.common.log.LogEvent;

/**
 * The members of the fleet at one time. View numbers only increase: the upper bits hold the term of the leader and the
 * lower bits count the views of that term. Each number belongs to exactly one set of members.
 *
 * @param number 0 before the first view
 * @param digest hash of the number and the members, which reveals two different views with the same number
 * @param members names of the backends
 */
public record MembershipView(long number, String digest, SortedSet<String> members) {

    /** The view of a backend that has not adopted any view yet. */
    public static final MembershipView NONE = new MembershipView(0, "-", Collections.emptySortedSet());

    private static final int COUNT_BITS = 20;
    private static final long COUNT_MASK = (1L << COUNT_BITS) - 1;
    private static final int DIGEST_BYTES = 6;

    /** Largest number of members whose names fit into one payload. */
    public static final int MAX_MEMBERS = 1000;

    /** Copies the members. */
    public MembershipView {
        members = Collections.unmodifiableSortedSet(new TreeSet<>(members));
    }

    /** Returns the number of the {@code count}-th view of a term; counts start at 1. */
    public static long numberOf(long term, int count) {
        return (term << COUNT_BITS) | count;
    }

    /** Returns whether the count fits into the lower bits of a view number. */
    public static boolean isValidCount(int count) {
        return count < 1 << COUNT_BITS;
    }

    /** Creates a view and computes its digest. */
    public static MembershipView of(long number, SortedSet<String> members) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((number + "\n" + String.join("\n", members)).getBytes(StandardCharsets.US_ASCII));
            return new MembershipView(number, HexFormat.of().formatHex(sha.digest(), 0, DIGEST_BYTES), members);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Returns the term of the leader that created this view. */
    public long term() {
        return termOf(number);
    }

    static long termOf(long number) {
        return number >> COUNT_BITS;
    }

    /** Returns the term and the count of this view, for example {@code 3.14}. */
    public String displayNumber() {
        return formatNumber(number);
    }

    /** Formats a view number as term and count, for example {@code 3.14}. */
    public static String formatNumber(long number) {
        return termOf(number) + "." + (number & COUNT_MASK);
    }

    /** Returns a short description of the view for messages. */
    public String describe() {
        return "view=" + displayNumber() + " digest=" + digest + " members=" + members.size();
    }

    /** Returns the event with the number, digest and size of this view added as fields. */
    LogEvent addTo(LogEvent event) {
        return event.with("view", displayNumber()).with("digest", digest).with("members", members.size());
    }
}
