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
    private static final int MOST = 12;

    private static final int TELL = 3;

    private final MemberTable views;
    private final Map<String, Integer> telling = new LinkedHashMap<>();
    private final Map<String, Duration> changedAt = new HashMap<>();

    GossipQueue(MemberTable views) {
        this.views = views;
    }

    void begin(Duration now, String name) {
        telling.remove(name);
        telling.put(name, 0);
        changedAt.put(name, now);
    }

    void forget(String name) {
        telling.remove(name);
        changedAt.remove(name);
    }

    Duration changedAgo(Duration now, String name) {
        Duration at = changedAt.get(name);
        return at == null ? Duration.ZERO : now.minus(at);
    }

    private int logarithm() {
        return Math.max(1, (int) Math.ceil(Math.log(views.size() + 1) / Math.log(2)));
    }

    List<MemberTable.MemberRecord> next() {
        List<String> names = new ArrayList<>(telling.keySet());
        names.sort((a, b) -> Integer.compare(telling.get(a), telling.get(b)));
        List<MemberTable.MemberRecord> rumours = new ArrayList<>();
        for (String name : names.subList(0, Math.min(MOST, names.size()))) {
            rumours.add(views.of(name));
            if (telling.merge(name, 1, Integer::sum) >= TELL * logarithm()) {
                telling.remove(name);
            }
        }
        return rumours;
    }
}
