package merlinlever.controller.settings;

import merlinlever.common.WireNamed;

/** One setting of a {@link DeploymentProfile}; in the order in which differences and problems are reported. */
public enum DeploymentSetting implements WireNamed {
    /** What lies downstream. */
    DOWNSTREAM("below"),
    /** How runs can be stopped. */
    RUN_STOPPING("halt"),
    /** Whether the endpoint list follows the reported health. */
    READINESS("readiness"),
    /** What callers are sent for them to hold back. */
    SIGNAL("say");

    private final String wireName;

    DeploymentSetting(String wireName) {
        this.wireName = wireName;
    }

    @Override
    public String wireName() {
        return wireName;
    }
}
