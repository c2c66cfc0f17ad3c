package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the fleet views that backends report: a number stands for one membership, whoever reports it, and the number never
 * decreases within a run of a process. At most {@value #MAX_VIEWS} views are compared.
 */
public final class ViewConsistencyAudit {

    /**
     * The view of one backend.
     *
     * @param by who reported it
     * @param run counts the runs of its process
     * @param quorumStatus its quorum status
     * @param number of the view, 0 for none
     * @param digest of the number and the members
     * @param members how many there are
     */
    public record ReportedView(String by, int run, String quorumStatus, long number, String digest, int members) {}

    static final int MAX_VIEWS = 10_000;

    private final Map<Long, ReportedView> viewsByNumber = new TreeMap<>();
    private final Map<String, ReportedView> lastByBackend = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();

    /** A backend reported its view. */
    public void recordReport(ReportedView now) {
        ReportedView before = lastByBackend.put(now.by(), now);
        if (before != null && before.run() == now.run() && now.number() < before.number()) {
            violations.add(now.by() + " went back from view " + before.number() + " to " + now.number());
        }
        if (now.number() == 0 || viewsByNumber.size() >= MAX_VIEWS) {
            return;
        }
        ReportedView other = viewsByNumber.putIfAbsent(now.number(), now);
        if (other != null
                && (other.members() != now.members() || !other.digest().equals(now.digest()))) {
            violations.add("view " + now.number() + " is " + other.digest() + " at " + other.by() + " and "
                    + now.digest() + " at " + now.by());
        }
    }

    /** All violations, one line each. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** How many different views were reported. */
    public int viewCount() {
        return viewsByNumber.size();
    }

    /** The last report of each backend, by its name. */
    public Map<String, ReportedView> lastReports() {
        return new TreeMap<>(lastByBackend);
    }
}
