package merlinlever.experiments;

/**
 * What a look at the counts says.
 *
 * @param arm what runs from then on
 * @param why for people, in one line
 */
public record StoppingDecision(Kind kind, int arm, String why) {

    /** Whether it goes on, and why it does not: one is better, one does harm, none is better by what matters, time, a wrong split. */
    public enum Kind {
        GOES_ON,
        WINNER,
        HARM,
        FUTILE,
        TIME,
        VOID
    }

    public boolean ends() {
        return kind != Kind.GOES_ON;
    }
}
