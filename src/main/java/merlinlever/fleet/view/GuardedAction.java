package merlinlever.fleet.view;

/** Actions whose permission depends on the {@link QuorumStatus} of a backend; see {@link ActionPermissions}. */
public enum GuardedAction {
    /** Make a final decision: write a register, end an experiment or create a view. Leader only. */
    DECIDE,
    /** Grant quota leases to peers. Leader only. */
    GRANT_QUOTA,
    /** Adopt a change that permits more than before: a new route, a looser restriction or a new experiment. */
    ADOPT_WIDENING,
    /**
     * Adopt a change that permits less than before: a withdrawal, a tighter restriction or the end of an experiment.
     */
    ADOPT_RESTRICTION,
    /** Use an adopted route or experiment: send a downstream call, or assign requests to the arms of the experiment. */
    USE_ADOPTED,
    /** Start a request that is not idempotent, or is idempotent only through its idempotency key. */
    START_NON_IDEMPOTENT_REQUEST
}
