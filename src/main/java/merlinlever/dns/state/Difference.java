package merlinlever.dns.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;

/**
 * What leads from one version of a zone to another: records taken out, then records put in. The SOA is among both, first
 * in each, as in RFC 1995 section 4.
 */
public record Difference(List<ResourceRecord> removed, List<ResourceRecord> added) {

    public long from() {
        return Zone.serial(removed.get(0).data());
    }

    public long to() {
        return Zone.serial(added.get(0).data());
    }

    public int records() {
        return removed.size() + added.size();
    }

    /** An SOA on both sides even where it is the same, so that either side names its version. */
    public static Difference between(Zone old, Zone made) {
        List<ResourceRecord> removed = new ArrayList<>();
        List<ResourceRecord> added = new ArrayList<>();
        old.soa().forEachRecord(old.origin(), removed::add);
        made.soa().forEachRecord(made.origin(), added::add);
        Iterator<CopyOnWriteBTree.Entry<OwnerRecords>> olds = entries(old).iterator();
        Iterator<CopyOnWriteBTree.Entry<OwnerRecords>> news = entries(made).iterator();
        CopyOnWriteBTree.Entry<OwnerRecords> a = olds.hasNext() ? olds.next() : null;
        CopyOnWriteBTree.Entry<OwnerRecords> b = news.hasNext() ? news.next() : null;
        while (a != null || b != null) {
            int order = a == null ? 1 : b == null ? -1 : Arrays.compareUnsigned(a.key(), b.key());
            OwnerRecords before = order <= 0 ? a.value() : OwnerRecords.NONE;
            OwnerRecords after = order >= 0 ? b.value() : OwnerRecords.NONE;
            if (before != after) {
                compare(DomainNames.wire(order <= 0 ? a.key() : b.key()), before, after, removed, added);
            }
            a = order > 0 ? a : olds.hasNext() ? olds.next() : null;
            b = order < 0 ? b : news.hasNext() ? news.next() : null;
        }
        return new Difference(removed, added);
    }

    /** The same for the names alone that were touched. */
    static Difference between(Zone old, Zone made, Iterable<byte[]> keys) {
        List<ResourceRecord> removed = new ArrayList<>();
        List<ResourceRecord> added = new ArrayList<>();
        old.soa().forEachRecord(old.origin(), removed::add);
        made.soa().forEachRecord(made.origin(), added::add);
        for (byte[] key : keys) {
            OwnerRecords before = old.names().get(key);
            OwnerRecords after = made.names().get(key);
            compare(
                    DomainNames.wire(key),
                    before == null ? OwnerRecords.NONE : before,
                    after == null ? OwnerRecords.NONE : after,
                    removed,
                    added);
        }
        return new Difference(removed, added);
    }

    private static List<CopyOnWriteBTree.Entry<OwnerRecords>> entries(Zone zone) {
        List<CopyOnWriteBTree.Entry<OwnerRecords>> entries =
                new ArrayList<>(zone.names().size());
        zone.names().from(new byte[0], (key, owner) -> entries.add(new CopyOnWriteBTree.Entry<>(key, owner)));
        return entries;
    }

    private static void compare(
            byte[] name,
            OwnerRecords before,
            OwnerRecords after,
            List<ResourceRecord> removed,
            List<ResourceRecord> added) {
        int i = 0;
        int k = 0;
        while (i < before.sets.length || k < after.sets.length) {
            RecordSet a = i < before.sets.length ? before.sets[i] : null;
            RecordSet b = k < after.sets.length ? after.sets[k] : null;
            boolean first = b == null || (a != null && a.type <= b.type);
            boolean second = a == null || (b != null && b.type <= a.type);
            if ((first ? a : b).type != RecordTypes.SOA) {
                only(name, first ? a : null, second ? b : null, removed);
                only(name, second ? b : null, first ? a : null, added);
            }
            i += first ? 1 : 0;
            k += second ? 1 : 0;
        }
    }

    private static void only(byte[] name, RecordSet set, RecordSet than, List<ResourceRecord> into) {
        if (set == null) {
            return;
        }
        for (byte[] one : set.data) {
            if (than == null || than.ttl != set.ttl || !than.contains(one)) {
                into.add(new ResourceRecord(name, set.type, set.ttl, one));
            }
        }
    }

    /** The version that the difference makes of its first one. */
    public Zone applyTo(Zone zone) {
        Map<byte[], OwnerRecords> changed = new TreeMap<>(Arrays::compareUnsigned);
        for (ResourceRecord rec : removed) {
            change(zone, changed, rec, false);
        }
        for (ResourceRecord rec : added) {
            change(zone, changed, rec, true);
        }
        return zone.with(changed);
    }

    private static void change(Zone zone, Map<byte[], OwnerRecords> changed, ResourceRecord rec, boolean add) {
        byte[] key = DomainNames.key(rec.owner());
        OwnerRecords owner = changed.get(key);
        if (owner == null) {
            owner = zone.names().get(key);
            owner = owner == null ? OwnerRecords.NONE : owner;
        }
        RecordSet set = owner.set(rec.type());
        if (add) {
            set = set == null ? RecordSet.of(rec.type(), rec.ttl(), rec.data()) : set.with(rec.ttl(), rec.data());
        } else if (set != null) {
            set = set.without(rec.data());
        }
        changed.put(key, owner.with(rec.type(), set));
    }
}
