package merlinlever.dns.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.function.LongSupplier;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.Difference;
import merlinlever.dns.state.Zone;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.MessageSection;
import merlinlever.dns.wire.MessageWriter;
import merlinlever.dns.wire.Tsig;

/** The messages of one zone transfer, each built when it can be sent (RFC 5936, RFC 1995). */
public final class ZoneTransfer {

    /** Octets after which a message ends: large enough to compress names, small enough to buffer. */
    private static final int MAX_MESSAGE_BYTES = 16_384;

    /** Records that are read ahead from the zone. */
    private static final int CHUNK = 500;

    private final DnsMessage request;
    private final Tsig.SignatureChain chain;
    private final LongSupplier unix;
    private final int signatureRoom;
    private final Iterator<ResourceRecord> records;
    private ResourceRecord next;
    private boolean first = true;

    private ZoneTransfer(
            DnsMessage request, Tsig.Verification verification, LongSupplier unix, Iterator<ResourceRecord> records) {
        this.request = request;
        this.unix = unix;
        this.records = records;
        chain = verification == null ? null : new Tsig.SignatureChain(verification.key(), verification.mac());
        signatureRoom = verification == null ? 0 : Tsig.maxSignatureBytes(verification.key());
        next = records.next();
    }

    /** The whole zone. */
    static ZoneTransfer full(DnsMessage request, Tsig.Verification verification, LongSupplier unix, Zone zone) {
        return new ZoneTransfer(request, verification, unix, new ZoneRecordIterator(zone));
    }

    /** The differences; without any, the SOA alone, which says that nothing has changed. */
    static ZoneTransfer incremental(
            DnsMessage request,
            Tsig.Verification verification,
            LongSupplier unix,
            Zone zone,
            List<Difference> differences) {
        List<ResourceRecord> all = new ArrayList<>();
        zone.soa().forEachRecord(zone.origin(), all::add);
        for (Difference difference : differences) {
            all.addAll(difference.removed());
            all.addAll(difference.added());
        }
        if (!differences.isEmpty()) {
            all.add(all.get(0));
        }
        return new ZoneTransfer(request, verification, unix, all.iterator());
    }

    /** The next message, or null after the last. */
    public byte[] next() {
        if (next == null) {
            return null;
        }
        MessageWriter out = new MessageWriter(
                request.id(),
                DnsMessage.RESPONSE | DnsMessage.AUTHORITATIVE | (request.flags() & DnsMessage.RECURSION_DESIRED),
                DnsMessage.MAX_BYTES - signatureRoom);
        if (first) {
            out.question(request.name(), request.type(), request.dclass());
        }
        first = false;
        while (next != null
                && out.length() < MAX_MESSAGE_BYTES
                && out.record(
                        MessageSection.ANSWER, next.owner(), next.type(), RecordTypes.IN, next.ttl(), next.data())) {
            next = records.hasNext() ? records.next() : null;
        }
        return chain == null ? out.toBytes() : chain.sign(out.toBytes(), unix.getAsLong());
    }

    /** The records of one version: the SOA, all others, the SOA again. */
    private static final class ZoneRecordIterator implements Iterator<ResourceRecord> {
        private final Zone zone;
        private final ArrayDeque<ResourceRecord> ready = new ArrayDeque<>();
        private byte[] from = new byte[0];

        ZoneRecordIterator(Zone zone) {
            this.zone = zone;
            zone.soa().forEachRecord(zone.origin(), ready::add);
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
                byte[] name = DomainNames.wire(key);
                for (int i = 0; i < owner.sets(); i++) {
                    if (owner.at(i).type() != RecordTypes.SOA) {
                        owner.at(i).forEachRecord(name, ready::add);
                    }
                }
                return true;
            });
            if (from == null) {
                zone.soa().forEachRecord(zone.origin(), ready::add);
            }
        }

        @Override
        public ResourceRecord next() {
            if (!hasNext()) {
                throw new NoSuchElementException();
            }
            return ready.poll();
        }
    }
}
