package merlinlever.controller;

/** Outcome of a run or of a downstream call. */
public enum Outcome {
    /** The run or call succeeded. */
    OK(false),
    /** The run or call failed, and may have taken effect. */
    ERROR(false),
    /** The service rejected the call without running it. */
    REJECTED(true),
    /** The call timed out, and may have taken effect. */
    TIMED_OUT(false),
    /** The call never reached the service. */
    UNREACHABLE(true),
    /** The connection was lost during the call, which may have taken effect. */
    CONNECTION_LOST(false),
    /** The run was stopped. */
    STOPPED(false),
    /** The run was not started because the request had already ended. */
    NOT_STARTED(true);

    private final boolean provesNoEffect;

    Outcome(boolean provesNoEffect) {
        this.provesNoEffect = provesNoEffect;
    }

    /** Whether the outcome proves that the run or call had no effect. */
    public boolean provesNoEffect() {
        return provesNoEffect;
    }
}
