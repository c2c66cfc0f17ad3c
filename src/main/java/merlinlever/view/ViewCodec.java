package merlinlever.view;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Views as octets: whole, or as the difference from an earlier one that the other holds. Lines: a mark, the number, the
 * digest, the number that it differs from (0: from nothing), then {@code +name} and {@code -name}.
 */
final class ViewCodec {

    private static final String HEADER = "view 1";
    /** Earlier views that are kept for differences. */
    private static final int MAX_KEPT_VIEWS = 8;

    private final ArrayDeque<MembershipView> recentViews = new ArrayDeque<>();

    /** The latest; the ones before it are kept for a while. */
    void remember(MembershipView view) {
        recentViews.addLast(view);
        if (recentViews.size() > MAX_KEPT_VIEWS) {
            recentViews.removeFirst();
        }
    }

    /** The view for one that holds the view of that number. */
    byte[] encode(MembershipView view, long from) {
        MembershipView base = MembershipView.NONE;
        for (MembershipView each : recentViews) {
            base = each.number() == from ? each : base;
        }
        StringBuilder text = new StringBuilder(HEADER)
                .append('\n')
                .append(Long.toString(view.number(), 36))
                .append('\n')
                .append(view.digest())
                .append('\n')
                .append(Long.toString(base.number(), 36))
                .append('\n');
        for (String name : base.members()) {
            text.append(view.members().contains(name) ? "" : "-" + name + "\n");
        }
        for (String name : view.members()) {
            text.append(base.members().contains(name) ? "" : "+" + name + "\n");
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    static boolean isViewPayload(byte[] body) {
        return new String(body, 0, Math.min(body.length, HEADER.length() + 1), StandardCharsets.US_ASCII)
                .equals(HEADER + "\n");
    }

    /** The view, or null where it is none, does not fit its digest, or differs from one that is not kept here. */
    MembershipView decode(byte[] body) {
        String[] line = new String(body, StandardCharsets.US_ASCII).split("\n");
        try {
            long number = Long.parseLong(line[1], 36);
            long from = Long.parseLong(line[3], 36);
            SortedSet<String> members = null;
            if (from == 0) {
                members = new TreeSet<>();
            }
            for (MembershipView each : recentViews) {
                members = from != 0 && each.number() == from ? new TreeSet<>(each.members()) : members;
            }
            if (members == null || number <= from) {
                return null;
            }
            for (int i = 4; i < line.length; i++) {
                if (line[i].startsWith("+")) {
                    members.add(line[i].substring(1));
                } else {
                    members.remove(line[i].substring(1));
                }
            }
            MembershipView view = members.size() > MembershipView.MAX_MEMBERS ? null : MembershipView.of(number, members);
            return view != null && view.digest().equals(line[2]) ? view : null;
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            return null;
        }
    }
}
