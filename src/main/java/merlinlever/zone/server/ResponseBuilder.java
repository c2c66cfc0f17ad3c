package merlinlever.zone.server;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.LongSupplier;
import merlinlever.zone.record.RecordTypes;
import merlinlever.zone.state.DynamicUpdate;
import merlinlever.zone.state.Lookup;
import merlinlever.zone.state.RecordSet;
import merlinlever.zone.wire.DnsMessage;
import merlinlever.zone.wire.MessageWriter;
import merlinlever.zone.wire.Tsig;

/** Makes the answers: sections, EDNS, truncation, signatures. Decides nothing. */
final class ResponseBuilder {

    /** Octets of a datagram that pass everywhere unbroken, stated and kept to (RFC 9715 section 3). */
    static final int DATAGRAM = 1232;

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
                .done();
    }

    /** A code without records. */
    byte[] code(DnsMessage asked, Tsig.Verification signed, int code) {
        return signed(asked, signed, head(asked, code, room(signed), code, null).done());
    }

    /** Turned away unseen; the advice to stay away goes along where there is a place for it. */
    byte[] pushedBack(DnsMessage asked, Tsig.Verification signed, Duration stayAway) {
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
                asked,
                signed,
                head(asked, DynamicUpdate.REFUSED, room(signed), DynamicUpdate.REFUSED, options)
                        .done());
    }

    byte[] unknownEdns(DnsMessage asked, Tsig.Verification signed) {
        return signed(asked, signed, head(asked, 0, room(signed), BADVERS, null).done());
    }

    private static int room(Tsig.Verification signed) {
        return DnsMessage.MOST - (signed == null || signed.key() == null ? 0 : Tsig.room(signed.key()));
    }

    private static MessageWriter head(DnsMessage asked, int code, int most, int extended, byte[] options) {
        MessageWriter out = new MessageWriter(asked.id(), DnsMessage.RESPONSE | (asked.flags() & 0x7900) | code, most);
        if (asked.asks()) {
            out.question(asked.name(), asked.type(), asked.dclass());
        }
        if (asked.edns() != null) {
            out.edns(DATAGRAM, extended, options);
        }
        return out;
    }

    private byte[] signed(DnsMessage asked, Tsig.Verification signed, byte[] made) {
        if (signed == null) {
            return made;
        }
        return switch (signed.error()) {
            case 0 -> Tsig.sign(made, signed.key(), unix.getAsLong(), signed.mac())
                    .octets();
            case Tsig.BADTIME -> Tsig.signBadTime(made, signed.key(), signed.time(), unix.getAsLong(), signed.mac())
                    .octets();
            default -> Tsig.unsignedError(made, asked.signature(), signed.error());
        };
    }

    byte[] found(DnsMessage asked, Tsig.Verification signed, Lookup.Answer answer, boolean datagram) {
        int most = DnsMessage.MOST;
        if (datagram) {
            int theirs = asked.edns() == null
                    ? DnsMessage.PLAIN_DATAGRAM
                    : asked.edns().payload();
            most = Math.max(DnsMessage.PLAIN_DATAGRAM, Math.min(theirs, DATAGRAM));
        }
        most -= signed == null ? 0 : Tsig.room(signed.key());
        MessageWriter out = new MessageWriter(
                asked.id(),
                DnsMessage.RESPONSE
                        | (answer.authoritative ? DnsMessage.AUTHORITATIVE : 0)
                        | (asked.flags() & 0x7900)
                        | answer.code,
                most);
        out.question(asked.name(), asked.type(), asked.dclass());
        int questionEnd = out.length();
        int reserved = asked.edns() == null ? 0 : 11;
        boolean whole = section(out, 1, answer.answer, most - reserved, asked.id())
                && section(out, 2, answer.authority, most - reserved, asked.id());
        if (!whole) {
            out.cutToQuestion(questionEnd);
            out.flag(DnsMessage.TRUNCATED);
        } else {
            // What does not fit here is only a help.
            section(out, 3, answer.additional, most - reserved, asked.id());
        }
        if (asked.edns() != null) {
            out.edns(DATAGRAM, 0, null);
        }
        return signed(asked, signed, out.done());
    }

    /** Each set from another record on, so that callers who take the first spread (RFC 1794). */
    private static boolean section(MessageWriter out, int section, List<Lookup.AnswerSet> sets, int most, int turn) {
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
