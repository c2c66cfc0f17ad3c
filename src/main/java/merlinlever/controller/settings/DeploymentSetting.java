package merlinlever.controller.settings;

import merlinlever.common.WireNamed;

/** Settings of a {@link DeploymentProfile}. Differences and problems are reported in the order of the constants. */
public enum DeploymentSetting implements WireNamed {
    /** The kind of downstream service. */
    DOWNSTREAM("below"),
    /** How runs can be stopped. */
    RUN_STOPPING("halt"),
    /** Whether unhealthy servers are removed from the endpoint list. */
    READINESS("readiness"),
    /** The backpressure signal that callers receive. */
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
