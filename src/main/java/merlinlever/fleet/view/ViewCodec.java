package merlinlever.fleet.view;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Views as bytes: complete, or as the difference from an earlier view that the receiver holds. Lines of ASCII: a header, the
 * number, the digest, the number of the base view (0: none), then {@code +name} and {@code -name}; numbers in base 36. Not
 * thread-safe.
 */
final class ViewCodec {

    private static final String HEADER = "view 1";
    private static final int RADIX = 36;
    private static final int MAX_REMEMBERED_VIEWS = 8;
    private static final int NUMBER_LINE = 1;
    private static final int DIGEST_LINE = 2;
    private static final int BASE_NUMBER_LINE = 3;
    private static final int FIRST_NAME_LINE = 4;

    /** Views that may be the base of a difference, the oldest first. */
    private final ArrayDeque<MembershipView> rememberedViews = new ArrayDeque<>();

    /** Keeps a view for a while as a base of differences. */
    void remember(MembershipView view) {
        rememberedViews.addLast(view);
        if (rememberedViews.size() > MAX_REMEMBERED_VIEWS) {
            rememberedViews.removeFirst();
        }
    }

    /** The remembered view of a number; {@link MembershipView#NONE} where there is none. */
    private MembershipView findRemembered(long number) {
        MembershipView found = MembershipView.NONE;
        for (MembershipView view : rememberedViews) {
            if (view.number() == number) {
                found = view;
            }
        }
        return found;
    }

    /** The view as bytes for a receiver that holds the view of the base number: complete where that one is not remembered. */
    byte[] encode(MembershipView view, long baseNumber) {
        MembershipView base = findRemembered(baseNumber);
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

    /** Whether a payload claims to be a view, and not one of another part of the program. */
    static boolean isViewPayload(byte[] payload) {
        int headerLength = Math.min(payload.length, HEADER.length() + 1);
        return new String(payload, 0, headerLength, StandardCharsets.US_ASCII).equals(HEADER + "\n");
    }

    /** The view, or null where the payload is malformed, fails its digest, or is based on a view that is not remembered. */
    MembershipView decode(byte[] payload) {
        String[] lines = new String(payload, StandardCharsets.US_ASCII).split("\n");
        try {
            long number = Long.parseLong(lines[NUMBER_LINE], RADIX);
            String digest = lines[DIGEST_LINE];
            long baseNumber = Long.parseLong(lines[BASE_NUMBER_LINE], RADIX);
            MembershipView base = findRemembered(baseNumber);
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
