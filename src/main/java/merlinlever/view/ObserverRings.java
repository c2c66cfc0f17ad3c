package merlinlever.view;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;

/**
 * Who observes whom in a view: the members stand in some rings, each ring in an order of its own that hangs on the names
 * alone, and each is observed by the one before it in each ring (Suresh et al., Rapid, 2018). All that hold the view agree
 * on it without a word, and few places change from one view to the next.
 */
final class ObserverRings {

    /** Rings, and so observers of each, at the most. */
    static final int MAX_RINGS = 8;

    private final Map<String, Set<String>> observers = new HashMap<>();
    private final Map<String, List<String>> subjects = new HashMap<>();

    ObserverRings(SortedSet<String> members) {
        int k = Math.min(MAX_RINGS, members.size() - 1);
        members.forEach(name -> {
            observers.put(name, new LinkedHashSet<>());
            subjects.put(name, new ArrayList<>());
        });
        for (int ring = 0; ring < k; ring++) {
            long salt = ring;
            List<String> order = new ArrayList<>(members);
            Map<String, Long> place = new HashMap<>();
            order.forEach(name -> place.put(name, ringHash(name, salt)));
            order.sort(Comparator.<String>comparingLong(place::get).thenComparing(Comparator.naturalOrder()));
            for (int i = 0; i < order.size(); i++) {
                Set<String> of = observers.get(order.get(i));
                // The nearest before it that does not observe it yet.
                for (int back = 1; back < order.size(); back++) {
                    if (of.add(order.get((i - back + order.size()) % order.size()))) {
                        break;
                    }
                }
            }
        }
        for (String name : members) {
            observers.get(name).forEach(observer -> subjects.get(observer).add(name));
        }
    }

    private static long ringHash(String name, long salt) {
        long hash = 0xcbf29ce484222325L ^ salt * 0x9e3779b97f4a7c15L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L;
        return hash ^ hash >>> 29;
    }

    /** Those that observe it; nobody for one that is no member. */
    Set<String> observers(String subject) {
        return observers.getOrDefault(subject, Set.of());
    }

    /** Those that it observes. */
    List<String> subjects(String observer) {
        return subjects.getOrDefault(observer, List.of());
    }

    /** So many observers that hold one gone take it out. */
    static int removalThreshold(int observers) {
        return observers <= 2 ? Math.max(1, observers) : (observers * 3 + 3) / 4;
    }

    /** So many make it doubtful, and what is doubtful is waited for. */
    static int doubtThreshold(int observers) {
        return Math.max(1, (observers + 2) / 3);
    }
}
