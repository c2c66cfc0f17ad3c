package merlinlever.controller.settings;

/**
 * The settings of one priority class that are numbers, with their names, ranges and defaults. Times are in
 * milliseconds. The order is the one in which problems are reported.
 */
enum ClassNumberSetting {
    CLIENT_TIMEOUT("hard-limit", NumberRange.POSITIVE, 2000),
    LATE_WEIGHT("late-value", NumberRange.FINITE, 0),
    LATENCY_OBJECTIVE("aim", NumberRange.POSITIVE, 1000),
    OBJECTIVE_STRETCH("aim-stretch", NumberRange.NON_NEGATIVE, 0),
    WEIGHT("gain", NumberRange.NON_NEGATIVE, 1),
    /** Only classes with idempotency keys use the window, and need one above zero. */
    IDEMPOTENCY_WINDOW("window", NumberRange.NON_NEGATIVE, 10_000);

    private final String shortName;
    private final NumberRange range;
    private final double defaultValue;

    ClassNumberSetting(String shortName, NumberRange range, double defaultValue) {
        this.shortName = shortName;
        this.range = range;
        this.defaultValue = defaultValue;
    }

    /** The name within the class. */
    String shortName() {
        return shortName;
    }

    /** The full name, with the index of the class. */
    String path(int classIndex) {
        return SettingPaths.ofClass(classIndex, shortName);
    }

    /** The allowed range in a class of these semantics. */
    NumberRange range(boolean idempotentByKey) {
        return this == IDEMPOTENCY_WINDOW && idempotentByKey ? NumberRange.POSITIVE : range;
    }

    double defaultValue() {
        return defaultValue;
    }
}
