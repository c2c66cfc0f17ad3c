package merlinlever.policy;

import merlinlever.common.WireNamed;

/** Why a request was rejected. The order of the constants is that of the fields in {@code GET /state}. */
public enum RejectionReason implements WireNamed {
    /** It arrived after the grace of a drain, or the stop is too near. */
    DRAINING("leaving"),
    /** No run makes progress. */
    STALLED("hung"),
    /** There is no memory for it or for its idempotency key. */
    MEMORY("memory"),
    /** Its latency objective cannot be met. */
    OBJECTIVE_UNREACHABLE("hopeless"),
    /** Random early detection. */
    RANDOM("chance"),
    /** It waited too long in the queue. */
    EXPIRED("late"),
    /** Whether it ran before a restart is not known, or would not be after the next. */
    IDEMPOTENCY_UNKNOWN("unsettled");

    private final String wireName;

    RejectionReason(String wireName) {
        this.wireName = wireName;
    }

    /** Its field name in {@code GET /state}. */
    @Override
    public String wireName() {
        return wireName;
    }
}
