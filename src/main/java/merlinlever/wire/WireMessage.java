package merlinlever.wire;

import java.util.Arrays;

/** One line of the wire: a leading word and name=value parts, looked up by name. */
final class WireMessage {

    private final String text;
    private final long number;
    private final int[] bounds = new int[96];
    private int parts;
    private final String word;

    WireMessage(String text, long number) {
        this.text = text;
        this.number = number;
        int end = text.indexOf(' ');
        word = end < 0 ? text : text.substring(0, end);
        while (end >= 0 && parts * 3 + 3 <= bounds.length) {
            int start = end + 1;
            end = text.indexOf(' ', start);
            int stop = end < 0 ? text.length() : end;
            int equals = text.indexOf('=', start);
            if (equals < 0 || equals >= stop) {
                if (stop > start) {
                    throw fault("a part without '=': " + text.substring(start, stop));
                }
                continue;
            }
            bounds[parts * 3] = start;
            bounds[parts * 3 + 1] = equals;
            bounds[parts * 3 + 2] = stop;
            parts++;
        }
    }

    String word() {
        return word;
    }

    MalformedMessageException fault(String what) {
        return new MalformedMessageException("line " + number + ": " + what);
    }

    private int find(String name) {
        for (int i = 0; i < parts; i++) {
            int start = bounds[i * 3];
            if (bounds[i * 3 + 1] - start == name.length() && text.startsWith(name, start)) {
                return i;
            }
        }
        return -1;
    }

    /** The value of that name, or null. */
    String text(String name) {
        int i = find(name);
        return i < 0 ? null : text.substring(bounds[i * 3 + 1] + 1, bounds[i * 3 + 2]);
    }

    String needed(String name) {
        String value = text(name);
        if (value == null || value.isEmpty()) {
            throw fault("no " + name + " in " + word);
        }
        return value;
    }

    double number(String name, double absent) {
        String value = text(name);
        if (value == null) {
            return absent;
        }
        double parsed;
        try {
            parsed = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw fault("not a number: " + name + "=" + value);
        }
        if (!Double.isFinite(parsed)) {
            throw fault("not a finite number: " + name + "=" + value);
        }
        return parsed;
    }

    double neededNumber(String name) {
        needed(name);
        return number(name, 0);
    }

    long whole(String name, long absent) {
        String value = text(name);
        if (value == null) {
            return absent;
        }
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw fault("not a whole number: " + name + "=" + value);
        }
    }

    long neededWhole(String name) {
        needed(name);
        return whole(name, 0);
    }

    boolean flag(String name) {
        String value = text(name);
        if (value == null || value.equals("0") || value.equals("false")) {
            return false;
        }
        if (value.equals("1") || value.equals("true")) {
            return true;
        }
        throw fault("neither 0 nor 1: " + name + "=" + value);
    }

    /** The values of a row, set apart by commas. */
    double[] row(String name) {
        String value = text(name);
        if (value == null || value.isEmpty()) {
            return new double[0];
        }
        try {
            return Arrays.stream(value.split(","))
                    .mapToDouble(Double::parseDouble)
                    .toArray();
        } catch (NumberFormatException e) {
            throw fault("not a row of numbers: " + name + "=" + value);
        }
    }

    /** The whole line. */
    String all() {
        return text;
    }

    /** Input that is not the wire's. */
    static final class MalformedMessageException extends RuntimeException {
        private static final long serialVersionUID = 1;

        MalformedMessageException(String message) {
            super(message);
        }
    }
}
