package merlinlever.zone.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.zone.record.Names;
import merlinlever.zone.record.Rec;
import merlinlever.zone.record.Types;

/**
 * What leads from one version of a zone to another: records taken out, then records put in. The SOA is among both, first
 * in each, as in RFC 1995 section 4.
 */
public record Difference(List<Rec> removed, List<Rec> added) {

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
        List<Rec> removed = new ArrayList<>();
        List<Rec> added = new ArrayList<>();
        old.soa().each(old.origin(), removed::add);
        made.soa().each(made.origin(), added::add);
        Iterator<Index.Entry<Owner>> olds = entries(old).iterator();
        Iterator<Index.Entry<Owner>> news = entries(made).iterator();
        Index.Entry<Owner> a = olds.hasNext() ? olds.next() : null;
        Index.Entry<Owner> b = news.hasNext() ? news.next() : null;
        while (a != null || b != null) {
            int order = a == null ? 1 : b == null ? -1 : Arrays.compareUnsigned(a.key(), b.key());
            Owner before = order <= 0 ? a.value() : Owner.NONE;
            Owner after = order >= 0 ? b.value() : Owner.NONE;
            if (before != after) {
                compare(Names.wire(order <= 0 ? a.key() : b.key()), before, after, removed, added);
            }
            a = order > 0 ? a : olds.hasNext() ? olds.next() : null;
            b = order < 0 ? b : news.hasNext() ? news.next() : null;
        }
        return new Difference(removed, added);
    }

    /** The same for the names alone that were touched. */
    static Difference between(Zone old, Zone made, Iterable<byte[]> keys) {
        List<Rec> removed = new ArrayList<>();
        List<Rec> added = new ArrayList<>();
        old.soa().each(old.origin(), removed::add);
        made.soa().each(made.origin(), added::add);
        for (byte[] key : keys) {
            Owner before = old.names().get(key);
            Owner after = made.names().get(key);
            compare(
                    Names.wire(key),
                    before == null ? Owner.NONE : before,
                    after == null ? Owner.NONE : after,
                    removed,
                    added);
        }
        return new Difference(removed, added);
    }

    private static List<Index.Entry<Owner>> entries(Zone zone) {
        List<Index.Entry<Owner>> entries = new ArrayList<>(zone.names().size());
        zone.names().from(new byte[0], (key, owner) -> entries.add(new Index.Entry<>(key, owner)));
        return entries;
    }

    private static void compare(byte[] name, Owner before, Owner after, List<Rec> removed, List<Rec> added) {
        int i = 0;
        int k = 0;
        while (i < before.sets.length || k < after.sets.length) {
            RecordSet a = i < before.sets.length ? before.sets[i] : null;
            RecordSet b = k < after.sets.length ? after.sets[k] : null;
            boolean first = b == null || a != null && a.type <= b.type;
            boolean second = a == null || b != null && b.type <= a.type;
            if ((first ? a : b).type != Types.SOA) {
                only(name, first ? a : null, second ? b : null, removed);
                only(name, second ? b : null, first ? a : null, added);
            }
            i += first ? 1 : 0;
            k += second ? 1 : 0;
        }
    }

    private static void only(byte[] name, RecordSet set, RecordSet than, List<Rec> into) {
        if (set == null) {
            return;
        }
        for (byte[] one : set.data) {
            if (than == null || than.ttl != set.ttl || !than.holds(one)) {
                into.add(new Rec(name, set.type, set.ttl, one));
            }
        }
    }

    /** The version that the difference makes of its first one. */
    public Zone on(Zone zone) {
        Map<byte[], Owner> changed = new TreeMap<>(Arrays::compareUnsigned);
        for (Rec rec : removed) {
            change(zone, changed, rec, false);
        }
        for (Rec rec : added) {
            change(zone, changed, rec, true);
        }
        return zone.with(changed);
    }

    private static void change(Zone zone, Map<byte[], Owner> changed, Rec rec, boolean add) {
        byte[] key = Names.key(rec.owner());
        Owner owner = changed.get(key);
        if (owner == null) {
            owner = zone.names().get(key);
            owner = owner == null ? Owner.NONE : owner;
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
