package merlinlever.backend.records;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import merlinlever.controller.Outcome;

/** One reply of the records service: a line of the request's id, a status word and a length, then the body. */
final class RecordsReply {

    /** The request id and the outcome. */
    private static final int MIN_WORDS = 2;
    /** With the length of a body. */
    private static final int MAX_WORDS = 3;

    static final int MAX_LINE_BYTES = 128;
    static final int MAX_BODY_BYTES = 16 * 1024;
    private static final int REQUEST_ID_DIGITS = 16;
    private static final int HEXADECIMAL = 16;
    private static final int DECIMAL = 10;
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

    /** Bytes that cannot be or become a reply. */
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

    /** The place behind the reply in the bytes that it was read from. */
    int end() {
        return end;
    }

    /**
     * Reads the reply that begins at {@code start}; empty as long as it is not complete.
     *
     * @throws MalformedReplyException if no further bytes can make it a reply
     */
    static Optional<RecordsReply> parse(byte[] bytes, int start, int limit) throws MalformedReplyException {
        int lineEnd = findLineEnd(bytes, start, limit);
        if (lineEnd < 0) {
            return Optional.empty();
        }
        String[] words = new String(bytes, start, lineEnd - start, StandardCharsets.ISO_8859_1).split(" ");
        int wordCount = words.length;
        if (wordCount < MIN_WORDS || wordCount > MAX_WORDS || words[0].length() != REQUEST_ID_DIGITS) {
            throw new MalformedReplyException("no reply: " + String.join(" ", words));
        }
        int bodyStart = lineEnd + LINE_END_BYTES;
        int length = 0;
        int end = bodyStart;
        boolean hasBody = wordCount == MAX_WORDS;
        if (hasBody) {
            length = parseLength(words[2]);
            end = bodyStart + length + LINE_END_BYTES;
            if (end > limit) {
                return Optional.empty();
            }
            if (bytes[end - 2] != '\r' || bytes[end - 1] != '\n') {
                throw new MalformedReplyException("a body without its end");
            }
        }
        Outcome outcome = parseOutcome(words[1]);
        if (outcome == Outcome.OK && !hasBody) {
            throw new MalformedReplyException("done, without a length");
        }
        long requestId = parseNumber(words[0], HEXADECIMAL);
        byte[] body = Arrays.copyOfRange(bytes, bodyStart, bodyStart + length);
        return Optional.of(new RecordsReply(requestId, outcome, body, end));
    }

    /** The place of the line's end, or -1 as long as it has none. */
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
        long declared = parseNumber(digits, DECIMAL);
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
