package merlinlever.dns.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The last differences of a zone, for those who ask for what has changed since (RFC 1995). */
public final class DifferenceHistory {

    /** Records in all differences kept, at the most. */
    private static final int MOST_RECORDS = 200_000;

    private final ArrayDeque<Difference> kept = new ArrayDeque<>();
    private int records;

    public void add(Difference difference) {
        kept.add(difference);
        records += difference.records();
        while (records > MOST_RECORDS && kept.size() > 1) {
            records -= kept.poll().records();
        }
    }

    /** The differences from that serial on, none where it is the last one, or null where they do not reach back so far. */
    public List<Difference> since(long serial) {
        List<Difference> since = null;
        for (Difference difference : kept) {
            if (since == null && difference.from() == serial) {
                since = new ArrayList<>();
            }
            if (since != null) {
                since.add(difference);
            }
        }
        return since != null ? since : !kept.isEmpty() && kept.peekLast().to() == serial ? List.of() : null;
    }
}
