package merlinlever.dns.server;

import java.util.Optional;
import java.util.function.LongSupplier;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.Tsig;

/** Parses messages and verifies their signatures; answers or drops the messages that fail. */
final class MessageVerifier {

    private final Tsig.TsigKeyRing keys;
    private final LongSupplier unixClock;
    private final ImmediateResponder responder;

    /** @param unixClock returns Unix seconds */
    MessageVerifier(Tsig.TsigKeyRing keys, LongSupplier unixClock, ImmediateResponder responder) {
        this.keys = keys;
        this.unixClock = unixClock;
        this.responder = responder;
    }

    /** Returns the verified request, or empty if the message was answered or dropped. */
    Optional<DnsRequest> verify(byte[] octets, ReplyChannel replyChannel) {
        if (responder.isDropped(octets)) {
            return Optional.empty();
        }
        DnsRequest request;
        try {
            DnsMessage message = DnsMessage.read(octets);
            Tsig.Verification verification =
                    message.signature() == null ? null : Tsig.verify(message, keys, unixClock.getAsLong(), null);
            request = new DnsRequest(message, verification, replyChannel);
        } catch (MalformedDnsException e) {
            responder.answerMalformed(octets, replyChannel);
            return Optional.empty();
        }
        if (request.verification() != null && request.verification().error() != 0) {
            responder.answer(request, DynamicUpdate.NOTAUTH);
            return Optional.empty();
        }
        DnsMessage.Edns edns = request.message().edns();
        if (edns != null && edns.version() > 0) {
            responder.answerUnsupportedEdns(request);
            return Optional.empty();
        }
        return Optional.of(request);
    }
}
