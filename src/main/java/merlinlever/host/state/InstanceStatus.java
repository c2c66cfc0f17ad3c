package merlinlever.host.state;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/**
 * Status report of an instance.
 *
 * @param phaseName starting, cold, warm or leaving; a later version may report other phases
 * @param stalled whether executions have stopped making progress
 * @param queued requests in the admission queue
 * @param running requests that are executing
 * @param inFlight requests that were read but not answered yet
 * @param capacity estimated number of requests that the instance can execute concurrently
 * @param averageLoad average load computed by the admission control of the instance
 * @param threshold admission threshold that the instance sends to clients
 * @param rejections number of rejections since the start, by reason
 * @param aborted requests that failed since the start
 * @param quotas shares of the fleet quotas that the instance holds
 * @param view quorum status of the instance, or null if the instance has none
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
     * Share of one fleet quota that the instance holds.
     *
     * @param total quota of the whole fleet
     * @param share part of the quota that the instance may use
     * @param leaseMillis remaining time of the lease
     * @param inUse part of the share that is in use
     * @param leader member that grants the leases, or empty without a leader
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
     * Quorum status of the instance, and its current fleet view.
     *
     * @param quorumStatus name of the quorum status as reported by the instance
     * @param sinceMillis time since the last change of the quorum status
     */
    public record ViewStatus(
            @JsonProperty("standing") String quorumStatus,
            @JsonProperty("sinceMs") long sinceMillis,
            @JsonProperty("number") String number,
            @JsonProperty("digest") String digest) {}

    /**
     * Returns whether the instance reports full speed, which makes its capacity comparable with the capacity of its
     * peers.
     */
    public boolean reportsWarm() {
        return phase() == ReportedPhase.WARM;
    }

    ReportedPhase phase() {
        return ReportedPhase.ofWireName(phaseName);
    }
}
