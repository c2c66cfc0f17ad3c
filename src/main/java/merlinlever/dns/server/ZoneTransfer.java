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

/** Builds the messages of a zone transfer, one at a time (RFC 5936, RFC 1995). */
public final class ZoneTransfer {

    /** Size in octets at which a message ends: large enough for name compression, small enough to buffer. */
    private static final int TARGET_MESSAGE_BYTES = 16_384;

    /** Number of records read ahead from the zone. */
    private static final int READ_AHEAD_RECORDS = 500;

    private final DnsMessage request;
    private final Tsig.SignatureChain chain;
    private final LongSupplier unixClock;
    private final int maxSignatureBytes;
    private final Iterator<ResourceRecord> records;
    private ResourceRecord next;
    private boolean isFirst = true;

    private ZoneTransfer(
            DnsMessage request,
            Tsig.Verification verification,
            LongSupplier unixClock,
            Iterator<ResourceRecord> records) {
        this.request = request;
        this.unixClock = unixClock;
        this.records = records;
        chain = verification == null ? null : new Tsig.SignatureChain(verification.key(), verification.mac());
        maxSignatureBytes = verification == null ? 0 : Tsig.maxSignatureBytes(verification.key());
        next = records.next();
    }

    /** Creates a transfer of the whole zone. */
    static ZoneTransfer full(DnsMessage request, Tsig.Verification verification, LongSupplier unixClock, Zone zone) {
        return new ZoneTransfer(request, verification, unixClock, new ZoneRecordIterator(zone));
    }

    /** Creates a transfer of the differences; a transfer with only the SOA record reports no change. */
    static ZoneTransfer incremental(
            DnsMessage request,
            Tsig.Verification verification,
            LongSupplier unixClock,
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
        return new ZoneTransfer(request, verification, unixClock, all.iterator());
    }

    /** Returns the next message, or null after the last message. */
    public byte[] next() {
        if (next == null) {
            return null;
        }
        MessageWriter out = new MessageWriter(
                request.id(),
                DnsMessage.RESPONSE | DnsMessage.AUTHORITATIVE | (request.flags() & DnsMessage.RECURSION_DESIRED),
                DnsMessage.MAX_BYTES - maxSignatureBytes);
        if (isFirst) {
            out.question(request.name(), request.type(), request.dclass());
        }
        isFirst = false;
        while (next != null
                && out.length() < TARGET_MESSAGE_BYTES
                && out.record(
                        MessageSection.ANSWER, next.owner(), next.type(), RecordTypes.IN, next.ttl(), next.data())) {
            next = records.hasNext() ? records.next() : null;
        }
        return chain == null ? out.toBytes() : chain.sign(out.toBytes(), unixClock.getAsLong());
    }

    /** Iterates over a zone version: the SOA record, all other records, and the SOA record again. */
    private static final class ZoneRecordIterator implements Iterator<ResourceRecord> {
        private final Zone zone;
        private final ArrayDeque<ResourceRecord> ready = new ArrayDeque<>();
        private byte[] nextKey = new byte[0];

        ZoneRecordIterator(Zone zone) {
            this.zone = zone;
            zone.soa().forEachRecord(zone.origin(), ready::add);
        }

        @Override
        public boolean hasNext() {
            if (ready.isEmpty() && nextKey != null) {
                fill();
            }
            return !ready.isEmpty();
        }

        private void fill() {
            byte[] startKey = nextKey;
            nextKey = null;
            zone.names().from(startKey, (key, owner) -> {
                if (ready.size() >= READ_AHEAD_RECORDS) {
                    nextKey = key;
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
            if (nextKey == null) {
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
