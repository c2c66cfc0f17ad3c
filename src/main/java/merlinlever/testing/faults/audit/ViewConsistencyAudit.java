package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the fleet views that backends report: all backends report the same membership for a view number, and the number
 * never decreases within a run of a process. At most {@value #MAX_VIEWS} views are compared.
 */
public final class ViewConsistencyAudit {

    /**
     * The view that one backend reports.
     *
     * @param by name of the backend
     * @param run number of the run of its process
     * @param quorumStatus its quorum status
     * @param number of the view; 0 without a view
     * @param digest of the number and the members
     * @param members number of members
     */
    public record ReportedView(String by, int run, String quorumStatus, long number, String digest, int members) {}

    static final int MAX_VIEWS = 10_000;

    private final Map<Long, ReportedView> viewsByNumber = new TreeMap<>();
    private final Map<String, ReportedView> lastByBackend = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();

    /** Records the view that a backend reports. */
    public void recordReport(ReportedView report) {
        ReportedView previous = lastByBackend.put(report.by(), report);
        if (previous != null && previous.run() == report.run() && report.number() < previous.number()) {
            violations.add(report.by() + " went back from view " + previous.number() + " to " + report.number());
        }
        if (report.number() == 0 || viewsByNumber.size() >= MAX_VIEWS) {
            return;
        }
        ReportedView first = viewsByNumber.putIfAbsent(report.number(), report);
        if (first != null
                && (first.members() != report.members() || !first.digest().equals(report.digest()))) {
            violations.add("view " + report.number() + " is " + first.digest() + " at " + first.by() + " and "
                    + report.digest() + " at " + report.by());
        }
    }

    /** Returns all violations, one line each. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of different views that were reported. */
    public int viewCount() {
        return viewsByNumber.size();
    }

    /** Returns the last report of each backend, by name. */
    public Map<String, ReportedView> lastReports() {
        return new TreeMap<>(lastByBackend);
    }
}
