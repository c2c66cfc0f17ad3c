package merlinlever.dns.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;

/** One version of a zone; it never changes. */
public final class Zone {

    private final byte[] origin;
    private final byte[] apex;
    private final CopyOnWriteBTree<OwnerRecords> names;
    private final int records;

    Zone(byte[] origin, CopyOnWriteBTree<OwnerRecords> names, int records) {
        this.origin = origin;
        this.apex = DomainNames.key(origin);
        this.names = names;
        this.records = records;
    }

    /** From records of this zone in any order; the caller has seen to it that they make one. */
    public static Zone of(byte[] origin, List<ResourceRecord> records) {
        record Keyed(byte[] key, ResourceRecord rec) {}

        List<Keyed> sorted = new ArrayList<>(records.size());
        byte[] lastOwner = null;
        byte[] lastKey = null;
        for (ResourceRecord rec : records) {
            if (rec.owner() != lastOwner) {
                lastOwner = rec.owner();
                lastKey = DomainNames.key(lastOwner);
            }
            sorted.add(new Keyed(lastKey, rec));
        }
        sorted.sort((a, b) -> {
            int order = a.key == b.key ? 0 : Arrays.compareUnsigned(a.key, b.key);
            return order != 0 ? order : Integer.compare(a.rec.type(), b.rec.type());
        });
        List<byte[]> keys = new ArrayList<>();
        List<OwnerRecords> owners = new ArrayList<>();
        int count = 0;
        for (int i = 0; i < sorted.size(); ) {
            byte[] key = sorted.get(i).key;
            List<RecordSet> sets = new ArrayList<>(2);
            while (i < sorted.size() && Arrays.equals(sorted.get(i).key, key)) {
                int from = i;
                int type = sorted.get(i).rec.type();
                while (i < sorted.size() && sorted.get(i).rec.type() == type && Arrays.equals(sorted.get(i).key, key)) {
                    i++;
                }
                byte[][] data = new byte[i - from][];
                for (int k = from; k < i; k++) {
                    data[k - from] = sorted.get(k).rec.data();
                }
                sets.add(RecordSet.of(type, sorted.get(from).rec.ttl(), data));
            }
            keys.add(key);
            OwnerRecords owner = OwnerRecords.of(sets.toArray(new RecordSet[0]));
            owners.add(owner);
            count += owner.records();
        }
        return new Zone(origin, CopyOnWriteBTree.of(keys, owners), count);
    }

    /** On the wire, in lower case. */
    public byte[] origin() {
        return origin;
    }

    byte[] apex() {
        return apex;
    }

    public CopyOnWriteBTree<OwnerRecords> names() {
        return names;
    }

    public int records() {
        return records;
    }

    public RecordSet set(byte[] owner, int type) {
        OwnerRecords found = names.get(DomainNames.key(owner));
        return found == null ? null : found.set(type);
    }

    public RecordSet soa() {
        return names.get(apex).set(RecordTypes.SOA);
    }

    public long serial() {
        return serial(soa().data[0]);
    }

    /** The serial in an SOA's data. */
    public static long serial(byte[] soa) {
        return number(soa, soa.length - 20);
    }

    /** An SOA's data with another serial. */
    static byte[] withSerial(byte[] soa, long serial) {
        byte[] made = soa.clone();
        for (int i = 0; i < 4; i++) {
            made[made.length - 20 + i] = (byte) (serial >>> (24 - 8 * i));
        }
        return made;
    }

    /** For how long it may be remembered that something is not there, in seconds (RFC 2308 section 4). */
    long negativeTtl() {
        return Math.min(soa().ttl, number(soa().data[0], soa().data[0].length - 4));
    }

    private static long number(byte[] data, int at) {
        return (data[at] & 0xffL) << 24
                | (data[at + 1] & 0xffL) << 16
                | (data[at + 2] & 0xffL) << 8
                | (data[at + 3] & 0xffL);
    }

    /** All records, names in canonical order. */
    public void each(Consumer<ResourceRecord> taker) {
        names.from(new byte[0], (key, owner) -> {
            byte[] name = DomainNames.wire(key);
            for (RecordSet set : owner.sets) {
                set.forEachRecord(name, taker);
            }
            return true;
        });
    }

    /** The changed version; names that the map lacks stay as they are. */
    Zone with(java.util.Map<byte[], OwnerRecords> changed) {
        CopyOnWriteBTree<OwnerRecords> made = names;
        int count = records;
        for (java.util.Map.Entry<byte[], OwnerRecords> entry : changed.entrySet()) {
            OwnerRecords before = names.get(entry.getKey());
            count += entry.getValue().records() - (before == null ? 0 : before.records());
            made = entry.getValue().sets.length == 0
                    ? made.without(entry.getKey())
                    : made.with(entry.getKey(), entry.getValue());
        }
        return new Zone(origin, made, count);
    }
}
