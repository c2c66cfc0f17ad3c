package merlinlever.host.state;

import merlinlever.common.WireNamed;

/** The lifecycle phase that an instance reports in its status. */
enum ReportedPhase implements WireNamed {
    STARTING("starting"),
    /** The instance serves requests below its full speed. */
    WARMING_UP("cold"),
    WARM("warm"),
    DRAINING("leaving"),
    /** A phase unknown to this version; the instance is assumed to serve requests. */
    UNKNOWN("");

    private final String wireName;

    ReportedPhase(String wireName) {
        this.wireName = wireName;
    }

    @Override
    public String wireName() {
        return wireName;
    }

    /** Returns the phase with exactly the given name, or {@link #UNKNOWN} if no phase has this name. */
    static ReportedPhase ofWireName(String name) {
        for (ReportedPhase phase : values()) {
            if (phase.wireName.equals(name)) {
                return phase;
            }
        }
        return UNKNOWN;
    }
}
