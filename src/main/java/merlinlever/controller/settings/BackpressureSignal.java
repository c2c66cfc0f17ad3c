package merlinlever.controller.settings;

import merlinlever.common.WireNamed;

/** What callers are sent with each response for them to hold back. */
public enum BackpressureSignal implements WireNamed {
    /** Nothing. */
    NONE("silent"),
    /** The level from 0 (send everything) to 1. */
    LEVEL("level"),
    /** One less the level: this server's weight among others. */
    WEIGHT("weight"),
    /** How many requests one caller may have in flight. */
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
