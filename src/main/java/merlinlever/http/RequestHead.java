package merlinlever.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * The head of one message from an edge node, read where it lies; the fields are places in the bytes until they are
 * asked for.
 */
final class RequestHead {

    /** A head may take this much. */
    static final int LONGEST = 4096;

    static final int LONGEST_BODY = 2048;

    /** The fields that mean something here; any other is passed over. */
    // Nothing reads OWNER since tenant shares went; known, two that differ are still refused.
    enum HeaderField {
        LENGTH("content-length"),
        ENCODING("transfer-encoding"),
        CONNECTION("connection"),
        EXPECT("expect"),
        ID("req-id"),
        TIME("req-time"),
        FROM("req-from"),
        WAIT("req-wait-ms"),
        COST("req-cost"),
        KB("req-kb"),
        RANK("req-rank"),
        TOKEN("req-token"),
        KEY("req-key"),
        OWNER("req-owner"),
        AGAIN("req-retry");

        private final byte[] name;

        HeaderField(String name) {
            this.name = name.getBytes(StandardCharsets.US_ASCII);
        }
    }

    private static final HeaderField[] FIELDS = HeaderField.values();

    private final int[] from = new int[FIELDS.length];
    private final int[] to = new int[FIELDS.length];
    private byte[] bytes;
    private int methodAt, methodEnd, pathAt, pathEnd, queryAt, queryEnd;
    private boolean old;
    private int length;

    /** Where the head that begins at {@code start} ends, or -1; nothing before {@code seen} needs looking at. */
    static int end(byte[] bytes, int start, int seen, int limit) {
        for (int i = Math.max(start, seen - 3); i + 4 <= limit; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n' && bytes[i + 2] == '\r' && bytes[i + 3] == '\n') {
                return i + 4;
            }
        }
        return -1;
    }

    /** Reads the head between the places; returns 0, or the status that answers what is wrong with it. */
    int read(byte[] in, int start, int end) {
        bytes = in;
        Arrays.fill(from, -1);
        length = -1;
        int line = lineEnd(start, end);
        if (!requestLine(start, line)) {
            return 400;
        }
        for (int at = line + 2; at < end - 2; at = line + 2) {
            line = lineEnd(at, end);
            if (!field(at, line)) {
                return 400;
            }
        }
        if (has(HeaderField.ENCODING)) {
            return has(HeaderField.LENGTH) ? 400 : 501;
        }
        if (has(HeaderField.LENGTH)) {
            long stated = digits(HeaderField.LENGTH);
            if (stated < 0) {
                return 400;
            }
            if (stated > LONGEST_BODY) {
                return 413;
            }
            length = (int) stated;
        }
        return 0;
    }

    private int lineEnd(int at, int end) {
        while (at + 1 < end && (bytes[at] != '\r' || bytes[at + 1] != '\n')) {
            at++;
        }
        return at;
    }

    private boolean requestLine(int start, int end) {
        methodAt = start;
        methodEnd = token(start, end);
        int at = methodEnd + 1;
        if (methodEnd == start || at >= end || bytes[methodEnd] != ' ' || bytes[at] != '/') {
            return false;
        }
        pathAt = at;
        queryAt = -1;
        while (at < end && bytes[at] != ' ') {
            if (bytes[at] <= ' ' || bytes[at] == 127) {
                return false;
            }
            if (bytes[at] == '?' && queryAt < 0) {
                queryAt = at + 1;
            }
            at++;
        }
        queryEnd = at;
        pathEnd = queryAt < 0 ? at : queryAt - 1;
        if (end - at != 9 || !matches(at, " HTTP/1.") || (bytes[end - 1] != '0' && bytes[end - 1] != '1')) {
            return false;
        }
        old = bytes[end - 1] == '0';
        return true;
    }

    private int token(int at, int end) {
        while (at < end
                && ((bytes[at] >= 'a' && bytes[at] <= 'z')
                        || (bytes[at] >= 'A' && bytes[at] <= 'Z')
                        || (bytes[at] >= '0' && bytes[at] <= '9')
                        || "!#$%&'*+-.^_`|~".indexOf(bytes[at]) >= 0)) {
            at++;
        }
        return at;
    }

    private boolean field(int start, int end) {
        int colon = token(start, end);
        if (colon == start || colon >= end || bytes[colon] != ':') {
            return false;
        }
        int at = colon + 1;
        int stop = end;
        while (at < stop && (bytes[at] == ' ' || bytes[at] == '\t')) {
            at++;
        }
        while (stop > at && (bytes[stop - 1] == ' ' || bytes[stop - 1] == '\t')) {
            stop--;
        }
        for (int i = at; i < stop; i++) {
            if ((bytes[i] >= 0 && bytes[i] < ' ' && bytes[i] != '\t') || bytes[i] == 127) {
                return false;
            }
        }
        for (HeaderField field : FIELDS) {
            if (named(field, start, colon)) {
                int i = field.ordinal();
                boolean again = from[i] >= 0;
                boolean same = again && Arrays.equals(bytes, from[i], to[i], bytes, at, stop);
                from[i] = at;
                to[i] = stop;
                return !again || same;
            }
        }
        return true;
    }

    private boolean named(HeaderField field, int start, int end) {
        if (end - start != field.name.length) {
            return false;
        }
        for (int i = 0; i < field.name.length; i++) {
            int c = bytes[start + i];
            if ((c >= 'A' && c <= 'Z' ? c + 32 : c) != field.name[i]) {
                return false;
            }
        }
        return true;
    }

    private boolean matches(int at, String text) {
        for (int i = 0; i < text.length(); i++) {
            if (bytes[at + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private String text(int start, int end) {
        return new String(bytes, start, end - start, StandardCharsets.ISO_8859_1);
    }

    String method() {
        return text(methodAt, methodEnd);
    }

    String path() {
        return text(pathAt, pathEnd);
    }

    /** Whether the query sets the name to the value. */
    boolean asks(String pair) {
        return queryAt >= 0 && ("&" + text(queryAt, queryEnd) + "&").contains("&" + pair + "&");
    }

    /** The length of the body, or -1 where none is stated. */
    int length() {
        return length;
    }

    /** Whether the connection is not to be kept. */
    boolean closes() {
        String said = has(HeaderField.CONNECTION) ? text(HeaderField.CONNECTION).toLowerCase(Locale.ROOT) : "";
        return said.contains("close") || (old && !said.contains("keep-alive"));
    }

    boolean expectsToBeAsked() {
        return has(HeaderField.EXPECT);
    }

    boolean has(HeaderField field) {
        return from[field.ordinal()] >= 0;
    }

    String text(HeaderField field) {
        return text(from[field.ordinal()], to[field.ordinal()]);
    }

    /** A number of digits only, or -1. */
    long digits(HeaderField field) {
        int i = field.ordinal();
        if (!has(field) || to[i] == from[i] || to[i] - from[i] > 17) {
            return -1;
        }
        long value = 0;
        for (int at = from[i]; at < to[i]; at++) {
            if (bytes[at] < '0' || bytes[at] > '9') {
                return -1;
            }
            value = value * 10 + bytes[at] - '0';
        }
        return value;
    }

    /** A plain decimal number, or NaN. */
    double number(HeaderField field) {
        int i = field.ordinal();
        if (!has(field) || to[i] == from[i] || to[i] - from[i] > 24) {
            return Double.NaN;
        }
        for (int at = from[i]; at < to[i]; at++) {
            if ("0123456789.eE+-".indexOf(bytes[at]) < 0) {
                return Double.NaN;
            }
        }
        try {
            return Double.parseDouble(text(field));
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** Whether the field holds so many hex digits and nothing else. */
    boolean hex(HeaderField field, int count) {
        int i = field.ordinal();
        if (!has(field) || to[i] - from[i] != count) {
            return false;
        }
        for (int at = from[i]; at < to[i]; at++) {
            if (Character.digit(bytes[at], 16) < 0) {
                return false;
            }
        }
        return true;
    }
}
