package merlinlever.fleet.view;

import java.time.Duration;

/**
 * Settings of the membership view, which are the same on every backend.
 *
 * @param probeInterval time between two probes from an observer to the same subject
 * @param unreachableAfter an observer considers a subject unreachable after this time without an answer
 * @param minPollInterval shortest time between two polls of the same voter; see {@link #pollInterval}
 * @param maxPollsPerSecond maximum number of polls per second to one voter, from the whole fleet
 * @param minReportValidity shortest time for which an answer of a voter or a report to the leader is valid; see
 *     {@link #reportValidity}
 * @param quietPeriod a change of the view is made when the change has not grown for this time
 * @param maxBatchingDelay a change of the view is made after this time even if the change still grows
 * @param maxUnstableDelay maximum time for which a member between the low and the high threshold delays a removal; a
 *     name conflict also lasts for this time after its last observation
 * @param pauseThreshold the process counts as paused when the time between two ticks is longer
 * @param joinStabilityPeriod a backend may join after reporting for this time without a gap
 * @param initialRejoinPenalty time after which a removed member may join again; doubles with each repeated removal
 * @param maxRejoinPenalty upper bound of the rejoin penalty
 */
public record ViewSettings(
        Duration probeInterval,
        Duration unreachableAfter,
        Duration minPollInterval,
        int maxPollsPerSecond,
        Duration minReportValidity,
        Duration quietPeriod,
        Duration maxBatchingDelay,
        Duration maxUnstableDelay,
        Duration pauseThreshold,
        Duration joinStabilityPeriod,
        Duration initialRejoinPenalty,
        Duration maxRejoinPenalty) {

    /** Lower bound of the report validity, in poll intervals. */
    private static final int POLLS_PER_VALIDITY = 4;

    private static final ViewSettings DEFAULTS = new ViewSettings(
            Duration.ofMillis(500),
            Duration.ofSeconds(5),
            Duration.ofMillis(500),
            500,
            Duration.ofSeconds(4),
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofSeconds(10),
            Duration.ofSeconds(2),
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            Duration.ofMinutes(5));

    /** Returns the settings that production uses. */
    public static ViewSettings defaults() {
        return DEFAULTS;
    }

    /** Returns the time between two polls of the same voter in a fleet with this number of members. */
    Duration pollInterval(int members) {
        Duration atMaxRate = Duration.ofMillis(Duration.ofSeconds(members).toMillis() / maxPollsPerSecond);
        return atMaxRate.compareTo(minPollInterval) > 0 ? atMaxRate : minPollInterval;
    }

    /** Returns how long an answer or a report is valid in a fleet with this number of members. */
    Duration reportValidity(int members) {
        Duration severalPolls = pollInterval(members).multipliedBy(POLLS_PER_VALIDITY);
        return severalPolls.compareTo(minReportValidity) > 0 ? severalPolls : minReportValidity;
    }
}
