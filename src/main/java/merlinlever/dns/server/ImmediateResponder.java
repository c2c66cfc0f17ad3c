package merlinlever.dns.server;

import merlinlever.dns.wire.DnsMessage;

/** Answers requests that are not admitted to the overload controller, and counts them by response code. */
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

    /** Answers a request with a version of EDNS that is not supported (RFC 6891 section 6.1.3). */
    void answerUnknownEdns(DnsRequest request) {
        request.replyChannel().answer(responses.unknownEdns(request.message(), request.verification()));
    }

    /** Answers what cannot be parsed. */
    void answerMalformed(byte[] octets, ReplyChannel replyChannel) {
        metrics.malformed();
        replyChannel.answer(ResponseBuilder.malformed(octets));
    }

    /** Drops what has no header, and responses: two servers would otherwise answer each other for ever. */
    boolean isDropped(byte[] octets) {
        boolean dropped = DnsMessage.id(octets) < 0 || (DnsMessage.flags(octets) & DnsMessage.RESPONSE) != 0;
        if (dropped) {
            metrics.dropped();
        }
        return dropped;
    }
}
