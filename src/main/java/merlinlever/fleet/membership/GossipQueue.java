package merlinlever.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the member records that are piggybacked on the next messages. The records sent least often come first, and
 * each record is sent a multiple of log n times (SWIM section 4.1). Not thread-safe.
 */
final class GossipQueue {

    private static final int MAX_RECORDS_PER_MESSAGE = 12;
    private static final int RETRANSMIT_MULTIPLIER = 3;

    private final MemberTable memberTable;
    /** Number of transmissions of each queued record by member name, in the order in which the members were queued. */
    private final Map<String, Integer> transmissions = new LinkedHashMap<>();

    private final Map<String, Duration> changedAt = new HashMap<>();

    GossipQueue(MemberTable memberTable) {
        this.memberTable = memberTable;
    }

    /** Queues the changed record of a member for transmission. */
    void enqueue(Duration now, String name) {
        transmissions.remove(name);
        transmissions.put(name, 0);
        changedAt.put(name, now);
    }

    /** Removes a member that was removed from the member table. */
    void remove(String name) {
        transmissions.remove(name);
        changedAt.remove(name);
    }

    /** Returns the time since the last change of the member's record; zero if the record has never changed. */
    Duration timeSinceChange(Duration now, String name) {
        Duration lastChange = changedAt.get(name);
        return lastChange == null ? Duration.ZERO : now.minus(lastChange);
    }

    private int maxTransmissions() {
        int logOfMembers = Math.max(1, (int) Math.ceil(Math.log(memberTable.size() + 1) / Math.log(2)));
        return RETRANSMIT_MULTIPLIER * logOfMembers;
    }

    /** Returns the records for one message and counts them as sent. */
    List<MemberRecord> nextBatch() {
        List<String> names = new ArrayList<>(transmissions.keySet());
        names.sort(Comparator.comparingInt(transmissions::get));
        List<MemberRecord> batch = new ArrayList<>();
        for (String name : names.subList(0, Math.min(MAX_RECORDS_PER_MESSAGE, names.size()))) {
            batch.add(memberTable.find(name).orElseThrow());
            if (transmissions.merge(name, 1, Integer::sum) >= maxTransmissions()) {
                transmissions.remove(name);
            }
        }
        return batch;
    }
}
