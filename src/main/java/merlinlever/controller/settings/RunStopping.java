package merlinlever.controller.settings;

import merlinlever.common.WireNamed;

/** Way in which a run can be stopped before its end. */
public enum RunStopping implements WireNamed {
    /** Runs cannot be stopped. */
    NONE("silent"),
    /** A stopped run is discarded, and its work is lost. */
    DROP("drop"),
    /** A stopped run keeps its progress and its memory. */
    PAUSE("pause");

    private final String wireName;

    RunStopping(String wireName) {
        this.wireName = wireName;
    }

    @Override
    public String wireName() {
        return wireName;
    }
}
