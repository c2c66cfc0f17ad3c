package merlinlever.controller.settings;

/**
 * The settings of the whole server that are numbers, with their names, ranges and defaults. Times are in milliseconds,
 * memory is in KB. The order is the one in which problems are reported.
 */
enum NumberSetting {
    MAX_RETRY_AFTER("bounds.max-retry-after", NumberRange.NON_NEGATIVE, 0),
    WARM_UP_TIME("invariants.cold", NumberRange.NON_NEGATIVE, 1),
    COLD_SPEED("invariants.cold-share", NumberRange.FRACTION, 0.2),
    OVERLOAD_FACTOR("invariants.overload-factor", NumberRange.POSITIVE, 2),
    DRAIN_GRACE("invariants.drain-grace", NumberRange.NON_NEGATIVE, 0),
    CALLERS("family-info.callers", NumberRange.NON_NEGATIVE, 1),
    CALL_AVERAGING_TIME("family-info.calls-over", NumberRange.NON_NEGATIVE, 5000),
    CORES("family-info.n-cores", NumberRange.POSITIVE, 1),
    FRESH_FOR("family-info.fresh-for", NumberRange.NON_NEGATIVE, 0),
    IDLE_TIMEOUT("family-info.idle", NumberRange.NON_NEGATIVE, 30_000),
    MEMORY_PER_KEY("family-info.kb-per-key", NumberRange.NON_NEGATIVE, 0),
    /** Without this setting there is no limit; the default is larger than any memory. */
    MEMORY("family-info.memory-kb", NumberRange.POSITIVE, 1e9),
    RUN_MEMORY_FACTOR("family-info.blowup", NumberRange.POSITIVE, 4),
    SHARE_OF_CALLS("family-info.fair-calls", NumberRange.NON_NEGATIVE, 1),
    /** 0: not known. */
    FLEET_SIZE("servers", NumberRange.NON_NEGATIVE, 0),
    CALL_LINGER_TIME("family-info.linger", NumberRange.ANY, 0),
    /** Operators do not set this one: it is reported as unknown, though it has effect. */
    MAX_READ_DELAY("invariants.longest-unread", NumberRange.ANY, 30_000);

    private final String path;
    private final NumberRange range;
    private final double defaultValue;

    NumberSetting(String path, NumberRange range, double defaultValue) {
        this.path = path;
        this.range = range;
        this.defaultValue = defaultValue;
    }

    String path() {
        return path;
    }

    NumberRange range() {
        return range;
    }

    double defaultValue() {
        return defaultValue;
    }
}
