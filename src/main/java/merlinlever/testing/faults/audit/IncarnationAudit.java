package merlinlever.testing.faults.audit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.fleet.membership.MemberRecord;
import merlinlever.fleet.membership.MembershipMessage;

/**
 * Whether every life of a process told others an incarnation of its own, above all that its lives before told: by what it
 * sent alone. What a life writes in its log before it is on the disk is told to nobody, and the next may begin at the same.
 * The harness says where a life begins; whatever the process sent before has to be given to this first. Decisions alone.
 */
public final class IncarnationAudit {

    private static final int MOST = 20;
    private static final long NONE = -1;

    /** What one process told. */
    private static final class ProcessHistory {
        /** The lives before this one, and this one: the highest that they told. */
        long before = NONE, highest = NONE;
        /** To each other the last that this life told; datagrams of one way are read in the order of their sending. */
        final Map<String, Long> last = new TreeMap<>();

        int life;
    }

    private final Map<String, ProcessHistory> all = new TreeMap<>();
    private final List<String> breaches = new ArrayList<>();
    private long breached, told, unread;

    private ProcessHistory one(String name) {
        return all.computeIfAbsent(name, none -> new ProcessHistory());
    }

    private void breach(String what) {
        breached++;
        if (breaches.size() < MOST) {
            breaches.add(what);
        }
    }

    /** Another life of the process begins; what it sends from here on is this one's. */
    public void began(String name) {
        ProcessHistory one = one(name);
        one.before = Math.max(one.before, one.highest);
        one.highest = NONE;
        one.last.clear();
        one.life++;
    }

    /** Its disk was spoilt, emptied or another's: it cannot know what it told, and rises above it by what others heard. */
    public void forgot(String name) {
        ProcessHistory one = one(name);
        one.before = NONE;
        one.highest = NONE;
    }

    /** It sent this to the other; null where it is no message of the fleet. */
    public void sent(String name, String to, MembershipMessage message) {
        if (message == null) {
            unread++;
            return;
        }
        if (!message.sender().equals(name)) {
            breach(name + " sent under the name of " + message.sender());
        }
        for (MemberRecord rumour : message.records()) {
            if (rumour.name().equals(name)) {
                told(name, to, rumour.incarnation());
            }
        }
    }

    private void told(String name, String to, long incarnation) {
        ProcessHistory one = one(name);
        told++;
        if (incarnation <= one.before && incarnation > one.highest) {
            breach(name + " tells incarnation " + incarnation + " in life " + one.life
                    + "; its lives before told up to " + one.before);
        }
        one.highest = Math.max(one.highest, incarnation);
        Long last = one.last.put(to, incarnation);
        if (last != null && incarnation < last) {
            breach(name + " tells " + to + " incarnation " + incarnation + " after " + last + " in life " + one.life);
        }
    }

    /** Each in one line, the first twenty of them. */
    public List<String> breaches() {
        return List.copyOf(breaches);
    }

    public long breached() {
        return breached;
    }

    /** How often one told its own incarnation; datagrams that were no messages of the fleet; lives begun. */
    public long[] counts() {
        return new long[] {
            told, unread, all.values().stream().mapToInt(one -> one.life).sum()
        };
    }
}
