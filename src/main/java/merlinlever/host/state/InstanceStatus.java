package merlinlever.host.state;

import com.fasterxml.jackson.annotation.JsonProperty;
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
public record InstanceStatus(
        @JsonProperty("phase") String phase,
        @JsonProperty("healthy") boolean healthy,
        @JsonProperty("hung") boolean hung,
        @JsonProperty("held") int held,
        @JsonProperty("running") int running,
        @JsonProperty("inHand") int inHand,
        @JsonProperty("capacity") double capacity,
        @JsonProperty("avg") double avg,
        @JsonProperty("level") double level,
        @JsonProperty("pushedBack") Map<String, Long> pushedBack,
        @JsonProperty("brokenOff") long brokenOff,
        @JsonProperty("shares") List<QuotaShare> shares,
        @JsonProperty("view") ViewStatus view) {

    /** Its share of one limit, how long that holds still, and who divides under which term. */
    public record QuotaShare(
            @JsonProperty("name") String name,
            @JsonProperty("whole") long whole,
            @JsonProperty("share") long share,
            @JsonProperty("leftMs") long leftMs,
            @JsonProperty("inUse") long inUse,
            @JsonProperty("leader") String leader,
            @JsonProperty("term") long term) {}

    /** How far its word goes since when, and which view of the fleet it holds. */
    public record ViewStatus(
            @JsonProperty("standing") String standing,
            @JsonProperty("sinceMs") long sinceMs,
            @JsonProperty("number") String number,
            @JsonProperty("digest") String digest) {}

    public InstanceStatus(
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
