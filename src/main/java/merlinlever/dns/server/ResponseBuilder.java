package merlinlever.dns.server;

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
import merlinlever.dns.wire.Tsig;

/** Makes the answers: sections, EDNS, truncation, signatures. Decides nothing. */
final class ResponseBuilder {

    /** Octets of a datagram that pass everywhere unbroken, stated and kept to (RFC 9715 section 3). */
    static final int MAX_DATAGRAM_BYTES = 1232;

    private static final int BADVERS = 16;
    /** An extended error (RFC 8914): its option, and the code for what cannot be answered now. */
    private static final int EXTENDED_ERROR = 15, NOT_READY = 14;

    private final LongSupplier unix;

    ResponseBuilder(LongSupplier unix) {
        this.unix = unix;
    }

    /** Of what could not be read as a message, by its id alone. */
    static byte[] malformed(byte[] octets) {
        return new MessageWriter(
                        DnsMessage.id(octets),
                        DnsMessage.RESPONSE | (DnsMessage.flags(octets) & 0x7900) | DynamicUpdate.FORMERR,
                        12)
                .toBytes();
    }

    /** A code without records. */
    byte[] withCode(DnsMessage request, Tsig.Verification verification, int code) {
        return signed(
                request,
                verification,
                head(request, code, maxLength(verification), code, null).toBytes());
    }

    /** Turned away unseen; the advice to stay away goes along where there is a place for it. */
    byte[] rejection(DnsMessage request, Tsig.Verification verification, Duration stayAway) {
        byte[] options = null;
        if (!stayAway.isZero()) {
            byte[] text = ("full, come again in " + stayAway.toMillis() + " ms").getBytes(StandardCharsets.US_ASCII);
            options = new byte[6 + text.length];
            options[1] = EXTENDED_ERROR;
            options[2] = (byte) ((text.length + 2) >> 8);
            options[3] = (byte) (text.length + 2);
            options[5] = NOT_READY;
            System.arraycopy(text, 0, options, 6, text.length);
        }
        return signed(
                request,
                verification,
                head(request, DynamicUpdate.REFUSED, maxLength(verification), DynamicUpdate.REFUSED, options)
                        .toBytes());
    }

    byte[] unknownEdns(DnsMessage request, Tsig.Verification verification) {
        return signed(
                request,
                verification,
                head(request, 0, maxLength(verification), BADVERS, null).toBytes());
    }

    private static int maxLength(Tsig.Verification verification) {
        return DnsMessage.MAX_BYTES
                - (verification == null || verification.key() == null ? 0 : Tsig.room(verification.key()));
    }

    private static MessageWriter head(DnsMessage request, int code, int most, int extended, byte[] options) {
        MessageWriter out =
                new MessageWriter(request.id(), DnsMessage.RESPONSE | (request.flags() & 0x7900) | code, most);
        if (request.hasQuestion()) {
            out.question(request.name(), request.type(), request.dclass());
        }
        if (request.edns() != null) {
            out.edns(MAX_DATAGRAM_BYTES, extended, options);
        }
        return out;
    }

    private byte[] signed(DnsMessage request, Tsig.Verification verification, byte[] made) {
        if (verification == null) {
            return made;
        }
        return switch (verification.error()) {
            case 0 -> Tsig.sign(made, verification.key(), unix.getAsLong(), verification.mac())
                    .octets();
            case Tsig.BADTIME -> Tsig.signBadTime(
                            made, verification.key(), verification.time(), unix.getAsLong(), verification.mac())
                    .octets();
            default -> Tsig.unsignedError(made, request.signature(), verification.error());
        };
    }

    byte[] answer(DnsMessage request, Tsig.Verification verification, Lookup.Answer answer, boolean datagram) {
        int most = DnsMessage.MAX_BYTES;
        if (datagram) {
            int theirs = request.edns() == null
                    ? DnsMessage.MAX_PLAIN_DATAGRAM_BYTES
                    : request.edns().payload();
            most = Math.max(DnsMessage.MAX_PLAIN_DATAGRAM_BYTES, Math.min(theirs, MAX_DATAGRAM_BYTES));
        }
        most -= verification == null ? 0 : Tsig.room(verification.key());
        MessageWriter out = new MessageWriter(
                request.id(),
                DnsMessage.RESPONSE
                        | (answer.authoritative ? DnsMessage.AUTHORITATIVE : 0)
                        | (request.flags() & 0x7900)
                        | answer.code,
                most);
        out.question(request.name(), request.type(), request.dclass());
        int questionEnd = out.length();
        int reserved = request.edns() == null ? 0 : 11;
        boolean whole = section(out, MessageSection.ANSWER, answer.answer, most - reserved, request.id())
                && section(out, MessageSection.AUTHORITY, answer.authority, most - reserved, request.id());
        if (!whole) {
            out.truncateToQuestion(questionEnd);
            out.flag(DnsMessage.TRUNCATED);
        } else {
            // What does not fit here is only a help.
            section(out, MessageSection.ADDITIONAL, answer.additional, most - reserved, request.id());
        }
        if (request.edns() != null) {
            out.edns(MAX_DATAGRAM_BYTES, 0, null);
        }
        return signed(request, verification, out.toBytes());
    }

    /** Each set from another record on, so that callers who take the first spread (RFC 1794). */
    private static boolean section(
            MessageWriter out, MessageSection section, List<Lookup.AnswerSet> sets, int most, int turn) {
        for (Lookup.AnswerSet shown : sets) {
            RecordSet set = shown.set();
            for (int i = 0; i < set.size(); i++) {
                byte[] data = set.data((i + turn) % set.size());
                if ((out.length() + shown.owner().length + 10 + data.length > most
                                && out.length() + 12 + data.length > most)
                        || !out.record(section, shown.owner(), set.type(), RecordTypes.IN, shown.ttl(), data)) {
                    return false;
                }
            }
        }
        return true;
    }
}
