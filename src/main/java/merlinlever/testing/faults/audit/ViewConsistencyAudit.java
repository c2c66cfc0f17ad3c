package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What backends tell of their views, held against the rules: one number is one membership, whoever tells it, and in one life
 * of a process its number goes forward alone. Views that were seen at the most: {@link #MOST}.
 */
public final class ViewConsistencyAudit {

    /** What one of them told; the digest is of the number and of who is in it. */
    public record ReportedView(String by, int life, String standing, long number, String digest, int members) {}

    static final int MOST = 10_000;

    private final Map<Long, ReportedView> views = new TreeMap<>();
    private final Map<String, ReportedView> last = new TreeMap<>();
    private final List<String> breaches = new ArrayList<>();

    public void told(ReportedView now) {
        ReportedView before = last.put(now.by(), now);
        if (before != null && before.life() == now.life() && now.number() < before.number()) {
            breaches.add(now.by() + " went back from view " + before.number() + " to " + now.number());
        }
        if (now.number() == 0 || views.size() >= MOST) {
            return;
        }
        ReportedView other = views.putIfAbsent(now.number(), now);
        if (other != null
                && (other.members() != now.members() || !other.digest().equals(now.digest()))) {
            breaches.add("view " + now.number() + " is " + other.digest() + " at " + other.by() + " and " + now.digest()
                    + " at " + now.by());
        }
    }

    public List<String> breaches() {
        return List.copyOf(breaches);
    }

    /** How many views were seen. */
    public int views() {
        return views.size();
    }

    /** What each told last. */
    public Map<String, ReportedView> last() {
        return new TreeMap<>(last);
    }
}
