package merlinlever.controller.settings;

import merlinlever.common.WireNamed;

/** Signal to callers, sent with each response, to reduce their load. */
public enum BackpressureSignal implements WireNamed {
    /** No signal. */
    NONE("silent"),
    /** The fraction of their requests that callers are to hold back, from 0 to 1. */
    LEVEL("level"),
    /** The load balancing weight of the server: 1 minus the level. */
    WEIGHT("weight"),
    /** The number of requests that each caller may have in flight. */
    CREDIT("credit");

    private final String wireName;

    BackpressureSignal(String wireName) {
        this.wireName = wireName;
    }

    @Override
    public String wireName() {
        return wireName;
    }
}
