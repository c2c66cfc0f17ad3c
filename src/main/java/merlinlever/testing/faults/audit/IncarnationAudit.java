package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MembershipMessage;

/**
 * Checks that each run of a process announces higher incarnations than its previous runs. The next run may use an
 * incarnation that no run has announced. The test reports the start of each run, after all messages of the previous
 * run.
 */
public final class IncarnationAudit {

    private static final int MAX_LISTED = 20;
    private static final long NONE = -1;

    /** The incarnations that one process announced. */
    private static final class ProcessHistory {
        /** The highest incarnation of the previous runs. */
        private long previousHighest = NONE;
        /** The highest incarnation of the current run. */
        private long highest = NONE;
        /** The last incarnation of the current run by receiver; datagrams to one receiver are recorded in order. */
        private final Map<String, Long> lastByReceiver = new TreeMap<>();

        private int run;
    }

    private final Map<String, ProcessHistory> histories = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private long violationCount;
    private long announcements;
    private long undecodable;

    private ProcessHistory history(String name) {
        return histories.computeIfAbsent(name, key -> new ProcessHistory());
    }

    private void addViolation(String description) {
        violationCount++;
        if (violations.size() < MAX_LISTED) {
            violations.add(description);
        }
    }

    /** Records the start of a new run of the process; the new run sends all messages recorded later. */
    public void recordStart(String name) {
        ProcessHistory history = history(name);
        history.previousHighest = Math.max(history.previousHighest, history.highest);
        history.highest = NONE;
        history.lastByReceiver.clear();
        history.run++;
    }

    /** Records that the process lost its state on disk and may therefore repeat incarnations. */
    public void recordStateLoss(String name) {
        ProcessHistory history = history(name);
        history.previousHighest = NONE;
        history.highest = NONE;
    }

    /**
     * Records a message from one process to another.
     *
     * @param message null if the datagram could not be decoded
     */
    public void recordMessage(String name, String receiver, MembershipMessage message) {
        if (message == null) {
            undecodable++;
            return;
        }
        if (!message.sender().equals(name)) {
            addViolation(name + " sent a message under the name " + message.sender());
        }
        for (MemberRecord member : message.records()) {
            if (member.name().equals(name)) {
                recordAnnouncement(name, receiver, member.incarnation());
            }
        }
    }

    private void recordAnnouncement(String name, String receiver, long incarnation) {
        ProcessHistory history = history(name);
        announcements++;
        if (incarnation <= history.previousHighest && incarnation > history.highest) {
            addViolation(name + " announced incarnation " + incarnation + " in run " + history.run
                    + "; its previous runs announced up to " + history.previousHighest);
        }
        history.highest = Math.max(history.highest, incarnation);
        Long last = history.lastByReceiver.put(receiver, incarnation);
        if (last != null && incarnation < last) {
            addViolation(name + " announced incarnation " + incarnation + " to " + receiver + " after " + last
                    + " in run " + history.run);
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

    /** Returns the numbers of announcements, of datagrams that could not be decoded, and of runs. */
    public long[] counts() {
        return new long[] {
            announcements,
            undecodable,
            histories.values().stream().mapToInt(history -> history.run).sum()
        };
    }
}
