package merlinlever.policy;

import merlinlever.common.WireNamed;

/** Reason for a rejection. The fields of {@code GET /state} have the order of the constants. */
public enum RejectionReason implements WireNamed {
    /** The request arrived after the grace period of a drain, or the stop of the process is too near. */
    DRAINING("leaving"),
    /** The runs on the cores are stalled. */
    STALLED("hung"),
    /** There is no memory for the request or for its idempotency key. */
    MEMORY("memory"),
    /** The request's latency objective cannot be met. */
    OBJECTIVE_UNREACHABLE("hopeless"),
    /** The request was selected by random early detection. */
    RANDOM("chance"),
    /** The request waited in the queue until its objective could no longer be met. */
    EXPIRED("late"),
    /** An earlier incarnation may have run the request, or a later one could not tell that this one did. */
    IDEMPOTENCY_UNKNOWN("unsettled");

    private final String wireName;

    RejectionReason(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the field name in {@code GET /state}. */
    @Override
    public String wireName() {
        return wireName;
    }
}
