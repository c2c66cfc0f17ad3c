package merlinlever.dns.record;

/** Reports malformed input with a message of one line. Has no stack trace, because malformed input may be frequent. */
public final class MalformedDnsException extends Exception {
    private static final long serialVersionUID = 1;
    private static final int MAX_EXCERPT_CHARS = 40;

    /** Creates an exception with a one-line message for the sender or the operator. */
    public MalformedDnsException(String message) {
        super(message, null, false, false);
    }

    /** Shortens long input for an error message. */
    public static String excerpt(String input) {
        return input.length() > MAX_EXCERPT_CHARS ? input.substring(0, MAX_EXCERPT_CHARS) + "..." : input;
    }
}
