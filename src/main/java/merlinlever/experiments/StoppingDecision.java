package merlinlever.experiments;

/**
 * What a look at the counts says.
 *
 * @param arm what runs from then on
 * @param reason for people, in one line
 */
public record StoppingDecision(Kind kind, int arm, String reason) {

    /** Whether it goes on, and why it does not: one is better, one does harm, none is better by what matters, time, a wrong split. */
    public enum Kind {
        CONTINUE,
        WINNER,
        HARM,
        FUTILE,
        TIME_LIMIT,
        INVALID
    }

    public boolean isFinal() {
        return kind != Kind.CONTINUE;
    }
}
