package merlinlever.simulator;

import java.util.Arrays;

/**
 * Line of the simulator's protocol: a verb and fields {@code name=value}, separated by blanks. Values are parsed on
 * access; fields after the first {@value #MAX_FIELDS} are ignored.
 */
final class WireMessage {

    private static final int MAX_FIELDS = 32;

    /** Thrown for malformed input; the message has the line number and the problem. */
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
     * Splits a line into its verb and fields.
     *
     * @throws MalformedMessageException if a field has no {@code =}
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
            throw malformed("field without '=': " + line.substring(start, end));
        }
    }

    String verb() {
        return verb;
    }

    /** Returns the whole line. */
    String line() {
        return line;
    }

    MalformedMessageException malformed(String problem) {
        return new MalformedMessageException("line " + lineNumber + ": " + problem);
    }

    private MalformedMessageException malformed(String problem, NumberFormatException cause) {
        return new MalformedMessageException("line " + lineNumber + ": " + problem, cause);
    }

    /** Returns the value of the field, or null without the field. */
    String text(String name) {
        for (int i = 0; i < fieldCount; i++) {
            if (equalsSigns[i] - starts[i] == name.length() && line.startsWith(name, starts[i])) {
                return line.substring(equalsSigns[i] + 1, ends[i]);
            }
        }
        return null;
    }

    /**
     * Returns the value of the field.
     *
     * @throws MalformedMessageException if the field is missing or empty
     */
    String requiredText(String name) {
        String value = text(name);
        if (value == null || value.isEmpty()) {
            throw malformed("missing field " + name + " in " + verb);
        }
        return value;
    }

    /**
     * Returns the value of the field as a number, or the default without the field.
     *
     * @throws MalformedMessageException if the value is not a finite number
     */
    double number(String name, double defaultValue) {
        String value = text(name);
        if (value == null) {
            return defaultValue;
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
     * Returns the value of the field as a number.
     *
     * @throws MalformedMessageException if the field is missing or not a finite number
     */
    double requiredNumber(String name) {
        requiredText(name);
        return number(name, 0);
    }

    /**
     * Returns the value of the field as an integer, or the default without the field.
     *
     * @throws MalformedMessageException if the value is not an integer
     */
    long integer(String name, long defaultValue) {
        String value = text(name);
        if (value == null) {
            return defaultValue;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed("not an integer: " + name + "=" + value, e);
        }
    }

    /**
     * Returns the value of the field as an integer.
     *
     * @throws MalformedMessageException if the field is missing or not an integer
     */
    long requiredInteger(String name) {
        requiredText(name);
        return integer(name, 0);
    }

    /**
     * Returns the value of the field as a boolean, which is {@code 0}, {@code 1}, {@code false} or {@code true}; false
     * without the field.
     *
     * @throws MalformedMessageException if the value is not a boolean
     */
    boolean flag(String name) {
        String value = text(name);
        if (value == null || value.equals("0") || value.equals("false")) {
            return false;
        }
        if (value.equals("1") || value.equals("true")) {
            return true;
        }
        throw malformed("not a boolean: " + name + "=" + value);
    }

    /**
     * Returns the value of the field as a list of numbers, separated by commas; empty without the field.
     *
     * @throws MalformedMessageException if an element is not a number
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
            throw malformed("not a list of numbers: " + name + "=" + value, e);
        }
    }
}
