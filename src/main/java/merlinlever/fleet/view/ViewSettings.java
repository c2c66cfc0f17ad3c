package merlinlever.fleet.view;

import java.time.Duration;

/**
 * Settings of the membership view, the same on every backend.
 *
 * @param probeInterval between two probes of an observer to each of its subjects
 * @param unreachableAfter an observer finds a subject unreachable that answered nothing for so long
 * @param minPollInterval between two polls of each voter; longer in large fleets, see {@link #pollInterval}
 * @param maxPollsPerSecond that one voter has to answer
 * @param minReportValidity how long an answer of a voter, or a report to the leader, counts; longer in large fleets, see {@link
 *     #reportValidity}
 * @param quietPeriod a change of the view is made once nothing was added to it for so long
 * @param maxBatchingDelay a change of the view is made at the latest after so long, whatever is added
 * @param maxDoubtDelay a member between the low and the high threshold delays other changes at most so long
 * @param pauseThreshold a longer time between two ticks means that the process was paused
 * @param joinStabilityPeriod a backend must have been heard for so long before it joins
 * @param initialRejoinPenalty a removed member may join again after so long; the span doubles each time
 * @param maxRejoinPenalty upper bound of that span
 */
public record ViewSettings(
        Duration probeInterval,
        Duration unreachableAfter,
        Duration minPollInterval,
        int maxPollsPerSecond,
        Duration minReportValidity,
        Duration quietPeriod,
        Duration maxBatchingDelay,
        Duration maxDoubtDelay,
        Duration pauseThreshold,
        Duration joinStabilityPeriod,
        Duration initialRejoinPenalty,
        Duration maxRejoinPenalty) {

    /** How many polls in a row may be lost in a large fleet before a voter counts as not heard. */
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

    /** The settings of every released program. */
    public static ViewSettings defaults() {
        return DEFAULTS;
    }

    /** The time between two polls of a voter in a fleet of that size. */
    Duration pollInterval(int members) {
        Duration atMaxRate = Duration.ofMillis(Duration.ofSeconds(members).toMillis() / maxPollsPerSecond);
        return atMaxRate.compareTo(minPollInterval) > 0 ? atMaxRate : minPollInterval;
    }

    /** How long an answer or a report counts in a fleet of that size. */
    Duration reportValidity(int members) {
        Duration severalPolls = pollInterval(members).multipliedBy(POLLS_PER_VALIDITY);
        return severalPolls.compareTo(minReportValidity) > 0 ? severalPolls : minReportValidity;
    }
}
