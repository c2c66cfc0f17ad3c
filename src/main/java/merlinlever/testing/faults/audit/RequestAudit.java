package merlinlever.testing.faults.audit;

import java.net.HttpURLConnection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the safety rules for requests from outside the backends, using the attempts and responses of the clients and
 * the executions of the agents. A request, which may have several attempts, takes effect at most once; its result comes
 * from an execution; and each attempt is answered in time.
 */
public final class RequestAudit {

    private static final int MAX_LISTED = 50;
    /** Status code of RFC 6585. */
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

    private void addViolation(String description) {
        violationCount++;
        if (violations.size() < MAX_LISTED) {
            violations.add(description);
        }
    }

    /** Records the start of an execution. */
    public void recordStart(String attempt) {
        startedAttempts.add(attempt);
    }

    /** Records that an execution of the request took effect. */
    public void recordEffect(String request, String attempt, String backend) {
        List<String> effects = effectsByRequest.computeIfAbsent(request, key -> new ArrayList<>(1));
        effects.add(attempt + " at " + backend);
        if (effects.size() > 1) {
            addViolation("duplicate effect: request " + request + ", by attempts " + String.join(" and ", effects));
        }
    }

    /** Records the result of an execution of the request. */
    public void recordResult(String request, String result) {
        resultsByRequest.computeIfAbsent(request, key -> new HashSet<>(2)).add(result);
    }

    /**
     * Records the response to an attempt.
     *
     * @param lateMs time since the deadline, less a tolerance; negative if the response was in time
     */
    public void recordResponse(String request, String attempt, int status, String body, long lateMs) {
        if (lateMs > 0) {
            addViolation("late response: attempt " + attempt + " of " + request + " got status " + status + " " + lateMs
                    + " ms after its deadline");
        }
        if (status == HttpURLConnection.HTTP_OK) {
            served++;
            if (!resultsByRequest.getOrDefault(request, Set.of()).contains(body)) {
                addViolation("unknown result: attempt " + attempt + " of " + request + " got '" + body
                        + "', which no execution produced");
            }
        } else if (status == HttpURLConnection.HTTP_UNAVAILABLE || status == HTTP_TOO_MANY_REQUESTS) {
            rejected++;
            if (startedAttempts.contains(attempt)) {
                addViolation("rejected after the start of its execution: attempt " + attempt + " of " + request);
            }
        } else {
            failed++;
        }
    }

    /**
     * Records an attempt that ended without a response.
     *
     * @param excused whether a fault explains the missing response
     */
    public void recordNoResponse(String request, String attempt, boolean excused, String reason) {
        unanswered++;
        if (!excused) {
            addViolation("no response: attempt " + attempt + " of " + request + ", " + reason);
        }
    }

    /** Returns the first {@value #MAX_LISTED} violations, one line each. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of violations, including those that are not listed. */
    public long violationCount() {
        return violationCount;
    }

    /** Returns the numbers of attempts served, rejected, failed and unanswered, and of requests that took effect. */
    public long[] counts() {
        return new long[] {served, rejected, failed, unanswered, effectsByRequest.size()};
    }
}
