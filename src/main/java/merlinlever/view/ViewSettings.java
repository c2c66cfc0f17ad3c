package merlinlever.view;

import java.time.Duration;

/**
 * What is stated of views.
 *
 * @param probeInterval between two questions of an observer to each of its subjects
 * @param unreachableAfter after which an observer holds a subject that does not answer gone
 * @param minPollInterval between two questions to each voter, longer in large fleets ({@link #pollInterval})
 * @param maxPollsPerSecond questions a second that one voter is to answer at the most
 * @param minReportValidity so long an answer of a voter, or a word of a backend to the leader, counts
 * @param quietPeriod without anything new a change is made after so long
 * @param maxBatchingDelay and with new ones after so long
 * @param maxDoubtDelay one that is neither gone nor well by the marks holds other changes up so long at the most
 * @param pauseThreshold of the steady clock between two looks: the process stood still
 * @param joinStabilityPeriod one that joins was heard for so long before
 * @param initialRejoinPenalty one that was taken out is let in again after so long, twice as long each time
 * @param maxRejoinPenalty and this at the most
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

    public static ViewSettings defaults() {
        return new ViewSettings(
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
    }

    /** In a fleet of so many. */
    Duration pollInterval(int members) {
        Duration spread = Duration.ofMillis(1000L * members / maxPollsPerSecond);
        return spread.compareTo(minPollInterval) > 0 ? spread : minPollInterval;
    }

    /** Four questions may be lost, and in small fleets eight. */
    Duration reportValidity(int members) {
        Duration some = pollInterval(members).multipliedBy(4);
        return some.compareTo(minReportValidity) > 0 ? some : minReportValidity;
    }
}
