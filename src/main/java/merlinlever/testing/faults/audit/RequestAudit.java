package merlinlever.testing.faults.audit;

import java.net.HttpURLConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the rules for requests by what is visible outside the backends: what clients sent and were answered, and what the
 * agents ran. A request may have several attempts; it takes effect at most once, its result is one that a run produced, and
 * each attempt is answered in time.
 */
public final class RequestAudit {

    private static final int MAX_LISTED = 50;
    /** RFC 6585. */
    private static final int HTTP_TOO_MANY_REQUESTS = 429;

    private final Map<String, List<String>> effectsByRequest = new HashMap<>();
    private final Map<String, Set<String>> resultsByRequest = new HashMap<>();
    private final Set<String> startedAttempts = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private long violationCount;
    private long served;
    private long rejected;
    private long failed;
    private long unanswered;

    private void addViolation(String what) {
        violationCount++;
        if (violations.size() < MAX_LISTED) {
            violations.add(what);
        }
    }

    /** The execution of an attempt started. */
    public void recordStart(String id) {
        startedAttempts.add(id);
    }

    /** The execution of an attempt at that backend took effect. */
    public void recordEffect(String request, String id, String at) {
        List<String> by = effectsByRequest.computeIfAbsent(request, none -> new ArrayList<>(1));
        by.add(id + " at " + at);
        if (by.size() > 1) {
            addViolation("effect twice: operation " + request + ", by " + String.join(" and ", by));
        }
    }

    /** An execution of the request produced that result. */
    public void recordResult(String request, String result) {
        resultsByRequest.computeIfAbsent(request, none -> new HashSet<>(2)).add(result);
    }

    /**
     * An attempt was answered.
     *
     * @param lateMs how long after its deadline and a tolerance; negative if it was in time
     */
    public void recordResponse(String request, String id, int status, String body, long lateMs) {
        if (lateMs > 0) {
            addViolation("late: try " + id + " of " + request + " was answered " + status + " " + lateMs
                    + " ms after its due time");
        }
        if (status == HttpURLConnection.HTTP_OK) {
            served++;
            if (!resultsByRequest.getOrDefault(request, Set.of()).contains(body)) {
                addViolation("no run made it: try " + id + " of " + request + " was satisfied with '" + body + "'");
            }
        } else if (status == HttpURLConnection.HTTP_UNAVAILABLE || status == HTTP_TOO_MANY_REQUESTS) {
            rejected++;
            if (startedAttempts.contains(id)) {
                addViolation("pushed back after it began: try " + id + " of " + request);
            }
        } else {
            failed++;
        }
    }

    /**
     * An attempt ended without an answer.
     *
     * @param excused whether its backend was killed or its client had gone
     */
    public void recordNoResponse(String request, String id, boolean excused, String how) {
        unanswered++;
        if (!excused) {
            addViolation("lost: try " + id + " of " + request + ", " + how);
        }
    }

    /** The first {@value #MAX_LISTED} violations, one line each. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** How many violations there were. */
    public long violationCount() {
        return violationCount;
    }

    /** Attempts served, rejected, failed and unanswered; requests that took effect. */
    public long[] counts() {
        return new long[] {served, rejected, failed, unanswered, effectsByRequest.size()};
    }
}
