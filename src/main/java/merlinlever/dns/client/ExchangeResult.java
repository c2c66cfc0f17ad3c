package merlinlever.dns.client;

import merlinlever.dns.wire.DnsMessage;

/**
 * How a question or an update ended.
 *
 * @param message the answer where there is one, else null
 */
public record ExchangeResult(ExchangeStatus status, DnsMessage message) {

    /** Every way in which one can end, and what each means for an update. */
    public enum ExchangeStatus {
        /** With an answer whose signature holds: the code says what was done. */
        ANSWERED,
        /** It never got there: nothing was done. */
        UNREACHABLE,
        /** No answer that can be believed came in time: it may have been done. */
        LOST,
        /** The other side does not take the key, as it says unsigned: very likely nothing was done. */
        KEY_REFUSED
    }

    public boolean isSuccessful() {
        return status == ExchangeStatus.ANSWERED && message.code() == 0;
    }

    /** One line for people. */
    public String describe() {
        return switch (status) {
            case ANSWERED -> org.xbill.DNS.Rcode.string(message.code())
                    + (message.signature() != null && message.signature().error() != 0
                            ? " ("
                                    + org.xbill.DNS.Rcode.TSIGstring(
                                            message.signature().error()) + ")"
                            : "");
            case UNREACHABLE -> "cannot be reached";
            case LOST -> "no answer in time; it may have been done";
            case KEY_REFUSED -> "does not take the key";
        };
    }
}
