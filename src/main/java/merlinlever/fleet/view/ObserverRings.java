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
        long hash = 0xcbf29ce484222325L ^ (ring * 0x9e3779b97f4a7c15L);
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 32)) * 0xd6e8feb86659fd93L;
        return hash ^ (hash >>> 29);
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
        return observers <= 2 ? Math.max(1, observers) : (observers * 3 + 3) / 4;
    }

    /** Low threshold: when so many observers find a member unreachable it is doubtful, and other changes wait for it. */
    static int doubtThreshold(int observers) {
        return Math.max(1, (observers + 2) / 3);
    }
}
