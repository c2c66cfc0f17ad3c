package merlinlever.dns.server;

import merlinlever.dns.wire.DnsMessage;

/** Answers requests that are not submitted to the overload controller, and counts them. */
final class ImmediateResponder {

    private final ResponseBuilder responses;
    private final ZoneServerMetrics metrics;

    ImmediateResponder(ResponseBuilder responses, ZoneServerMetrics metrics) {
        this.responses = responses;
        this.metrics = metrics;
    }

    /** Answers with a response code and no records. */
    void answer(DnsRequest request, int code) {
        metrics.answeredWithCode(code);
        request.replyChannel().answer(responses.withCode(request.message(), request.verification(), code));
    }

    /** Answers a request whose EDNS version is not supported (RFC 6891 section 6.1.3). */
    void answerUnsupportedEdns(DnsRequest request) {
        request.replyChannel().answer(responses.unsupportedEdns(request.message(), request.verification()));
    }

    /** Answers a message that cannot be parsed. */
    void answerMalformed(byte[] octets, ReplyChannel replyChannel) {
        metrics.malformed();
        replyChannel.answer(ResponseBuilder.malformed(octets));
    }

    /**
     * Whether the octets are dropped, because they have no complete header or are a response; counts dropped octets.
     * Answering responses could cause an endless exchange between two servers.
     */
    boolean isDropped(byte[] octets) {
        boolean dropped = DnsMessage.id(octets) < 0 || (DnsMessage.flags(octets) & DnsMessage.RESPONSE) != 0;
        if (dropped) {
            metrics.dropped();
        }
        return dropped;
    }
}
