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
 * Who observes whom in a view: the members are placed on several rings, each in an order of its own that depends only on the names,
 * and each member is observed by its predecessor on each ring (Suresh et al., Rapid, 2018). All that hold the view agree on
 * it without a message, and few places change from one view to the next. Immutable.
 */
final class ObserverRings {

    /** Upper bound of the rings, and so of the observers of each member. */
    static final int MAX_RINGS = 8;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long RING_SALT = 0x9e3779b97f4a7c15L;
    private static final long MIX_MULTIPLIER = 0xd6e8feb86659fd93L;
    private static final int FIRST_MIX_SHIFT = 32;
    private static final int SECOND_MIX_SHIFT = 29;

    /** The high threshold is this fraction of the observers, rounded up. */
    private static final int REMOVAL_NUMERATOR = 3;

    private static final int REMOVAL_DENOMINATOR = 4;
    /** The low threshold is the observers divided by this, rounded up. */
    private static final int DOUBT_DIVISOR = 3;

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

    /** Gives each member its nearest predecessor that does not observe it yet. */
    private void addObserversOfRing(List<String> order) {
        for (int place = 0; place < order.size(); place++) {
            Set<String> ownObservers = observers.get(order.get(place));
            for (int distance = 1; distance < order.size(); distance++) {
                String predecessor = order.get((place - distance + order.size()) % order.size());
                if (ownObservers.add(predecessor)) {
                    break;
                }
            }
        }
    }

    /** FNV-1a, salted with the ring, and then a step of multiplying and shifting that spreads short names. */
    private static long ringHash(String name, long ring) {
        long hash = FNV_OFFSET_BASIS ^ (ring * RING_SALT);
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> FIRST_MIX_SHIFT)) * MIX_MULTIPLIER;
        return hash ^ (hash >>> SECOND_MIX_SHIFT);
    }

    /** Those that observe a member; none for one that is no member. */
    Set<String> observers(String subject) {
        return observers.getOrDefault(subject, Set.of());
    }

    /** Those that a member observes. */
    List<String> subjects(String observer) {
        return subjects.getOrDefault(observer, List.of());
    }

    /** High threshold: a member is removed when so many of its observers find it unreachable; all of them up to two. */
    static int removalThreshold(int observers) {
        return observers <= 2
                ? Math.max(1, observers)
                : (observers * REMOVAL_NUMERATOR + REMOVAL_DENOMINATOR - 1) / REMOVAL_DENOMINATOR;
    }

    /** Low threshold: when so many observers find a member unreachable it is doubtful, and other changes wait for it. */
    static int doubtThreshold(int observers) {
        return Math.max(1, (observers + DOUBT_DIVISOR - 1) / DOUBT_DIVISOR);
    }
}
