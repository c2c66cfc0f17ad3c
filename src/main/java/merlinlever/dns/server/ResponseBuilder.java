package merlinlever.dns.server;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.Lookup;
import merlinlever.dns.state.RecordSet;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.MessageSection;
import merlinlever.dns.wire.MessageWriter;
import merlinlever.dns.wire.Opcode;
import merlinlever.dns.wire.Tsig;

/** Builds responses with their sections, EDNS fields, truncation and signatures. */
final class ResponseBuilder {

    /** Maximum size in octets of a datagram; avoids fragmentation on common paths (RFC 9715 section 3). */
    static final int MAX_DATAGRAM_BYTES = 1232;

    /** Extended response code for an unsupported EDNS version (RFC 6891 section 9). */
    private static final int BADVERS = 16;

    /** EDNS option code of an extended error (RFC 8914 section 2). */
    private static final int EXTENDED_ERROR_OPTION = 15;

    /** Extended error code Not Ready (RFC 8914 section 4.15). */
    private static final int NOT_READY = 14;

    /** Size in octets of the fixed fields of the option: option code, length and error code. */
    private static final int EXTENDED_ERROR_FIXED_BYTES = 3 * Short.BYTES;

    /** Header bits that a response copies from its request. */
    private static final int REPEATED_FLAGS = Opcode.FLAGS_MASK | DnsMessage.RECURSION_DESIRED;

    /** Size in octets of an OPT record without options: the root name and the fixed fields. */
    private static final int EDNS_BYTES = 1 + DnsMessage.RECORD_FIXED_BYTES;

    /** Size in octets of a record without its data, with the owner compressed to a pointer. */
    private static final int COMPRESSED_RECORD_BYTES = 2 + DnsMessage.RECORD_FIXED_BYTES;

    private final LongSupplier unixClock;

    ResponseBuilder(LongSupplier unixClock) {
        this.unixClock = unixClock;
    }

    /** Builds the response to a message that cannot be parsed, which consists of a header only. */
    static byte[] malformed(byte[] octets) {
        return new MessageWriter(
                        DnsMessage.id(octets),
                        DnsMessage.RESPONSE | (DnsMessage.flags(octets) & REPEATED_FLAGS) | DynamicUpdate.FORMERR,
                        DnsMessage.HEADER_BYTES)
                .toBytes();
    }

    /** Builds a response with a response code and no records. */
    byte[] withCode(DnsMessage request, Tsig.Verification verification, int code) {
        return signed(
                request,
                verification,
                head(request, code, maxLength(verification), code, null).toBytes());
    }

    /** Builds the response to a rejected request; with EDNS, an extended error states the retry delay. */
    byte[] rejection(DnsMessage request, Tsig.Verification verification, Duration retryAfter) {
        byte[] options = retryAfter.isZero()
                ? null
                : extendedError(NOT_READY, "full, come again in " + retryAfter.toMillis() + " ms");
        return signed(
                request,
                verification,
                head(request, DynamicUpdate.REFUSED, maxLength(verification), DynamicUpdate.REFUSED, options)
                        .toBytes());
    }

    private static byte[] extendedError(int code, String message) {
        byte[] text = message.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer option = ByteBuffer.allocate(EXTENDED_ERROR_FIXED_BYTES + text.length);
        option.putShort((short) EXTENDED_ERROR_OPTION);
        option.putShort((short) (Short.BYTES + text.length));
        option.putShort((short) code);
        return option.put(text).array();
    }

    /** Builds the response to a request whose EDNS version is not supported. */
    byte[] unsupportedEdns(DnsMessage request, Tsig.Verification verification) {
        return signed(
                request,
                verification,
                head(request, 0, maxLength(verification), BADVERS, null).toBytes());
    }

    private static int maxLength(Tsig.Verification verification) {
        return DnsMessage.MAX_BYTES
                - (verification == null || verification.key() == null ? 0 : Tsig.maxSignatureBytes(verification.key()));
    }

    private static MessageWriter head(DnsMessage request, int code, int maxBytes, int extended, byte[] options) {
        MessageWriter out = new MessageWriter(
                request.id(), DnsMessage.RESPONSE | (request.flags() & REPEATED_FLAGS) | code, maxBytes);
        if (request.hasQuestion()) {
            out.question(request.name(), request.type(), request.dclass());
        }
        if (request.edns() != null) {
            out.edns(MAX_DATAGRAM_BYTES, extended, options);
        }
        return out;
    }

    private byte[] signed(DnsMessage request, Tsig.Verification verification, byte[] response) {
        if (verification == null) {
            return response;
        }
        return switch (verification.error()) {
            case 0 -> Tsig.sign(response, verification.key(), unixClock.getAsLong(), verification.mac())
                    .octets();
            case Tsig.BADTIME -> Tsig.signBadTime(
                            response,
                            verification.key(),
                            verification.time(),
                            unixClock.getAsLong(),
                            verification.mac())
                    .octets();
            default -> Tsig.unsignedError(response, request.signature(), verification.error());
        };
    }

    /** Builds the response to a query, truncated if the response does not fit a datagram. */
    byte[] answer(DnsMessage request, Tsig.Verification verification, Lookup.Answer answer, boolean isDatagram) {
        int maxBytes = DnsMessage.MAX_BYTES;
        if (isDatagram) {
            int clientMaxBytes = request.edns() == null
                    ? DnsMessage.MAX_PLAIN_DATAGRAM_BYTES
                    : request.edns().maxDatagramBytes();
            maxBytes = Math.max(DnsMessage.MAX_PLAIN_DATAGRAM_BYTES, Math.min(clientMaxBytes, MAX_DATAGRAM_BYTES));
        }
        maxBytes -= verification == null ? 0 : Tsig.maxSignatureBytes(verification.key());
        MessageWriter out = new MessageWriter(
                request.id(),
                DnsMessage.RESPONSE
                        | (answer.authoritative ? DnsMessage.AUTHORITATIVE : 0)
                        | (request.flags() & REPEATED_FLAGS)
                        | answer.code,
                maxBytes);
        out.question(request.name(), request.type(), request.dclass());
        int questionEnd = out.length();
        int reserved = request.edns() == null ? 0 : EDNS_BYTES;
        boolean isComplete = appendSection(out, MessageSection.ANSWER, answer.answer, maxBytes - reserved, request.id())
                && appendSection(out, MessageSection.AUTHORITY, answer.authority, maxBytes - reserved, request.id());
        if (!isComplete) {
            out.truncateToQuestion(questionEnd);
            out.setFlag(DnsMessage.TRUNCATED);
        } else {
            // Additional records are optional; those that do not fit are omitted.
            appendSection(out, MessageSection.ADDITIONAL, answer.additional, maxBytes - reserved, request.id());
        }
        if (request.edns() != null) {
            out.edns(MAX_DATAGRAM_BYTES, 0, null);
        }
        return signed(request, verification, out.toBytes());
    }

    /** Appends record sets, each rotated by {@code rotation}, which spreads clients over the records (RFC 1794). */
    private static boolean appendSection(
            MessageWriter out, MessageSection section, List<Lookup.AnswerSet> sets, int maxBytes, int rotation) {
        for (Lookup.AnswerSet answerSet : sets) {
            RecordSet set = answerSet.set();
            for (int i = 0; i < set.size(); i++) {
                byte[] data = set.data((i + rotation) % set.size());
                if ((out.length() + answerSet.owner().length + DnsMessage.RECORD_FIXED_BYTES + data.length > maxBytes
                                && out.length() + COMPRESSED_RECORD_BYTES + data.length > maxBytes)
                        || !out.record(section, answerSet.owner(), set.type(), RecordTypes.IN, answerSet.ttl(), data)) {
                    return false;
                }
            }
        }
        return true;
    }
}
