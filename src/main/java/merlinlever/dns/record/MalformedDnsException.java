package merlinlever.dns.record;

/** Input that the format does not allow; the message says why in one line. It has no stack trace, as it may be frequent. */
public final class MalformedDnsException extends Exception {
    private static final long serialVersionUID = 1;
    private static final int MAX_EXCERPT_CHARS = 40;

    /** An exception with one line for the sender or the operator. */
    public MalformedDnsException(String message) {
        super(message, null, false, false);
    }

    /** The input as it is quoted in a message: cut where it is long. */
    public static String excerpt(String input) {
        return input.length() > MAX_EXCERPT_CHARS ? input.substring(0, MAX_EXCERPT_CHARS) + "..." : input;
    }
}
