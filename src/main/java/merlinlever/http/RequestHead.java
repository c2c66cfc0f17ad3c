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
    static final int MAX_BYTES = 4096;

    static final int MAX_BODY_BYTES = 2048;

    /** The fields that mean something here; any other is passed over. */
    // Nothing reads OWNER since tenant shares went; known, two that differ are still refused.
    enum HeaderField {
        CONTENT_LENGTH("content-length"),
        TRANSFER_ENCODING("transfer-encoding"),
        CONNECTION("connection"),
        EXPECT("expect"),
        REQUEST_ID("req-id"),
        SENT_AT("req-time"),
        SENDER("req-from"),
        MAX_WAIT("req-wait-ms"),
        EXPECTED_COST("req-cost"),
        MEMORY_KB("req-kb"),
        RANK("req-rank"),
        IDEMPOTENCY_KEY("req-token"),
        SUBJECT_KEY("req-key"),
        OWNER("req-owner"),
        RETRY("req-retry");

        private final byte[] wireName;

        HeaderField(String wireName) {
            this.wireName = wireName.getBytes(StandardCharsets.US_ASCII);
        }
    }

    private static final HeaderField[] FIELDS = HeaderField.values();

    private final int[] valueStart = new int[FIELDS.length];
    private final int[] valueEnd = new int[FIELDS.length];
    private byte[] bytes;
    private int methodStart, methodEnd, pathStart, pathEnd, queryStart, queryEnd;
    private boolean http10;
    private int contentLength;

    /** Where the head that begins at {@code start} ends, or -1; nothing before {@code seen} needs looking at. */
    static int findEnd(byte[] bytes, int start, int seen, int limit) {
        for (int i = Math.max(start, seen - 3); i + 4 <= limit; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n' && bytes[i + 2] == '\r' && bytes[i + 3] == '\n') {
                return i + 4;
            }
        }
        return -1;
    }

    /** Reads the head between the places; returns 0, or the status that answers what is wrong with it. */
    int parse(byte[] in, int start, int end) {
        bytes = in;
        Arrays.fill(valueStart, -1);
        contentLength = -1;
        int line = findLineEnd(start, end);
        if (!parseRequestLine(start, line)) {
            return 400;
        }
        for (int at = line + 2; at < end - 2; at = line + 2) {
            line = findLineEnd(at, end);
            if (!parseHeaderField(at, line)) {
                return 400;
            }
        }
        if (has(HeaderField.TRANSFER_ENCODING)) {
            return has(HeaderField.CONTENT_LENGTH) ? 400 : 501;
        }
        if (has(HeaderField.CONTENT_LENGTH)) {
            long stated = digits(HeaderField.CONTENT_LENGTH);
            if (stated < 0) {
                return 400;
            }
            if (stated > MAX_BODY_BYTES) {
                return 413;
            }
            contentLength = (int) stated;
        }
        return 0;
    }

    private int findLineEnd(int at, int end) {
        while (at + 1 < end && (bytes[at] != '\r' || bytes[at + 1] != '\n')) {
            at++;
        }
        return at;
    }

    private boolean parseRequestLine(int start, int end) {
        methodStart = start;
        methodEnd = skipToken(start, end);
        int at = methodEnd + 1;
        if (methodEnd == start || at >= end || bytes[methodEnd] != ' ' || bytes[at] != '/') {
            return false;
        }
        pathStart = at;
        queryStart = -1;
        while (at < end && bytes[at] != ' ') {
            if (bytes[at] <= ' ' || bytes[at] == 127) {
                return false;
            }
            if (bytes[at] == '?' && queryStart < 0) {
                queryStart = at + 1;
            }
            at++;
        }
        queryEnd = at;
        pathEnd = queryStart < 0 ? at : queryStart - 1;
        if (end - at != 9 || !matches(at, " HTTP/1.") || (bytes[end - 1] != '0' && bytes[end - 1] != '1')) {
            return false;
        }
        http10 = bytes[end - 1] == '0';
        return true;
    }

    private int skipToken(int at, int end) {
        while (at < end
                && ((bytes[at] >= 'a' && bytes[at] <= 'z')
                        || (bytes[at] >= 'A' && bytes[at] <= 'Z')
                        || (bytes[at] >= '0' && bytes[at] <= '9')
                        || "!#$%&'*+-.^_`|~".indexOf(bytes[at]) >= 0)) {
            at++;
        }
        return at;
    }

    private boolean parseHeaderField(int start, int end) {
        int colon = skipToken(start, end);
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
            if (isNamed(field, start, colon)) {
                int i = field.ordinal();
                boolean again = valueStart[i] >= 0;
                boolean same = again && Arrays.equals(bytes, valueStart[i], valueEnd[i], bytes, at, stop);
                valueStart[i] = at;
                valueEnd[i] = stop;
                return !again || same;
            }
        }
        return true;
    }

    private boolean isNamed(HeaderField field, int start, int end) {
        if (end - start != field.wireName.length) {
            return false;
        }
        for (int i = 0; i < field.wireName.length; i++) {
            int c = bytes[start + i];
            if ((c >= 'A' && c <= 'Z' ? c + 32 : c) != field.wireName[i]) {
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
        return text(methodStart, methodEnd);
    }

    String path() {
        return text(pathStart, pathEnd);
    }

    /** Whether the query sets the name to the value. */
    boolean hasQueryParameter(String pair) {
        return queryStart >= 0 && ("&" + text(queryStart, queryEnd) + "&").contains("&" + pair + "&");
    }

    /** The length of the body, or -1 where none is stated. */
    int contentLength() {
        return contentLength;
    }

    /** Whether the connection is not to be kept. */
    boolean closesConnection() {
        String said = has(HeaderField.CONNECTION) ? text(HeaderField.CONNECTION).toLowerCase(Locale.ROOT) : "";
        return said.contains("close") || (http10 && !said.contains("keep-alive"));
    }

    boolean expectsContinue() {
        return has(HeaderField.EXPECT);
    }

    boolean has(HeaderField field) {
        return valueStart[field.ordinal()] >= 0;
    }

    String text(HeaderField field) {
        return text(valueStart[field.ordinal()], valueEnd[field.ordinal()]);
    }

    /** A number of digits only, or -1. */
    long digits(HeaderField field) {
        int i = field.ordinal();
        if (!has(field) || valueEnd[i] == valueStart[i] || valueEnd[i] - valueStart[i] > 17) {
            return -1;
        }
        long value = 0;
        for (int at = valueStart[i]; at < valueEnd[i]; at++) {
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
        if (!has(field) || valueEnd[i] == valueStart[i] || valueEnd[i] - valueStart[i] > 24) {
            return Double.NaN;
        }
        for (int at = valueStart[i]; at < valueEnd[i]; at++) {
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
    boolean isHex(HeaderField field, int count) {
        int i = field.ordinal();
        if (!has(field) || valueEnd[i] - valueStart[i] != count) {
            return false;
        }
        for (int at = valueStart[i]; at < valueEnd[i]; at++) {
            if (Character.digit(bytes[at], 16) < 0) {
                return false;
            }
        }
        return true;
    }
}
