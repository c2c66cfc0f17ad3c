package merlinlever.dns.client;

import java.util.List;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.MessageSection;
import merlinlever.dns.wire.MessageWriter;
import merlinlever.dns.wire.Opcode;
import merlinlever.dns.wire.Tsig;

/** Update messages (RFC 2136 section 2). */
public final class UpdateMessages {

    private UpdateMessages() {}

    /** Without id and signature; null where it does not fit one message with a signature of the key. */
    public static byte[] message(
            byte[] zone, List<UpdateEntry> prerequisites, List<UpdateEntry> changes, Tsig.TsigKey key) {
        MessageWriter out = new MessageWriter(
                0, Opcode.UPDATE.flags(), DnsMessage.MAX_BYTES - (key == null ? 0 : Tsig.maxSignatureBytes(key)));
        out.question(zone, RecordTypes.SOA, RecordTypes.IN);
        for (UpdateEntry entry : prerequisites) {
            if (!out.record(
                    MessageSection.ANSWER, entry.owner(), entry.type(), entry.dclass(), entry.ttl(), entry.data())) {
                return null;
            }
        }
        for (UpdateEntry entry : changes) {
            if (!out.record(
                    MessageSection.AUTHORITY, entry.owner(), entry.type(), entry.dclass(), entry.ttl(), entry.data())) {
                return null;
            }
        }
        return out.toBytes();
    }
}
