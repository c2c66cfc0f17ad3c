package merlinlever.records;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import merlinlever.Outcome;

/**
 * One reply of the records service.
 *
 * @param end where it ends in the bytes it was read from
 */
record RecordsReply(long id, Outcome ending, byte[] body, int end) {

    static final int MAX_LINE_BYTES = 128;
    static final int MAX_BODY_BYTES = 16 * 1024;

    /** Bytes that are no reply. */
    static final class MalformedReplyException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedReplyException(String message) {
            super(message);
        }
    }

    /** The reply that begins at {@code start}, or null as long as it is not whole. */
    static RecordsReply parse(byte[] bytes, int start, int limit) throws MalformedReplyException {
        int at = start;
        while (at + 1 < limit && (bytes[at] != '\r' || bytes[at + 1] != '\n')) {
            // Noise need not have an end, so it is not waited for.
            if (bytes[at] < ' ' || bytes[at] == 127) {
                throw new MalformedReplyException("no reply: what is not text");
            }
            at++;
        }
        if (at + 1 >= limit) {
            if (limit - start > MAX_LINE_BYTES) {
                throw new MalformedReplyException("a line of over " + MAX_LINE_BYTES + " bytes");
            }
            return null;
        }
        String[] parts = new String(bytes, start, at - start, StandardCharsets.ISO_8859_1).split(" ");
        if (parts.length < 2 || parts.length > 3 || parts[0].length() != 16) {
            throw new MalformedReplyException("no reply: " + String.join(" ", parts));
        }
        int bodyAt = at + 2;
        int length = 0;
        int end = bodyAt;
        if (parts.length == 3) {
            long stated = parseNumber(parts[2], 10);
            if (stated < 0 || stated > MAX_BODY_BYTES) {
                throw new MalformedReplyException("no length: " + parts[2]);
            }
            length = (int) stated;
            end = bodyAt + length + 2;
            if (end > limit) {
                return null;
            }
            if (bytes[end - 2] != '\r' || bytes[end - 1] != '\n') {
                throw new MalformedReplyException("a body without its end");
            }
        }
        Outcome ending = ending(parts[1]);
        if (ending == Outcome.OK && parts.length != 3) {
            throw new MalformedReplyException("done, without a length");
        }
        return new RecordsReply(parseNumber(parts[0], 16), ending, Arrays.copyOfRange(bytes, bodyAt, bodyAt + length), end);
    }

    private static long parseNumber(String digits, int radix) throws MalformedReplyException {
        try {
            return Long.parseUnsignedLong(digits, radix);
        } catch (NumberFormatException e) {
            throw new MalformedReplyException("no number: " + digits);
        }
    }

    private static Outcome ending(String word) throws MalformedReplyException {
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
