package merlinlever.controller;

/** How a run or a downstream call ended. */
public enum Outcome {
    /** It succeeded. */
    OK(false),
    /** It was carried out and failed; it may have had its effect. */
    ERROR(false),
    /** The call was rejected without being carried out. */
    REJECTED(true),
    /** The call was given up after its timeout; it may have had its effect. */
    TIMED_OUT(false),
    /** The call never reached the service. */
    UNREACHABLE(true),
    /** The connection was lost during the call; it may have had its effect. */
    CONNECTION_LOST(false),
    /** The run was stopped. */
    STOPPED(false),
    /** The run was never started, as the request had ended already. */
    NOT_STARTED(true);

    private final boolean provesNoEffect;

    Outcome(boolean provesNoEffect) {
        this.provesNoEffect = provesNoEffect;
    }

    /** Whether this outcome proves that the run or call has had no effect. */
    public boolean provesNoEffect() {
        return provesNoEffect;
    }
}
