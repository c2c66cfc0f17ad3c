package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MembershipMessage;

/**
 * Checks by the messages of a process that each run of it announces higher incarnations than the runs before. An incarnation
 * that a run never announced may be used by the next one. The test says when a run begins; all messages of the run before
 * have to be passed in first.
 */
public final class IncarnationAudit {

    private static final int MAX_LISTED = 20;
    private static final long NONE = -1;

    /** What one process announced. */
    private static final class ProcessHistory {
        /** The highest incarnation of the runs before this one. */
        private long highestBefore = NONE;
        /** The highest incarnation of this run. */
        private long highest = NONE;
        /** The last incarnation of this run by receiver; datagrams between two processes are passed in in order. */
        private final Map<String, Long> lastByReceiver = new TreeMap<>();

        private int run;
    }

    private final Map<String, ProcessHistory> histories = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private long violationCount;
    private long announcements;
    private long undecodable;

    private ProcessHistory history(String name) {
        return histories.computeIfAbsent(name, none -> new ProcessHistory());
    }

    private void addViolation(String what) {
        violationCount++;
        if (violations.size() < MAX_LISTED) {
            violations.add(what);
        }
    }

    /** Another run of the process begins, which sends all that follows. */
    public void recordStart(String name) {
        ProcessHistory history = history(name);
        history.highestBefore = Math.max(history.highestBefore, history.highest);
        history.highest = NONE;
        history.lastByReceiver.clear();
        history.run++;
    }

    /** The process lost its state on disk: it may repeat incarnations until others tell it of higher ones. */
    public void recordStateLoss(String name) {
        ProcessHistory history = history(name);
        history.highestBefore = NONE;
        history.highest = NONE;
    }

    /**
     * A process sent a message to another one.
     *
     * @param message null where the datagram could not be decoded
     */
    public void recordMessage(String name, String to, MembershipMessage message) {
        if (message == null) {
            undecodable++;
            return;
        }
        if (!message.sender().equals(name)) {
            addViolation(name + " sent under the name of " + message.sender());
        }
        for (MemberRecord member : message.records()) {
            if (member.name().equals(name)) {
                recordAnnouncement(name, to, member.incarnation());
            }
        }
    }

    private void recordAnnouncement(String name, String to, long incarnation) {
        ProcessHistory history = history(name);
        announcements++;
        if (incarnation <= history.highestBefore && incarnation > history.highest) {
            addViolation(name + " tells incarnation " + incarnation + " in life " + history.run
                    + "; its lives before told up to " + history.highestBefore);
        }
        history.highest = Math.max(history.highest, incarnation);
        Long last = history.lastByReceiver.put(to, incarnation);
        if (last != null && incarnation < last) {
            addViolation(name + " tells " + to + " incarnation " + incarnation + " after " + last + " in life "
                    + history.run);
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

    /** How often a process announced its own incarnation; datagrams that could not be decoded; runs begun. */
    public long[] counts() {
        return new long[] {
            announcements,
            undecodable,
            histories.values().stream().mapToInt(history -> history.run).sum()
        };
    }
}
