package merlinlever.dns.record;

/** What came is not what the format allows; its message says why in one line. It carries no trace, as it may come often. */
public final class MalformedDnsException extends Exception {
    private static final long serialVersionUID = 1;

    public MalformedDnsException(String message) {
        super(message, null, false, false);
    }
}
