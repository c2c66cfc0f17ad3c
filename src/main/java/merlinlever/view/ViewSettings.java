package merlinlever.view;

import java.time.Duration;

/**
 * What is stated of views.
 *
 * @param probe between two questions of an observer to each of its subjects
 * @param silence after which an observer holds a subject that does not answer gone
 * @param ask between two questions to each voter, longer in large fleets ({@link #askEvery})
 * @param asked questions a second that one voter is to answer at the most
 * @param heard so long an answer of a voter, or a word of a backend to the leader, counts
 * @param quiet without anything new a change is made after so long
 * @param longest and with new ones after so long
 * @param between one that is neither gone nor well by the marks holds other changes up so long at the most
 * @param jump of the steady clock between two looks: the process stood still
 * @param steady one that joins was heard for so long before
 * @param penalty one that was taken out is let in again after so long, twice as long each time
 * @param mostPenalty and this at the most
 */
public record ViewSettings(
        Duration probe,
        Duration silence,
        Duration ask,
        int asked,
        Duration heard,
        Duration quiet,
        Duration longest,
        Duration between,
        Duration jump,
        Duration steady,
        Duration penalty,
        Duration mostPenalty) {

    public static ViewSettings usual() {
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
    Duration askEvery(int members) {
        Duration spread = Duration.ofMillis(1000L * members / asked);
        return spread.compareTo(ask) > 0 ? spread : ask;
    }

    /** Four questions may be lost, and in small fleets eight. */
    Duration heardFor(int members) {
        Duration some = askEvery(members).multipliedBy(4);
        return some.compareTo(heard) > 0 ? some : heard;
    }
}
