package merlinlever.backend.records;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import merlinlever.controller.Outcome;

/**
 * A reply of the records service: a line with the request id, a status and, optionally, the length of the body that
 * follows. Immutable.
 */
final class RecordsReply {

    /** Request id and status. */
    private static final int MIN_FIELDS = 2;
    /** Request id, status and length of the body. */
    private static final int MAX_FIELDS = 3;

    static final int MAX_LINE_BYTES = 128;
    static final int MAX_BODY_BYTES = 16 * 1024;
    private static final int REQUEST_ID_DIGITS = 16;
    private static final int LINE_END_BYTES = 2;
    private static final int ASCII_DELETE = 127;

    private final long requestId;
    private final Outcome outcome;
    private final byte[] body;
    private final int end;

    private RecordsReply(long requestId, Outcome outcome, byte[] body, int end) {
        this.requestId = requestId;
        this.outcome = outcome;
        this.body = body;
        this.end = end;
    }

    /** The received bytes violate the protocol, regardless of the bytes that follow. */
    static final class MalformedReplyException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedReplyException(String message) {
            super(message);
        }
    }

    /** Returns the id of the request whose call the reply answers. */
    long requestId() {
        return requestId;
    }

    /** Returns the outcome of the call. */
    Outcome outcome() {
        return outcome;
    }

    /** Returns the body; empty if the reply has none. */
    byte[] body() {
        return body;
    }

    /** Returns the index after the last byte of the reply in the parsed array. */
    int end() {
        return end;
    }

    /**
     * Parses the reply that begins at {@code start}.
     *
     * @return the reply, or empty if it is incomplete
     * @throws MalformedReplyException if the bytes cannot be the beginning of a reply
     */
    static Optional<RecordsReply> parse(byte[] bytes, int start, int limit) throws MalformedReplyException {
        int lineEnd = findLineEnd(bytes, start, limit);
        if (lineEnd < 0) {
            return Optional.empty();
        }
        String[] fields = new String(bytes, start, lineEnd - start, StandardCharsets.ISO_8859_1).split(" ");
        int fieldCount = fields.length;
        if (fieldCount < MIN_FIELDS || fieldCount > MAX_FIELDS || fields[0].length() != REQUEST_ID_DIGITS) {
            throw new MalformedReplyException("invalid reply line: " + String.join(" ", fields));
        }
        int bodyStart = lineEnd + LINE_END_BYTES;
        int length = 0;
        int end = bodyStart;
        boolean hasBody = fieldCount == MAX_FIELDS;
        if (hasBody) {
            length = parseLength(fields[2]);
            end = bodyStart + length + LINE_END_BYTES;
            if (end > limit) {
                return Optional.empty();
            }
            if (bytes[end - 2] != '\r' || bytes[end - 1] != '\n') {
                throw new MalformedReplyException("reply body is not followed by a line end");
            }
        }
        Outcome outcome = parseOutcome(fields[1]);
        if (outcome == Outcome.OK && !hasBody) {
            throw new MalformedReplyException("successful reply has no body length");
        }
        long requestId = parseNumber(fields[0], 16);
        byte[] body = Arrays.copyOfRange(bytes, bodyStart, bodyStart + length);
        return Optional.of(new RecordsReply(requestId, outcome, body, end));
    }

    /** Returns the index of the line end, or -1 if the line is incomplete. */
    private static int findLineEnd(byte[] bytes, int start, int limit) throws MalformedReplyException {
        int index = start;
        while (index + 1 < limit && (bytes[index] != '\r' || bytes[index + 1] != '\n')) {
            // Invalid bytes are rejected without waiting for a line end, which may never arrive. Bytes beyond ASCII are
            // negative.
            if (bytes[index] < ' ' || bytes[index] == ASCII_DELETE) {
                throw new MalformedReplyException("reply line contains a byte outside printable ASCII");
            }
            index++;
        }
        if (index + 1 < limit) {
            return index;
        }
        if (limit - start > MAX_LINE_BYTES) {
            throw new MalformedReplyException("reply line exceeds " + MAX_LINE_BYTES + " bytes");
        }
        return -1;
    }

    private static int parseLength(String digits) throws MalformedReplyException {
        long length = parseNumber(digits, 10);
        if (length < 0 || length > MAX_BODY_BYTES) {
            throw new MalformedReplyException("invalid body length: " + digits);
        }
        return (int) length;
    }

    private static long parseNumber(String digits, int radix) throws MalformedReplyException {
        try {
            return Long.parseUnsignedLong(digits, radix);
        } catch (NumberFormatException e) {
            throw new MalformedReplyException("invalid number: " + digits);
        }
    }

    private static Outcome parseOutcome(String status) throws MalformedReplyException {
        return switch (status) {
            case "DONE" -> Outcome.OK;
            case "WAIT" -> Outcome.REJECTED;
            case "ERROR" -> Outcome.ERROR;
            case "PAST" -> Outcome.TIMED_OUT;
            case "EMPTY" -> Outcome.NOT_STARTED;
            default -> throw new MalformedReplyException("unknown status: " + status);
        };
    }
}
