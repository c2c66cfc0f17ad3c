package merlinlever.simulator;

import java.util.Arrays;

/**
 * One line of the simulator's protocol: a verb and fields {@code name=value}, separated by blanks. A field is parsed in
 * place when it is asked for; those beyond the {@value #MAX_FIELDS}th are ignored.
 */
final class WireMessage {

    private static final int MAX_FIELDS = 32;

    /** Input that breaks the protocol; the message names the line and what is wrong. */
    static final class MalformedMessageException extends RuntimeException {
        private static final long serialVersionUID = 1;

        MalformedMessageException(String message) {
            super(message);
        }

        MalformedMessageException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    private final String line;
    private final long lineNumber;
    private final String verb;
    private final int[] starts = new int[MAX_FIELDS];
    private final int[] equalsSigns = new int[MAX_FIELDS];
    private final int[] ends = new int[MAX_FIELDS];
    private int fieldCount;

    /**
     * Reads a line.
     *
     * @throws MalformedMessageException if one of its fields has no {@code =}
     */
    WireMessage(String line, long lineNumber) {
        this.line = line;
        this.lineNumber = lineNumber;
        int blank = line.indexOf(' ');
        verb = blank < 0 ? line : line.substring(0, blank);
        while (blank >= 0 && fieldCount < MAX_FIELDS) {
            int start = blank + 1;
            blank = line.indexOf(' ', start);
            addField(start, blank < 0 ? line.length() : blank);
        }
    }

    private void addField(int start, int end) {
        int equalsSign = line.indexOf('=', start);
        if (equalsSign >= 0 && equalsSign < end) {
            starts[fieldCount] = start;
            equalsSigns[fieldCount] = equalsSign;
            ends[fieldCount] = end;
            fieldCount++;
        } else if (end > start) {
            throw malformed("a part without '=': " + line.substring(start, end));
        }
    }

    String verb() {
        return verb;
    }

    /** The line as it was read. */
    String line() {
        return line;
    }

    MalformedMessageException malformed(String problem) {
        return new MalformedMessageException("line " + lineNumber + ": " + problem);
    }

    private MalformedMessageException malformed(String problem, NumberFormatException cause) {
        return new MalformedMessageException("line " + lineNumber + ": " + problem, cause);
    }

    /** The value of the field, or null. */
    String text(String name) {
        for (int i = 0; i < fieldCount; i++) {
            if (equalsSigns[i] - starts[i] == name.length() && line.startsWith(name, starts[i])) {
                return line.substring(equalsSigns[i] + 1, ends[i]);
            }
        }
        return null;
    }

    /**
     * The value of the field.
     *
     * @throws MalformedMessageException if it is missing or empty
     */
    String requiredText(String name) {
        String value = text(name);
        if (value == null || value.isEmpty()) {
            throw malformed("no " + name + " in " + verb);
        }
        return value;
    }

    /**
     * The number in the field.
     *
     * @throws MalformedMessageException if it is no finite number
     */
    double number(String name, double absent) {
        String value = text(name);
        if (value == null) {
            return absent;
        }
        double parsed;
        try {
            parsed = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw malformed("not a number: " + name + "=" + value, e);
        }
        if (!Double.isFinite(parsed)) {
            throw malformed("not a finite number: " + name + "=" + value);
        }
        return parsed;
    }

    /**
     * The number in the field.
     *
     * @throws MalformedMessageException if it is missing or no finite number
     */
    double requiredNumber(String name) {
        requiredText(name);
        return number(name, 0);
    }

    /**
     * The whole number in the field.
     *
     * @throws MalformedMessageException if it is no whole number
     */
    long wholeNumber(String name, long absent) {
        String value = text(name);
        if (value == null) {
            return absent;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed("not a whole number: " + name + "=" + value, e);
        }
    }

    /**
     * The whole number in the field.
     *
     * @throws MalformedMessageException if it is missing or no whole number
     */
    long requiredWholeNumber(String name) {
        requiredText(name);
        return wholeNumber(name, 0);
    }

    /**
     * Whether the field is {@code 1} or {@code true}; false without the field.
     *
     * @throws MalformedMessageException if it is anything but a truth value
     */
    boolean flag(String name) {
        String value = text(name);
        if (value == null || value.equals("0") || value.equals("false")) {
            return false;
        }
        if (value.equals("1") || value.equals("true")) {
            return true;
        }
        throw malformed("neither 0 nor 1: " + name + "=" + value);
    }

    /**
     * The numbers in the field, which are separated by commas; none without the field.
     *
     * @throws MalformedMessageException if one of them is no number
     */
    double[] numbers(String name) {
        String value = text(name);
        if (value == null || value.isEmpty()) {
            return new double[0];
        }
        try {
            return Arrays.stream(value.split(","))
                    .mapToDouble(Double::parseDouble)
                    .toArray();
        } catch (NumberFormatException e) {
            throw malformed("not a row of numbers: " + name + "=" + value, e);
        }
    }
}
