package merlinlever.testing.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.fleet.view.MembershipView;

/** What is held of views at each step of a model: one membership of each number, and at each process numbers that only go up. */
final class ViewInvariants {

    private static final int MOST = 5;

    final TreeMap<Long, MembershipView> numbered = new TreeMap<>();
    final List<String> breaches = new ArrayList<>();
    private final Map<String, Long> highest = new TreeMap<>();

    /** The process holds that view; {@code before} is the number it held at the last step. */
    void holds(long now, String name, int place, long before, MembershipView view) {
        MembershipView same = numbered.putIfAbsent(view.number(), view);
        if (same != null && !same.members().equals(view.members())) {
            breach(now, name + " holds another membership under " + view.describe());
        }
        if (view.number() != before) {
            String whose = place + name;
            // A life that holds nothing yet has gone nowhere.
            if (view.number() < highest.getOrDefault(whose, 0L)) {
                breach(now, name + " went back to " + view.describe());
            }
            highest.merge(whose, view.number(), Math::max);
        }
    }

    /** Memberships that followed on another one since that number. */
    int changesSince(long number) {
        int changes = 0;
        MembershipView before = numbered.get(number);
        for (MembershipView view : numbered.tailMap(number, false).values()) {
            changes += before != null && before.members().equals(view.members()) ? 0 : 1;
            before = view;
        }
        return changes;
    }

    void breach(long now, String what) {
        if (breaches.size() < MOST) {
            breaches.add(now + " ms: " + what);
        }
    }
}
