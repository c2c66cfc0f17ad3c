package merlinlever.controller.settings;

import merlinlever.common.WireNamed;

/** Gauge that is sampled for the controller. */
public enum Gauge implements WireNamed {
    CPU_BUSY("cpu_busy"),
    /** The number of threads or runs that use a core or wait for one. */
    RUN_QUEUE("runnable"),
    MEMORY("mem_used"),
    CONNECTIONS("sockets"),
    /** A gauge that the controller ignores. */
    OTHER("");

    private final String wireName;

    Gauge(String wireName) {
        this.wireName = wireName;
    }

    @Override
    public String wireName() {
        return wireName;
    }
}
