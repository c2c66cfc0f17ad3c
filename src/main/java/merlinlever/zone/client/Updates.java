package merlinlever.zone.client;

import java.util.List;
import merlinlever.zone.record.Types;
import merlinlever.zone.state.Entry;
import merlinlever.zone.wire.Message;
import merlinlever.zone.wire.Tsig;
import merlinlever.zone.wire.Writer;

/** Update messages (RFC 2136 section 2). */
public final class Updates {

    private Updates() {}

    /** Without id and signature; null where it does not fit one message with a signature of the key. */
    public static byte[] message(byte[] zone, List<Entry> prerequisites, List<Entry> changes, Tsig.Key key) {
        Writer out = new Writer(0, Message.UPDATE << 11, Message.MOST - (key == null ? 0 : Tsig.room(key)));
        out.question(zone, Types.SOA, Types.IN);
        for (Entry entry : prerequisites) {
            if (!out.record(1, entry.owner(), entry.type(), entry.dclass(), entry.ttl(), entry.data())) {
                return null;
            }
        }
        for (Entry entry : changes) {
            if (!out.record(2, entry.owner(), entry.type(), entry.dclass(), entry.ttl(), entry.data())) {
                return null;
            }
        }
        return out.done();
    }
}
