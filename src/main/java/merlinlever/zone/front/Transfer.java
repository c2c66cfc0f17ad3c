package merlinlever.zone.front;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import merlinlever.zone.record.Names;
import merlinlever.zone.record.Rec;
import merlinlever.zone.record.Types;
import merlinlever.zone.state.Difference;
import merlinlever.zone.state.Zone;
import merlinlever.zone.wire.Message;
import merlinlever.zone.wire.Tsig;
import merlinlever.zone.wire.Writer;

/** A zone, or what has changed in it, as messages that are made as they are wanted (RFC 5936, RFC 1995). */
public final class Transfer {

    /** Octets of a message: records share their names' ends, and a reader need not hold much. */
    private static final int MESSAGE = 16_384;

    private static final int CHUNK = 500;

    private final Message asked;
    private final Tsig.Chain chain;
    private final java.util.function.LongSupplier unix;
    private final int signatureRoom;
    private final Iterator<Rec> records;
    private Rec next;
    private boolean first = true;

    private Transfer(Message asked, Tsig.Verdict signed, java.util.function.LongSupplier unix, Iterator<Rec> records) {
        this.asked = asked;
        this.unix = unix;
        this.records = records;
        chain = signed == null ? null : new Tsig.Chain(signed.key(), signed.mac());
        signatureRoom = signed == null ? 0 : Tsig.room(signed.key());
        next = records.next();
    }

    /** All of the zone. */
    static Transfer whole(Message asked, Tsig.Verdict signed, java.util.function.LongSupplier unix, Zone zone) {
        return new Transfer(asked, signed, unix, new Walk(zone));
    }

    /** What has changed; none gives the SOA alone, which says that nothing has. */
    static Transfer since(
            Message asked,
            Tsig.Verdict signed,
            java.util.function.LongSupplier unix,
            Zone zone,
            List<Difference> differences) {
        List<Rec> all = new ArrayList<>();
        zone.soa().each(zone.origin(), all::add);
        for (Difference difference : differences) {
            all.addAll(difference.removed());
            all.addAll(difference.added());
        }
        if (!differences.isEmpty()) {
            all.add(all.get(0));
        }
        return new Transfer(asked, signed, unix, all.iterator());
    }

    /** The next message, or null behind the last. */
    public byte[] next() {
        if (next == null) {
            return null;
        }
        Writer out = new Writer(
                asked.id(),
                Message.RESPONSE | Message.AUTHORITATIVE | asked.flags() & Message.DESIRED,
                Message.MOST - signatureRoom);
        if (first) {
            out.question(asked.name(), asked.type(), asked.dclass());
        }
        first = false;
        while (next != null
                && out.length() < MESSAGE
                && out.record(1, next.owner(), next.type(), Types.IN, next.ttl(), next.data())) {
            next = records.hasNext() ? records.next() : null;
        }
        return chain == null ? out.done() : chain.sign(out.done(), unix.getAsLong());
    }

    /** The records of one version: the SOA, all others, the SOA again. */
    private static final class Walk implements Iterator<Rec> {
        private final Zone zone;
        private final ArrayDeque<Rec> ready = new ArrayDeque<>();
        private byte[] from = new byte[0];

        Walk(Zone zone) {
            this.zone = zone;
            zone.soa().each(zone.origin(), ready::add);
        }

        @Override
        public boolean hasNext() {
            if (ready.isEmpty() && from != null) {
                fill();
            }
            return !ready.isEmpty();
        }

        private void fill() {
            byte[] begin = from;
            from = null;
            zone.names().from(begin, (key, owner) -> {
                if (ready.size() >= CHUNK) {
                    from = key;
                    return false;
                }
                byte[] name = Names.wire(key);
                for (int i = 0; i < owner.sets(); i++) {
                    if (owner.at(i).type() != Types.SOA) {
                        owner.at(i).each(name, ready::add);
                    }
                }
                return true;
            });
            if (from == null) {
                zone.soa().each(zone.origin(), ready::add);
            }
        }

        @Override
        public Rec next() {
            if (!hasNext()) {
                throw new java.util.NoSuchElementException();
            }
            return ready.poll();
        }
    }
}
