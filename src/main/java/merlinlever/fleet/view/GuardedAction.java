package merlinlever.fleet.view;

/** Actions that are permitted or not by a backend's {@link QuorumStatus}; see {@link ActionPermissions}. */
public enum GuardedAction {
    /** Decide something once and for all: write a register, end an experiment, number a view. Only the leader does this. */
    DECIDE,
    /** Grant quota leases to peers. Only the leader does this. */
    GRANT_QUOTA,
    /** Adopt what widens the permitted actions: a new route, a looser restriction, a new experiment. */
    ADOPT_WIDENING,
    /** Adopt what narrows them: a withdrawal, a tighter restriction, the end of an experiment. */
    ADOPT_RESTRICTION,
    /** Go on with what was adopted: send a call along a route, assign requests to an experiment's arms. */
    USE_ADOPTED,
    /** Start a request that is non-idempotent, or idempotent only by its key. */
    START_NON_IDEMPOTENT_REQUEST
}
