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
 * Who belongs to the fleet at one time. Numbers only go up (a leader's term in the upper bits, a count within the term in the
 * lower ones), and of one number there is one membership.
 *
 * @param number 0 before the first view
 * @param digest of the number and the members, to tell apart two memberships under one number
 * @param members names of the backends
 */
public record MembershipView(long number, String digest, SortedSet<String> members) {

    /** Before the first view. */
    public static final MembershipView NONE = new MembershipView(0, "-", Collections.emptySortedSet());

    private static final int COUNT_BITS = 20;
    private static final long COUNT_MASK = (1L << COUNT_BITS) - 1;
    private static final int DIGEST_BYTES = 6;

    /** More names would not fit one payload. */
    public static final int MAX_MEMBERS = 1000;

    /** Copies the members. */
    public MembershipView {
        members = Collections.unmodifiableSortedSet(new TreeSet<>(members));
    }

    /** The number of a term's view of that count, from 1 on. */
    public static long numberOf(long term, int count) {
        return (term << COUNT_BITS) | count;
    }

    /** Whether a term has a number for a view of that count. */
    public static boolean isValidCount(int count) {
        return count < 1 << COUNT_BITS;
    }

    /** A view with its digest. */
    public static MembershipView of(long number, SortedSet<String> members) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((number + "\n" + String.join("\n", members)).getBytes(StandardCharsets.US_ASCII));
            return new MembershipView(number, HexFormat.of().formatHex(sha.digest(), 0, DIGEST_BYTES), members);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** The term of the leader that numbered this view. */
    public long term() {
        return termOf(number);
    }

    static long termOf(long number) {
        return number >> COUNT_BITS;
    }

    /** Term and count, such as {@code 3.14}. */
    public String displayNumber() {
        return formatNumber(number);
    }

    /** The term and count of a number, such as {@code 3.14}. */
    public static String formatNumber(long number) {
        return termOf(number) + "." + (number & COUNT_MASK);
    }

    /** The view in a few words, for messages. */
    public String describe() {
        return "view=" + displayNumber() + " digest=" + digest + " members=" + members.size();
    }

    /** The event with fields that name this view. */
    LogEvent addTo(LogEvent event) {
        return event.with("view", displayNumber()).with("digest", digest).with("members", members.size());
    }
}
