package merlinlever.fleet.view;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;

/**
 * Assigns observers to the members of a view. The members are placed on several rings, each with a different order that
 * depends only on the names, and each member is observed by its predecessor on each ring (Suresh et al., Rapid, 2018).
 * All backends with the same view compute the same assignment without communication, and a change of the view affects
 * only a few assignments. Immutable.
 */
final class ObserverRings {

    /** Maximum number of rings, which is also the maximum number of observers per member. */
    static final int MAX_RINGS = 8;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long RING_SALT = 0x9e3779b97f4a7c15L;
    private static final long MIX_MULTIPLIER = 0xd6e8feb86659fd93L;
    private static final int FIRST_MIX_SHIFT = 32;
    private static final int SECOND_MIX_SHIFT = 29;

    /** The high threshold is the number of observers times numerator / denominator, rounded up. */
    private static final int HIGH_THRESHOLD_NUMERATOR = 3;

    private static final int HIGH_THRESHOLD_DENOMINATOR = 4;
    /** The low threshold is the number of observers divided by this value, rounded up. */
    private static final int LOW_THRESHOLD_DIVISOR = 3;

    private final Map<String, Set<String>> observers = new HashMap<>();
    private final Map<String, List<String>> subjects = new HashMap<>();

    ObserverRings(SortedSet<String> members) {
        for (String member : members) {
            observers.put(member, new LinkedHashSet<>());
            subjects.put(member, new ArrayList<>());
        }
        int rings = Math.min(MAX_RINGS, members.size() - 1);
        for (int ring = 0; ring < rings; ring++) {
            addObserversOfRing(ringOrder(members, ring));
        }
        for (String member : members) {
            observers.get(member).forEach(observer -> subjects.get(observer).add(member));
        }
    }

    private static List<String> ringOrder(SortedSet<String> members, long ring) {
        Map<String, Long> positions = new HashMap<>();
        members.forEach(member -> positions.put(member, ringHash(member, ring)));
        List<String> order = new ArrayList<>(members);
        order.sort(Comparator.<String>comparingLong(positions::get).thenComparing(Comparator.naturalOrder()));
        return order;
    }

    /** Adds to each member the nearest predecessor that is not yet one of its observers. */
    private void addObserversOfRing(List<String> order) {
        for (int position = 0; position < order.size(); position++) {
            Set<String> memberObservers = observers.get(order.get(position));
            for (int distance = 1; distance < order.size(); distance++) {
                String predecessor = order.get((position - distance + order.size()) % order.size());
                if (memberObservers.add(predecessor)) {
                    break;
                }
            }
        }
    }

    /** Hashes a name with FNV-1a, salted with the ring, and applies a final mixing step, which short names need. */
    private static long ringHash(String name, long ring) {
        long hash = FNV_OFFSET_BASIS ^ (ring * RING_SALT);
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> FIRST_MIX_SHIFT)) * MIX_MULTIPLIER;
        return hash ^ (hash >>> SECOND_MIX_SHIFT);
    }

    /** Returns the observers of a member; empty if the backend is not a member. */
    Set<String> observers(String subject) {
        return observers.getOrDefault(subject, Set.of());
    }

    /** Returns the members that the observer observes; empty if the observer is not a member. */
    List<String> subjects(String observer) {
        return subjects.getOrDefault(observer, List.of());
    }

    /** Returns the number of observers whose reports remove a member; with one or two observers, reports of all. */
    static int highThreshold(int observers) {
        return observers <= 2
                ? Math.max(1, observers)
                : (observers * HIGH_THRESHOLD_NUMERATOR + HIGH_THRESHOLD_DENOMINATOR - 1) / HIGH_THRESHOLD_DENOMINATOR;
    }

    /**
     * Returns the number of observers whose reports make a member unstable, which delays the removal of other members.
     */
    static int lowThreshold(int observers) {
        return Math.max(1, (observers + LOW_THRESHOLD_DIVISOR - 1) / LOW_THRESHOLD_DIVISOR);
    }
}
