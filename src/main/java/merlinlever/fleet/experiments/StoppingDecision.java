package merlinlever.fleet.experiments;

/**
 * The result of evaluating an experiment.
 *
 * @param arm the arm that applies to all callers after the end of the experiment
 * @param reason human-readable reason in one line
 */
public record StoppingDecision(Kind kind, int arm, String reason) {

    /**
     * Whether the experiment continues, or why it ends. Registers store the ordinal, so new constants are added at the
     * end.
     */
    public enum Kind {
        CONTINUE,
        /** One arm is significantly better than all others. */
        WINNER,
        /** An arm is significantly worse than the safe arm, or too many backends crashed. */
        HARM,
        /** No arm is better than another by the configured minimum difference. */
        FUTILE,
        /** The maximum duration has passed. */
        TIME_LIMIT,
        /**
         * The callers were not assigned as configured, so the counts are unusable; also stands for a stored result in
         * an unknown format.
         */
        INVALID
    }

    /** Returns whether the experiment should end. */
    public boolean isFinal() {
        return kind != Kind.CONTINUE;
    }
}
