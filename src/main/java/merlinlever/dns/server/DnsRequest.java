package merlinlever.dns.server;

import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.Tsig;

/**
 * A parsed message and the result of verifying its signature.
 *
 * @param verification the result of the verification, or null for an unsigned message
 * @param replyChannel sends the response
 */
record DnsRequest(DnsMessage message, Tsig.Verification verification, ReplyChannel replyChannel) {

    /** Returns the name of the key that signed the message, or null for an unsigned message. */
    byte[] keyName() {
        return verification == null ? null : verification.key().name();
    }
}
