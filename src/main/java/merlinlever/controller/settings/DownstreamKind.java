package merlinlever.controller.settings;

import merlinlever.common.WireNamed;

/** What the runs of this server call. */
public enum DownstreamKind implements WireNamed {
    /** Nothing. */
    NONE("silent"),
    /** One service that all servers of the fleet share, with a limit on their calls together. */
    SHARED("shared"),
    /** Another fleet with overload control of its own. */
    TIER("tier");

    private final String wireName;

    DownstreamKind(String wireName) {
        this.wireName = wireName;
    }

    @Override
    public String wireName() {
        return wireName;
    }
}
