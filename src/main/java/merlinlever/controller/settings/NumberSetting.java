package merlinlever.controller.settings;

/**
 * Numeric settings of a server with their names, ranges and defaults. Times are in milliseconds, memory is in KB.
 * Problems are reported in the order of the constants.
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
    MAX_OUTCOME_AGE("family-info.fresh-for", NumberRange.NON_NEGATIVE, 0),
    IDLE_TIMEOUT("family-info.idle", NumberRange.NON_NEGATIVE, 30_000),
    MEMORY_PER_KEY("family-info.kb-per-key", NumberRange.NON_NEGATIVE, 0),
    /** The default is larger than any memory, so that there is no limit. */
    MEMORY("family-info.memory-kb", NumberRange.POSITIVE, 1e9),
    RUN_MEMORY_FACTOR("family-info.blowup", NumberRange.POSITIVE, 4),
    SHARE_OF_CALLS("family-info.fair-calls", NumberRange.NON_NEGATIVE, 1),
    /** 0 if the size is unknown. */
    FLEET_SIZE("servers", NumberRange.NON_NEGATIVE, 0),
    CALL_LINGER_TIME("family-info.linger", NumberRange.ANY, 0),
    /** Not intended for operators: the setting takes effect, but is reported as unknown. */
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
