package merlinlever.dns.server;

import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.Tsig;

/**
 * A message that was parsed and whose signature, if any, is valid.
 *
 * @param verification of its signature, or null where it is unsigned
 * @param replyChannel where its response goes
 */
record DnsRequest(DnsMessage message, Tsig.Verification verification, ReplyChannel replyChannel) {

    /** The name of the key that signed it, or null. */
    byte[] keyName() {
        return verification == null ? null : verification.key().name();
    }
}
