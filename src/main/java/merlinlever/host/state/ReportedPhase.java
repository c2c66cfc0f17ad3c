package merlinlever.host.state;

import merlinlever.common.WireNamed;

/** The phase of its life that an instance reports in its status. */
enum ReportedPhase implements WireNamed {
    STARTING("starting"),
    /** It serves below its full speed. */
    WARMING_UP("cold"),
    WARM("warm"),
    DRAINING("leaving"),
    /** A phase that this version does not know; the instance serves as far as can be told. */
    UNKNOWN("");

    private final String wireName;

    ReportedPhase(String wireName) {
        this.wireName = wireName;
    }

    @Override
    public String wireName() {
        return wireName;
    }

    /** The phase of exactly that name, {@link #UNKNOWN} where there is none. */
    static ReportedPhase ofWireName(String name) {
        for (ReportedPhase phase : values()) {
            if (phase.wireName.equals(name)) {
                return phase;
            }
        }
        return UNKNOWN;
    }
}
