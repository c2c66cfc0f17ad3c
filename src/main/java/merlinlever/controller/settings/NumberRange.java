package merlinlever.controller.settings;

/** Allowed range of a number. A time above {@code 1e12} milliseconds would overflow the nanoseconds of a Duration. */
enum NumberRange {
    POSITIVE("a number above 0, at most 1e12") {
        @Override
        boolean contains(double number) {
            return number > 0 && number <= MAX;
        }
    },
    NON_NEGATIVE("a number from 0 to 1e12") {
        @Override
        boolean contains(double number) {
            return number >= 0 && number <= MAX;
        }
    },
    FRACTION("a number from 0 to 1") {
        @Override
        boolean contains(double number) {
            return number >= 0 && number <= 1;
        }
    },
    FINITE("a number") {
        @Override
        boolean contains(double number) {
            return Double.isFinite(number);
        }
    },
    /** Any text; text that is not a number is treated as missing. */
    ANY("anything") {
        @Override
        boolean contains(double number) {
            return true;
        }
    };

    private static final double MAX = 1e12;

    private final String description;

    NumberRange(String description) {
        this.description = description;
    }

    /** Returns a description of the range for error messages. */
    String description() {
        return description;
    }

    /** Whether the number is in the range; NaN is only in {@link #ANY}. */
    abstract boolean contains(double number);
}
