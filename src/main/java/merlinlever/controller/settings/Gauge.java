package merlinlever.controller.settings;

import merlinlever.common.WireNamed;

/** A gauge that is sampled for the controller. */
public enum Gauge implements WireNamed {
    CPU_BUSY("cpu_busy"),
    /** How many threads or runs wait for a core or are on one. */
    RUN_QUEUE("runnable"),
    MEMORY("mem_used"),
    CONNECTIONS("sockets"),
    /** Any gauge that the controller does not read. */
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
