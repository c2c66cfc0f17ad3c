package merlinlever.view;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collections;
import java.util.HexFormat;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Who belongs to the fleet at one time. Numbers go up alone (a leader's term in the upper half, a count within it below), and
 * of one number there is one membership.
 *
 * @param number 0 before the first
 * @param digest of the number and the members, for telling apart
 */
public record MembershipView(long number, String digest, SortedSet<String> members) {

    public static final MembershipView NONE = new MembershipView(0, "-", Collections.emptySortedSet());
    private static final int COUNT_BITS = 20;
    /** Members at the most; more names would not fit one body. */
    public static final int MAX_MEMBERS = 1000;

    public MembershipView {
        members = Collections.unmodifiableSortedSet(new TreeSet<>(members));
    }

    /** The number of the count-th view (from 1) of a term. */
    public static long number(long term, int count) {
        return term << COUNT_BITS | count;
    }

    /** Whether the term has a number left for a count-th view. */
    public static boolean isValidCount(int count) {
        return count < 1 << COUNT_BITS;
    }

    /** Of that number and these members, with their digest. */
    public static MembershipView of(long number, SortedSet<String> members) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((number + "\n" + String.join("\n", members)).getBytes(StandardCharsets.US_ASCII));
            return new MembershipView(number, HexFormat.of().formatHex(sha.digest(), 0, 6), members);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    public long term() {
        return term(number);
    }

    static long term(long number) {
        return number >> COUNT_BITS;
    }

    /** The term and the place within it. */
    public String displayNumber() {
        return displayNumber(number);
    }

    static String displayNumber(long number) {
        return (number >> COUNT_BITS) + "." + (number & (1 << COUNT_BITS) - 1);
    }

    /** As operators see it. */
    public String describe() {
        return number == 0 ? "none" : displayNumber() + " (" + digest + ", " + members.size() + " members)";
    }
}
