package merlinlever.controller.settings;

/**
 * Numeric settings of a priority class with their names, ranges and defaults. Times are in milliseconds. Problems are
 * reported in the order of the constants.
 */
enum ClassNumberSetting {
    CLIENT_TIMEOUT("hard-limit", NumberRange.POSITIVE, 2000),
    LATE_WEIGHT("late-value", NumberRange.FINITE, 0),
    LATENCY_OBJECTIVE("aim", NumberRange.POSITIVE, 1000),
    OBJECTIVE_STRETCH("aim-stretch", NumberRange.NON_NEGATIVE, 0),
    WEIGHT("gain", NumberRange.NON_NEGATIVE, 1),
    /** Used only by classes with idempotency keys, where the window must be positive. */
    IDEMPOTENCY_WINDOW("window", NumberRange.NON_NEGATIVE, 10_000);

    private final String shortName;
    private final NumberRange range;
    private final double defaultValue;

    ClassNumberSetting(String shortName, NumberRange range, double defaultValue) {
        this.shortName = shortName;
        this.range = range;
        this.defaultValue = defaultValue;
    }

    /** Returns the name without the path of the class. */
    String shortName() {
        return shortName;
    }

    /** Returns the full path for the class with the index. */
    String path(int classIndex) {
        return SettingPaths.ofClass(classIndex, shortName);
    }

    /** Returns the allowed range, which depends on whether the class is idempotent by key. */
    NumberRange range(boolean idempotentByKey) {
        return this == IDEMPOTENCY_WINDOW && idempotentByKey ? NumberRange.POSITIVE : range;
    }

    double defaultValue() {
        return defaultValue;
    }
}
