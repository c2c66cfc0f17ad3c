package merlinlever.fleet.view;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Encodes views either completely or as the difference from a base view that the receiver has. The payload consists of
 * lines in ASCII: a header, the view number, the digest, the number of the base view (0 for none), then {@code +name}
 * for each added member and {@code -name} for each removed one. Numbers are in base 36. Not thread-safe.
 */
final class ViewCodec {

    private static final String HEADER = "view 1";
    private static final int RADIX = 36;
    private static final int MAX_RECENT_VIEWS = 8;
    private static final int NUMBER_LINE = 1;
    private static final int DIGEST_LINE = 2;
    private static final int BASE_NUMBER_LINE = 3;
    private static final int FIRST_NAME_LINE = 4;

    /** Views that can be the base of a difference, oldest first. */
    private final ArrayDeque<MembershipView> recentViews = new ArrayDeque<>();

    /** Adds a view to the possible base views, and drops the oldest one if there are too many. */
    void remember(MembershipView view) {
        recentViews.addLast(view);
        if (recentViews.size() > MAX_RECENT_VIEWS) {
            recentViews.removeFirst();
        }
    }

    /** Returns the recent view with this number, or {@link MembershipView#NONE}. */
    private MembershipView findRecent(long number) {
        MembershipView found = MembershipView.NONE;
        for (MembershipView view : recentViews) {
            if (view.number() == number) {
                found = view;
            }
        }
        return found;
    }

    /**
     * Encodes the view as the difference from the base view; encodes the complete view if the base view is not recent.
     */
    byte[] encode(MembershipView view, long baseNumber) {
        MembershipView base = findRecent(baseNumber);
        StringBuilder text = new StringBuilder();
        text.append(HEADER).append('\n');
        text.append(Long.toString(view.number(), RADIX)).append('\n');
        text.append(view.digest()).append('\n');
        text.append(Long.toString(base.number(), RADIX)).append('\n');
        for (String name : base.members()) {
            if (!view.members().contains(name)) {
                text.append('-').append(name).append('\n');
            }
        }
        for (String name : view.members()) {
            if (!base.members().contains(name)) {
                text.append('+').append(name).append('\n');
            }
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns whether the payload starts with the header of a view. */
    static boolean isViewPayload(byte[] payload) {
        int headerLength = Math.min(payload.length, HEADER.length() + 1);
        return new String(payload, 0, headerLength, StandardCharsets.US_ASCII).equals(HEADER + "\n");
    }

    /** Returns the view, or null if the payload is malformed, its digest is wrong or its base view is not recent. */
    MembershipView decode(byte[] payload) {
        String[] lines = new String(payload, StandardCharsets.US_ASCII).split("\n");
        try {
            long number = Long.parseLong(lines[NUMBER_LINE], RADIX);
            String digest = lines[DIGEST_LINE];
            long baseNumber = Long.parseLong(lines[BASE_NUMBER_LINE], RADIX);
            MembershipView base = findRecent(baseNumber);
            if (base.number() != baseNumber || number <= baseNumber) {
                return null;
            }
            SortedSet<String> members = new TreeSet<>(base.members());
            for (int i = FIRST_NAME_LINE; i < lines.length; i++) {
                String name = lines[i].substring(1);
                if (lines[i].startsWith("+")) {
                    members.add(name);
                } else {
                    members.remove(name);
                }
            }
            if (members.size() > MembershipView.MAX_MEMBERS) {
                return null;
            }
            MembershipView view = MembershipView.of(number, members);
            return view.digest().equals(digest) ? view : null;
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return null;
        }
    }
}
