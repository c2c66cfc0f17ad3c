package merlinlever.fleet.experiments;

/**
 * The result of evaluating an experiment.
 *
 * @param arm that all callers get once the experiment has ended
 * @param reason for people, in one line
 */
public record StoppingDecision(Kind kind, int arm, String reason) {

    /** Whether the experiment continues, and if not, why. On the wire and in registers by its position: new ones come last. */
    public enum Kind {
        CONTINUE,
        /** One arm is better. */
        WINNER,
        /** An arm does harm. */
        HARM,
        /** No arm is better than another by a difference that matters. */
        FUTILE,
        /** The longest duration has passed. */
        TIME_LIMIT,
        /** The callers were not assigned as configured, so the counts say nothing. */
        INVALID
    }

    /** Whether the experiment should end. */
    public boolean isFinal() {
        return kind != Kind.CONTINUE;
    }
}
