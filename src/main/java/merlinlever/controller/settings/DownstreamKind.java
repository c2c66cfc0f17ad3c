package merlinlever.controller.settings;

import merlinlever.common.WireNamed;

/** Kind of service that the runs of a server call. */
public enum DownstreamKind implements WireNamed {
    /** No downstream service. */
    NONE("silent"),
    /** A service that all servers of the fleet share, with a limit on the fleet's concurrent calls. */
    SHARED("shared"),
    /** Another fleet with its own overload control. */
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
