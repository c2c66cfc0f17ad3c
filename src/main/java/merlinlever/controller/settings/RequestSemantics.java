package merlinlever.controller.settings;

import merlinlever.common.WireNamed;

/** Number of times that a request of a priority class may run. */
public enum RequestSemantics implements WireNamed {
    /** Any number of times. */
    IDEMPOTENT("repeatable"),
    /** Once per idempotency key. */
    IDEMPOTENT_BY_KEY("by_key"),
    /** Once. */
    NON_IDEMPOTENT("once");

    private final String wireName;

    RequestSemantics(String wireName) {
        this.wireName = wireName;
    }

    @Override
    public String wireName() {
        return wireName;
    }
}
