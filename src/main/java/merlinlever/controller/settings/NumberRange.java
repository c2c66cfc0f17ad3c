package merlinlever.controller.settings;

/** The allowed range of a number. Milliseconds above {@code 1e12} no longer fit a Duration in nanoseconds. */
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
    /** Not checked: text that is no number counts as missing. */
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

    /** The range in words, for error messages. */
    String description() {
        return description;
    }

    /** Whether the number is in the range; NaN is in none but {@link #ANY}. */
    abstract boolean contains(double number);
}
