package merlinlever.backend.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * Parses the head of a request in place. Field values are stored as ranges of the input buffer, and are valid only
 * while the bytes of the buffer remain unchanged. An instance can be reused for the next head.
 */
final class RequestHead {

    /** Maximum length of a head, including the two line ends that terminate the head. */
    static final int MAX_BYTES = 4096;

    static final int MAX_BODY_BYTES = 2048;
    /** Length of the two line ends that terminate a head. */
    private static final int END_BYTES = 4;

    private static final int MAX_DIGITS = 17;
    private static final int MAX_NUMBER_CHARS = 24;
    private static final String VERSION_PREFIX = " HTTP/1.";
    private static final int DELETE = 127;

    /**
     * The supported header fields; all others are ignored. A head with conflicting values of a field is malformed. For
     * {@link #OWNER}, this check is the only use.
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

        @SuppressWarnings("ImmutableEnumChecker") // the array is never modified
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
     * Finds the end of the head that begins at {@code start}.
     *
     * @param scanned the index up to which the bytes have already been scanned without finding the end
     * @return the index after the head, or -1 if the head is incomplete
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

    /** Parses the head between the two indexes. Returns {@link HttpStatus#OK}, or the status of the rejection. */
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

    /** Returns whether the character may occur in a token (RFC 9110, section 5.6.2). */
    private static boolean isTokenCharacter(byte character) {
        return (character >= 'a' && character <= 'z')
                || (character >= 'A' && character <= 'Z')
                || (character >= '0' && character <= '9')
                || "!#$%&'*+-.^_`|~".indexOf(character) >= 0;
    }

    private static boolean isBlank(byte character) {
        return character == ' ' || character == '\t';
    }

    /** Returns whether the byte is an ASCII control character; non-ASCII bytes are negative. */
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

    /** Returns whether the value contains no control characters other than tabs (RFC 9110, section 5.5). */
    private boolean isFieldValue(int start, int end) {
        for (int i = start; i < end; i++) {
            if (isControl(bytes[i]) && bytes[i] != '\t') {
                return false;
            }
        }
        return true;
    }

    /** Sets the value of a field. Returns false if the field has already occurred with a different value. */
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

    /** Returns the method, as received. */
    String method() {
        return text(methodStart, methodEnd);
    }

    /** Returns the path, without the query. */
    String path() {
        return text(pathStart, pathEnd);
    }

    /** Returns whether the query contains the {@code name=value} pair. */
    boolean hasQueryParameter(String pair) {
        return queryStart >= 0 && ("&" + text(queryStart, queryEnd) + "&").contains("&" + pair + "&");
    }

    /** Returns the declared length of the body, or -1 if no length is declared. */
    int contentLength() {
        return contentLength;
    }

    /** Returns whether to close the connection after the response: on request, or by default in HTTP/1.0. */
    boolean closesConnection() {
        String option =
                has(HeaderField.CONNECTION) ? text(HeaderField.CONNECTION).toLowerCase(Locale.ROOT) : "";
        return option.contains("close") || (http10 && !option.contains("keep-alive"));
    }

    /** Returns whether the client waits for "100 Continue" before sending the body. */
    boolean expectsContinue() {
        return has(HeaderField.EXPECT);
    }

    /** Returns whether the head contains the field. */
    boolean has(HeaderField field) {
        return valueStart[field.ordinal()] >= 0;
    }

    /** Returns the value of a field, without surrounding blanks. The head must contain the field. */
    String text(HeaderField field) {
        return text(valueStart[field.ordinal()], valueEnd[field.ordinal()]);
    }

    /** Returns the value of a field that consists of 1 to {@value #MAX_DIGITS} digits, or -1 for any other value. */
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

    /** Returns the value of a field as a number, or NaN if invalid or over {@value #MAX_NUMBER_CHARS} characters. */
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

    /** Returns whether the value of the field consists of exactly {@code count} hexadecimal digits. */
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
