package merlinlever.controller.settings;

import merlinlever.common.WireNamed;

/** How a run can be stopped before its end. */
public enum RunStopping implements WireNamed {
    /** Not at all. */
    NONE("silent"),
    /** Its work is lost. */
    DROP("drop"),
    /** It keeps its progress and its memory. */
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
