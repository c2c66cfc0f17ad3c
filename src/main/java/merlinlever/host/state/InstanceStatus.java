package merlinlever.host.state;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * The status that an instance reports of itself.
 *
 * @param phaseName starting, cold, warm or leaving; a later version may report others
 * @param stalled whether executions have stopped to progress
 * @param queued requests in the admission queue
 * @param running requests that execute
 * @param inFlight requests that were read and are not answered yet
 * @param capacity how many requests at once the instance estimates that it can run
 * @param averageLoad the load averaged by its admission control
 * @param threshold the admission threshold that it sends to clients
 * @param rejections since its start, by reason
 * @param aborted requests that failed since its start
 * @param quotas its parts of the fleet quotas
 * @param view its quorum status among its peers, or null where it has none
 */
public record InstanceStatus(
        @JsonProperty("phase") String phaseName,
        @JsonProperty("healthy") boolean healthy,
        @JsonProperty("hung") boolean stalled,
        @JsonProperty("held") int queued,
        @JsonProperty("running") int running,
        @JsonProperty("inHand") int inFlight,
        @JsonProperty("capacity") double capacity,
        @JsonProperty("avg") double averageLoad,
        @JsonProperty("level") double threshold,
        @JsonProperty("pushedBack") Map<String, Long> rejections,
        @JsonProperty("brokenOff") long aborted,
        @JsonProperty("shares") List<QuotaShare> quotas,
        @JsonProperty("view") ViewStatus view) {

    /**
     * The part of one fleet quota that the instance holds.
     *
     * @param total the quota of the whole fleet
     * @param share the part that it may use
     * @param leaseMillis how long its lease still holds
     * @param inUse how much of its part is in use
     * @param leader who grants the leases; empty where nobody does
     */
    public record QuotaShare(
            @JsonProperty("name") String name,
            @JsonProperty("whole") long total,
            @JsonProperty("share") long share,
            @JsonProperty("leftMs") long leaseMillis,
            @JsonProperty("inUse") long inUse,
            @JsonProperty("leader") String leader,
            @JsonProperty("term") long term) {}

    /**
     * The quorum status of the instance, and the fleet view that it has adopted.
     *
     * @param quorumStatus as the instance names it
     * @param sinceMillis how long it has had that status
     */
    public record ViewStatus(
            @JsonProperty("standing") String quorumStatus,
            @JsonProperty("sinceMs") long sinceMillis,
            @JsonProperty("number") String number,
            @JsonProperty("digest") String digest) {}

    /** Whether it reports to serve at full speed, so that its capacity can be compared with that of its peers. */
    public boolean reportsWarm() {
        return phase() == ReportedPhase.WARM;
    }

    ReportedPhase phase() {
        return ReportedPhase.ofWireName(phaseName);
    }
}
