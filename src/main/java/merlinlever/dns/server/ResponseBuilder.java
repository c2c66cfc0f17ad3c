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

/** Builds responses: sections, EDNS, truncation, signatures. Decides nothing. */
final class ResponseBuilder {

    /** Octets of a datagram that is not fragmented on usual paths; stated in EDNS and kept to (RFC 9715 section 3). */
    static final int MAX_DATAGRAM_BYTES = 1232;

    /** The extended response code for a version of EDNS that is not supported (RFC 6891 section 9). */
    private static final int BADVERS = 16;

    /** The EDNS option for an extended error (RFC 8914 section 2). */
    private static final int EXTENDED_ERROR_OPTION = 15;

    /** The extended error Not Ready (RFC 8914 section 4.15). */
    private static final int NOT_READY = 14;

    /** Octets of the option beside its text: code, length, error. */
    private static final int EXTENDED_ERROR_FIXED_BYTES = 3 * Short.BYTES;

    /** Flags that a response repeats from its request. */
    private static final int REPEATED_FLAGS = Opcode.FLAGS_MASK | DnsMessage.RECURSION_DESIRED;

    /** Octets of an OPT record without options: the root as its owner, and the fixed fields. */
    private static final int EDNS_BYTES = 1 + DnsMessage.RECORD_FIXED_BYTES;

    /** Octets of a record beside its data whose owner is compressed to a pointer. */
    private static final int COMPRESSED_RECORD_BYTES = 2 + DnsMessage.RECORD_FIXED_BYTES;

    private final LongSupplier unixClock;

    ResponseBuilder(LongSupplier unixClock) {
        this.unixClock = unixClock;
    }

    /** The response to what cannot be parsed, with the id alone. */
    static byte[] malformed(byte[] octets) {
        return new MessageWriter(
                        DnsMessage.id(octets),
                        DnsMessage.RESPONSE | (DnsMessage.flags(octets) & REPEATED_FLAGS) | DynamicUpdate.FORMERR,
                        DnsMessage.HEADER_BYTES)
                .toBytes();
    }

    /** A response code without records. */
    byte[] withCode(DnsMessage request, Tsig.Verification verification, int code) {
        return signed(
                request,
                verification,
                head(request, code, maxLength(verification), code, null).toBytes());
    }

    /** The response to a rejected request; the time to retry after goes into an extended error where EDNS is used. */
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

    /** The response to a version of EDNS that is not supported. */
    byte[] unknownEdns(DnsMessage request, Tsig.Verification verification) {
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

    /** The response to a query, truncated where it does not fit a datagram. */
    byte[] answer(DnsMessage request, Tsig.Verification verification, Lookup.Answer answer, boolean datagram) {
        int maxBytes = DnsMessage.MAX_BYTES;
        if (datagram) {
            int theirs = request.edns() == null
                    ? DnsMessage.MAX_PLAIN_DATAGRAM_BYTES
                    : request.edns().maxDatagramBytes();
            maxBytes = Math.max(DnsMessage.MAX_PLAIN_DATAGRAM_BYTES, Math.min(theirs, MAX_DATAGRAM_BYTES));
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
        boolean whole = section(out, MessageSection.ANSWER, answer.answer, maxBytes - reserved, request.id())
                && section(out, MessageSection.AUTHORITY, answer.authority, maxBytes - reserved, request.id());
        if (!whole) {
            out.truncateToQuestion(questionEnd);
            out.setFlag(DnsMessage.TRUNCATED);
        } else {
            // What does not fit here is only a help.
            section(out, MessageSection.ADDITIONAL, answer.additional, maxBytes - reserved, request.id());
        }
        if (request.edns() != null) {
            out.edns(MAX_DATAGRAM_BYTES, 0, null);
        }
        return signed(request, verification, out.toBytes());
    }

    /** Appends sets, each rotated by {@code turn}, so that clients that take the first record spread (RFC 1794). */
    private static boolean section(
            MessageWriter out, MessageSection section, List<Lookup.AnswerSet> sets, int maxBytes, int turn) {
        for (Lookup.AnswerSet shown : sets) {
            RecordSet set = shown.set();
            for (int i = 0; i < set.size(); i++) {
                byte[] data = set.data((i + turn) % set.size());
                if ((out.length() + shown.owner().length + DnsMessage.RECORD_FIXED_BYTES + data.length > maxBytes
                                && out.length() + COMPRESSED_RECORD_BYTES + data.length > maxBytes)
                        || !out.record(section, shown.owner(), set.type(), RecordTypes.IN, shown.ttl(), data)) {
                    return false;
                }
            }
        }
        return true;
    }
}
