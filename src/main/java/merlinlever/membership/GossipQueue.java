package merlinlever.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Which rumours ride along on the next messages: those told least often first, each some log n times (SWIM section 4.1). */
final class GossipQueue {

    /** On one message at the most. */
    private static final int MAX_RECORDS_PER_MESSAGE = 12;

    private static final int RETRANSMIT_MULTIPLIER = 3;

    private final MemberTable memberTable;
    private final Map<String, Integer> transmissions = new LinkedHashMap<>();
    private final Map<String, Duration> changedAt = new HashMap<>();

    GossipQueue(MemberTable memberTable) {
        this.memberTable = memberTable;
    }

    void enqueue(Duration now, String name) {
        transmissions.remove(name);
        transmissions.put(name, 0);
        changedAt.put(name, now);
    }

    void remove(String name) {
        transmissions.remove(name);
        changedAt.remove(name);
    }

    Duration timeSinceChange(Duration now, String name) {
        Duration at = changedAt.get(name);
        return at == null ? Duration.ZERO : now.minus(at);
    }

    private int logOfMembers() {
        return Math.max(1, (int) Math.ceil(Math.log(memberTable.size() + 1) / Math.log(2)));
    }

    List<MemberTable.MemberRecord> nextBatch() {
        List<String> names = new ArrayList<>(transmissions.keySet());
        names.sort((a, b) -> Integer.compare(transmissions.get(a), transmissions.get(b)));
        List<MemberTable.MemberRecord> batch = new ArrayList<>();
        for (String name : names.subList(0, Math.min(MAX_RECORDS_PER_MESSAGE, names.size()))) {
            batch.add(memberTable.find(name));
            if (transmissions.merge(name, 1, Integer::sum) >= RETRANSMIT_MULTIPLIER * logOfMembers()) {
                transmissions.remove(name);
            }
        }
        return batch;
    }
}
