package merlinlever;

/** How a run or a call ended. */
public enum Outcome {
    /** It worked. */
    OK(false),
    /** It was carried out and did not work; it may have had its effect. */
    ERROR(false),
    /** The call was turned away unseen. */
    REJECTED(true),
    /** The call was given up; it may have had its effect. */
    TIMED_OUT(false),
    /** The call did not get through. */
    UNREACHABLE(true),
    /** The call was cut off; it may have had its effect. */
    CONNECTION_LOST(false),
    /** The run was stopped. */
    STOPPED(false),
    /** Nothing was begun, the operation was over already. */
    NOT_STARTED(true);

    private final boolean provesNoEffect;

    Outcome(boolean provesNoEffect) {
        this.provesNoEffect = provesNoEffect;
    }

    /** Whether this ending proves that nothing has taken effect. */
    public boolean provesNoEffect() {
        return provesNoEffect;
    }
}
