package merlinlever.backend.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * Parses the head of one request in place: each value is a range of the buffer's bytes until it is asked for, and is
 * valid only as long as those bytes are. An instance is used again for the next head.
 */
final class RequestHead {

    /** The longest head, with its end. */
    static final int MAX_BYTES = 4096;

    static final int MAX_BODY_BYTES = 2048;
    /** The end of a head: two line ends. */
    private static final int END_BYTES = 4;

    private static final int MAX_DIGITS = 17;
    private static final int MAX_NUMBER_CHARS = 24;
    private static final String VERSION_PREFIX = " HTTP/1.";
    private static final int DELETE = 127;

    /**
     * The header fields that are read; any other is ignored. A field that comes twice with different values makes the
     * head malformed, also {@link #OWNER}, which nothing else reads.
     */
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

        @SuppressWarnings("ImmutableEnumChecker") // compared with the bytes as they come, never written
        private final byte[] wireName;

        HeaderField(String wireName) {
            this.wireName = wireName.getBytes(StandardCharsets.US_ASCII);
        }
    }

    private static final HeaderField[] FIELDS = HeaderField.values();

    private final int[] valueStart = new int[FIELDS.length];
    private final int[] valueEnd = new int[FIELDS.length];
    private byte[] bytes;
    private int methodStart;
    private int methodEnd;
    private int pathStart;
    private int pathEnd;
    private int queryStart;
    private int queryEnd;
    private boolean http10;
    private int contentLength;

    /**
     * Finds where the head that begins at {@code start} ends.
     *
     * @param scanned the index up to which the bytes are known to contain no end
     * @return the index after the head, or -1 if it is not complete
     */
    static int findEnd(byte[] bytes, int start, int scanned, int limit) {
        for (int i = Math.max(start, scanned - (END_BYTES - 1)); i + END_BYTES <= limit; i++) {
            if (isLineEnd(bytes, i) && isLineEnd(bytes, i + 2)) {
                return i + END_BYTES;
            }
        }
        return -1;
    }

    private static boolean isLineEnd(byte[] bytes, int at) {
        return bytes[at] == '\r' && bytes[at + 1] == '\n';
    }

    /** Parses the head between the two indexes; returns {@link HttpStatus#OK}, or the status to reject it with. */
    HttpStatus parse(byte[] input, int start, int end) {
        bytes = input;
        Arrays.fill(valueStart, -1);
        contentLength = -1;
        int line = findLineEnd(start, end);
        if (!parseRequestLine(start, line)) {
            return HttpStatus.BAD_REQUEST;
        }
        for (int at = line + 2; at < end - 2; at = line + 2) {
            line = findLineEnd(at, end);
            if (!parseHeaderField(at, line)) {
                return HttpStatus.BAD_REQUEST;
            }
        }
        if (has(HeaderField.TRANSFER_ENCODING)) {
            return has(HeaderField.CONTENT_LENGTH) ? HttpStatus.BAD_REQUEST : HttpStatus.NOT_IMPLEMENTED;
        }
        if (has(HeaderField.CONTENT_LENGTH)) {
            long declared = digits(HeaderField.CONTENT_LENGTH);
            if (declared < 0) {
                return HttpStatus.BAD_REQUEST;
            }
            if (declared > MAX_BODY_BYTES) {
                return HttpStatus.CONTENT_TOO_LARGE;
            }
            contentLength = (int) declared;
        }
        return HttpStatus.OK;
    }

    private int findLineEnd(int at, int end) {
        while (at + 1 < end && !isLineEnd(bytes, at)) {
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
        return parseTarget(at, end) && parseVersion(queryEnd, end);
    }

    private boolean parseTarget(int start, int end) {
        pathStart = start;
        queryStart = -1;
        int at = start;
        while (at < end && bytes[at] != ' ') {
            if (bytes[at] <= ' ' || bytes[at] == DELETE) {
                return false;
            }
            if (bytes[at] == '?' && queryStart < 0) {
                queryStart = at + 1;
            }
            at++;
        }
        queryEnd = at;
        pathEnd = queryStart < 0 ? at : queryStart - 1;
        return true;
    }

    /** Accepts HTTP/1.0 and HTTP/1.1. */
    private boolean parseVersion(int start, int end) {
        if (end - start != VERSION_PREFIX.length() + 1 || !matches(start, VERSION_PREFIX)) {
            return false;
        }
        byte minorVersion = bytes[end - 1];
        if (minorVersion != '0' && minorVersion != '1') {
            return false;
        }
        http10 = minorVersion == '0';
        return true;
    }

    private int skipToken(int at, int end) {
        while (at < end && isTokenCharacter(bytes[at])) {
            at++;
        }
        return at;
    }

    /** RFC 9110, 5.6.2. */
    private static boolean isTokenCharacter(byte character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9')
                || "!#$%&'*+-.^_`|~".indexOf(character) >= 0;
    }

    private static boolean isBlank(byte character) {
        return character == ' ' || character == '\t';
    }

    /** Bytes beyond ASCII are negative, and no control characters. */
    private static boolean isControl(byte character) {
        return (character >= 0 && character < ' ') || character == DELETE;
    }

    private boolean parseHeaderField(int start, int end) {
        int colon = skipToken(start, end);
        if (colon == start || colon >= end || bytes[colon] != ':') {
            return false;
        }
        int at = colon + 1;
        int stop = end;
        while (at < stop && isBlank(bytes[at])) {
            at++;
        }
        while (stop > at && isBlank(bytes[stop - 1])) {
            stop--;
        }
        if (!isFieldValue(at, stop)) {
            return false;
        }
        for (HeaderField field : FIELDS) {
            if (isNamed(field, start, colon)) {
                return setValue(field, at, stop);
            }
        }
        return true;
    }

    /** RFC 9110, 5.5: no control characters but tabs. */
    private boolean isFieldValue(int start, int end) {
        for (int i = start; i < end; i++) {
            if (isControl(bytes[i]) && bytes[i] != '\t') {
                return false;
            }
        }
        return true;
    }

    /** False if the field occurred before with another value. */
    private boolean setValue(HeaderField field, int start, int end) {
        int i = field.ordinal();
        boolean repeated = valueStart[i] >= 0;
        boolean isSame = repeated && Arrays.equals(bytes, valueStart[i], valueEnd[i], bytes, start, end);
        valueStart[i] = start;
        valueEnd[i] = end;
        return !repeated || isSame;
    }

    private boolean isNamed(HeaderField field, int start, int end) {
        if (end - start != field.wireName.length) {
            return false;
        }
        for (int i = 0; i < field.wireName.length; i++) {
            int character = bytes[start + i];
            int lowerCase = character >= 'A' && character <= 'Z' ? character - 'A' + 'a' : character;
            if (lowerCase != field.wireName[i]) {
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

    /** The method, as received. */
    String method() {
        return text(methodStart, methodEnd);
    }

    /** Without the query. */
    String path() {
        return text(pathStart, pathEnd);
    }

    /** Whether the query has this {@code name=value}. */
    boolean hasQueryParameter(String pair) {
        return queryStart >= 0 && ("&" + text(queryStart, queryEnd) + "&").contains("&" + pair + "&");
    }

    /** The length of the body, or -1 where none is declared. */
    int contentLength() {
        return contentLength;
    }

    /** Whether the connection ends with the response: on request, and in HTTP/1.0 by default. */
    boolean closesConnection() {
        String option =
                has(HeaderField.CONNECTION) ? text(HeaderField.CONNECTION).toLowerCase(Locale.ROOT) : "";
        return option.contains("close") || (http10 && !option.contains("keep-alive"));
    }

    /** Whether the client waits for "100 Continue" before it sends the body. */
    boolean expectsContinue() {
        return has(HeaderField.EXPECT);
    }

    /** Whether the head has the field. */
    boolean has(HeaderField field) {
        return valueStart[field.ordinal()] >= 0;
    }

    /** The value of a field that the head has, without surrounding blanks. */
    String text(HeaderField field) {
        return text(valueStart[field.ordinal()], valueEnd[field.ordinal()]);
    }

    /** The value of a field that consists of 1 to {@value #MAX_DIGITS} digits only, or -1. */
    long digits(HeaderField field) {
        int i = field.ordinal();
        if (!has(field) || valueEnd[i] == valueStart[i] || valueEnd[i] - valueStart[i] > MAX_DIGITS) {
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

    /** The value of a field that is a decimal number of {@value #MAX_NUMBER_CHARS} characters at most, or NaN. */
    double number(HeaderField field) {
        int i = field.ordinal();
        if (!has(field) || valueEnd[i] == valueStart[i] || valueEnd[i] - valueStart[i] > MAX_NUMBER_CHARS) {
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

    /** Whether the value consists of exactly this number of hexadecimal digits. */
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
