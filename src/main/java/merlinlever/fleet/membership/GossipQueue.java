package merlinlever.fleet.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which records travel with the next messages: those sent least often first, each some multiple of log n times (SWIM section
 * 4.1). Not thread-safe.
 */
final class GossipQueue {

    private static final int MAX_RECORDS_PER_MESSAGE = 12;
    private static final int RETRANSMIT_MULTIPLIER = 3;

    private final MemberTable memberTable;
    /** How often each queued member's record was sent, the members queued first in front. */
    private final Map<String, Integer> transmissions = new LinkedHashMap<>();

    private final Map<String, Duration> changedAt = new HashMap<>();

    GossipQueue(MemberTable memberTable) {
        this.memberTable = memberTable;
    }

    /** The record of that member has changed and is to be sent. */
    void enqueue(Duration now, String name) {
        transmissions.remove(name);
        transmissions.put(name, 0);
        changedAt.put(name, now);
    }

    /** The member was removed from the table. */
    void remove(String name) {
        transmissions.remove(name);
        changedAt.remove(name);
    }

    /** How long ago the record of the member last changed; zero where it never did. */
    Duration timeSinceChange(Duration now, String name) {
        Duration at = changedAt.get(name);
        return at == null ? Duration.ZERO : now.minus(at);
    }

    private int maxTransmissions() {
        int logOfMembers = Math.max(1, (int) Math.ceil(Math.log(memberTable.size() + 1) / Math.log(2)));
        return RETRANSMIT_MULTIPLIER * logOfMembers;
    }

    /** The records for one message; counts them as sent. */
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
