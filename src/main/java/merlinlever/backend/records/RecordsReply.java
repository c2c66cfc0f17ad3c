package merlinlever.backend.records;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import merlinlever.controller.Outcome;

/**
 * One reply of the downstream service: a line with the id of the request, a status and the length of the body, then the
 * body. Immutable.
 */
final class RecordsReply {

    /** The request id and the outcome. */
    private static final int MIN_PARTS = 2;
    /** With the length of a body. */
    private static final int MAX_PARTS = 3;

    static final int MAX_LINE_BYTES = 128;
    static final int MAX_BODY_BYTES = 16 * 1024;
    private static final int REQUEST_ID_DIGITS = 16;
    private static final int LINE_END_BYTES = 2;
    private static final int DELETE = 127;

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

    /** The bytes violate the protocol, whatever follows them. */
    static final class MalformedReplyException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedReplyException(String message) {
            super(message);
        }
    }

    /** The request whose call this is the reply to. */
    long requestId() {
        return requestId;
    }

    /** How the call ended. */
    Outcome outcome() {
        return outcome;
    }

    /** Empty where the reply has none. */
    byte[] body() {
        return body;
    }

    /** The index after the reply in the bytes that it was parsed from. */
    int end() {
        return end;
    }

    /**
     * Parses the reply that begins at {@code start}; empty if it is not complete.
     *
     * @throws MalformedReplyException if no further bytes can make it a reply
     */
    static Optional<RecordsReply> parse(byte[] bytes, int start, int limit) throws MalformedReplyException {
        int lineEnd = findLineEnd(bytes, start, limit);
        if (lineEnd < 0) {
            return Optional.empty();
        }
        String[] parts = new String(bytes, start, lineEnd - start, StandardCharsets.ISO_8859_1).split(" ");
        int partCount = parts.length;
        if (partCount < MIN_PARTS || partCount > MAX_PARTS || parts[0].length() != REQUEST_ID_DIGITS) {
            throw new MalformedReplyException("no reply: " + String.join(" ", parts));
        }
        int bodyStart = lineEnd + LINE_END_BYTES;
        int length = 0;
        int end = bodyStart;
        boolean hasBody = partCount == MAX_PARTS;
        if (hasBody) {
            length = parseLength(parts[2]);
            end = bodyStart + length + LINE_END_BYTES;
            if (end > limit) {
                return Optional.empty();
            }
            if (bytes[end - 2] != '\r' || bytes[end - 1] != '\n') {
                throw new MalformedReplyException("a body without its end");
            }
        }
        Outcome outcome = parseOutcome(parts[1]);
        if (outcome == Outcome.OK && !hasBody) {
            throw new MalformedReplyException("done, without a length");
        }
        long requestId = parseNumber(parts[0], 16);
        byte[] body = Arrays.copyOfRange(bytes, bodyStart, bodyStart + length);
        return Optional.of(new RecordsReply(requestId, outcome, body, end));
    }

    /** The index of the line's end, or -1 if the line is not complete. */
    private static int findLineEnd(byte[] bytes, int start, int limit) throws MalformedReplyException {
        int at = start;
        while (at + 1 < limit && (bytes[at] != '\r' || bytes[at + 1] != '\n')) {
            // Noise need not have a line end, so it is not waited for; bytes beyond ASCII are negative.
            if (bytes[at] < ' ' || bytes[at] == DELETE) {
                throw new MalformedReplyException("no reply: not text");
            }
            at++;
        }
        if (at + 1 < limit) {
            return at;
        }
        if (limit - start > MAX_LINE_BYTES) {
            throw new MalformedReplyException("a line of over " + MAX_LINE_BYTES + " bytes");
        }
        return -1;
    }

    private static int parseLength(String digits) throws MalformedReplyException {
        long declared = parseNumber(digits, 10);
        if (declared < 0 || declared > MAX_BODY_BYTES) {
            throw new MalformedReplyException("no length: " + digits);
        }
        return (int) declared;
    }

    private static long parseNumber(String digits, int radix) throws MalformedReplyException {
        try {
            return Long.parseUnsignedLong(digits, radix);
        } catch (NumberFormatException e) {
            throw new MalformedReplyException("no number: " + digits);
        }
    }

    private static Outcome parseOutcome(String word) throws MalformedReplyException {
        return switch (word) {
            case "DONE" -> Outcome.OK;
            case "WAIT" -> Outcome.REJECTED;
            case "ERROR" -> Outcome.ERROR;
            case "PAST" -> Outcome.TIMED_OUT;
            case "EMPTY" -> Outcome.NOT_STARTED;
            default -> throw new MalformedReplyException("unknown word " + word);
        };
    }
}
