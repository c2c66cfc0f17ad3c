package merlinlever.host.state;

import java.util.List;
import java.util.Map;

/**
 * What an instance told of itself.
 *
 * @param phase starting, cold, warm or leaving
 * @param capacity what its module learned that its hold can take
 * @param inHand operations that are read and not yet answered
 * @param pushedBack since its start, by reason
 * @param shares of the limits of the whole fleet
 * @param view its standing among the others of its fleet, or null where it has none
 */
public record Told(
        String phase,
        boolean healthy,
        boolean hung,
        int held,
        int running,
        int inHand,
        double capacity,
        double avg,
        double level,
        Map<String, Long> pushedBack,
        long brokenOff,
        List<Share> shares,
        View view) {

    /** Its share of one limit, how long that holds still, and who divides under which term. */
    public record Share(String name, long whole, long share, long leftMs, long inUse, String leader, long term) {}

    /** How far its word goes since when, and which view of the fleet it holds. */
    public record View(String standing, long sinceMs, String number, String digest) {}

    public Told(
            String phase,
            boolean healthy,
            boolean hung,
            int held,
            int running,
            int inHand,
            double capacity,
            double avg,
            double level,
            Map<String, Long> pushedBack,
            long brokenOff) {
        this(phase, healthy, hung, held, running, inHand, capacity, avg, level, pushedBack, brokenOff, List.of(), null);
    }
}
