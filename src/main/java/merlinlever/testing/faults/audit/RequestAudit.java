package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The rules for operations, by what passed outside the processes alone: what callers sent and were answered, and what the
 * parties called saw run and have its effect. Decisions alone; each breach names the operation.
 */
public final class RequestAudit {

    private static final int MOST = 50;

    private final Map<String, List<String>> effects = new HashMap<>();
    private final Map<String, Set<String>> results = new HashMap<>();
    private final Set<String> launched = new HashSet<>();
    private final List<String> breaches = new ArrayList<>();
    private long breached, served, pushedBack, failed, unanswered;

    private void breach(String what) {
        breached++;
        if (breaches.size() < MOST) {
            breaches.add(what);
        }
    }

    /** A run of the try began. */
    public void launched(String id) {
        launched.add(id);
    }

    /** The operation's work had its effect, by a run of this try at that backend. */
    public void effect(String operation, String id, String at) {
        List<String> by = effects.computeIfAbsent(operation, none -> new ArrayList<>(1));
        by.add(id + " at " + at);
        if (by.size() > 1) {
            breach("effect twice: operation " + operation + ", by " + String.join(" and ", by));
        }
    }

    /** A run of the operation was satisfied with that result. */
    public void made(String operation, String result) {
        results.computeIfAbsent(operation, none -> new HashSet<>(2)).add(result);
    }

    /** The try was answered; {@code lateMs} is how long after its due time, with the slack, or below 0. */
    public void answered(String operation, String id, int status, String body, long lateMs) {
        if (lateMs > 0) {
            breach("late: try " + id + " of " + operation + " was answered " + status + " " + lateMs
                    + " ms after its due time");
        }
        if (status == 200) {
            served++;
            if (!results.getOrDefault(operation, Set.of()).contains(body)) {
                breach("no run made it: try " + id + " of " + operation + " was satisfied with '" + body + "'");
            }
        } else if (status == 503 || status == 429) {
            pushedBack++;
            if (launched.contains(id)) {
                breach("pushed back after it began: try " + id + " of " + operation);
            }
        } else {
            failed++;
        }
    }

    /** The try ended without an answer; {@code excused} where its backend was killed or its caller had gone. */
    public void unanswered(String operation, String id, boolean excused, String how) {
        unanswered++;
        if (!excused) {
            breach("lost: try " + id + " of " + operation + ", " + how);
        }
    }

    /** Each in one line, the first fifty of them. */
    public List<String> breaches() {
        return List.copyOf(breaches);
    }

    public long breached() {
        return breached;
    }

    /** Tries satisfied, pushed back, failed, without an answer; operations with an effect. */
    public long[] counts() {
        return new long[] {served, pushedBack, failed, unanswered, effects.size()};
    }
}
