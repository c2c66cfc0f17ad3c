package merlinlever.zone.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.zone.record.Names;
import merlinlever.zone.record.Types;

/** Decides a dynamic update: all of it or nothing (RFC 2136 section 3). */
public final class Update {

    /** Response codes (RFC 1035 section 4.1.1, RFC 2136 section 2.2). */
    public static final int NOERROR = 0,
            FORMERR = 1,
            SERVFAIL = 2,
            NXDOMAIN = 3,
            NOTIMP = 4,
            REFUSED = 5,
            YXDOMAIN = 6,
            YXRRSET = 7,
            NXRRSET = 8,
            NOTAUTH = 9,
            NOTZONE = 10;

    /** Records of a zone at the most, for the memory of the process. */
    public static final int MOST_RECORDS = 4_000_000;

    /**
     * What came of it.
     *
     * @param zone the version after it; the same one where nothing changed
     * @param difference what changed, or null
     */
    public record Outcome(int code, Zone zone, Difference difference) {}

    private final Zone zone;
    private final Map<byte[], Owner> changed = new TreeMap<>(Arrays::compareUnsigned);

    private Update(Zone zone) {
        this.zone = zone;
    }

    public static Outcome judge(Zone zone, List<Entry> prerequisites, List<Entry> updates) {
        int code = prerequisites(zone, prerequisites);
        if (code == NOERROR) {
            code = scan(zone, updates);
        }
        if (code == NOERROR && zone.records() + updates.size() > MOST_RECORDS) {
            code = REFUSED;
        }
        return code == NOERROR ? new Update(zone).carryOut(updates) : new Outcome(code, zone, null);
    }

    // ---- section 3.2

    private static int prerequisites(Zone zone, List<Entry> entries) {
        // By name and type, in the order of the message: sets that must be there exactly.
        Map<String, List<Entry>> exact = new HashMap<>();
        for (Entry entry : entries) {
            if (entry.ttl() != 0) {
                return FORMERR;
            }
            if (!Names.under(entry.owner(), zone.origin())) {
                return NOTZONE;
            }
            Owner owner = zone.names().get(Names.key(entry.owner()));
            boolean set = owner != null && owner.set(entry.type()) != null;
            int code =
                    switch (entry.dclass()) {
                        case Types.CLASS_ANY -> entry.data() != null
                                ? FORMERR
                                : entry.type() == Types.ANY
                                        ? owner == null ? NXDOMAIN : NOERROR
                                        : set ? NOERROR : NXRRSET;
                        case Types.CLASS_NONE -> entry.data() != null
                                ? FORMERR
                                : entry.type() == Types.ANY
                                        ? owner != null ? YXDOMAIN : NOERROR
                                        : set ? YXRRSET : NOERROR;
                        case Types.IN -> {
                            if (entry.data() == null || Types.meta(entry.type())) {
                                yield FORMERR;
                            }
                            exact.computeIfAbsent(
                                            Names.text(entry.owner()) + " " + entry.type(), k -> new ArrayList<>())
                                    .add(entry);
                            yield NOERROR;
                        }
                        default -> FORMERR;
                    };
            if (code != NOERROR) {
                return code;
            }
        }
        for (List<Entry> wanted : exact.values()) {
            byte[][] data = wanted.stream().map(Entry::data).toArray(byte[][]::new);
            int type = wanted.get(0).type();
            if (!RecordSet.of(type, 0, data).sameData(zone.set(wanted.get(0).owner(), type))) {
                return NXRRSET;
            }
        }
        return NOERROR;
    }

    // ---- section 3.4.1

    private static int scan(Zone zone, List<Entry> entries) {
        for (Entry entry : entries) {
            if (!Names.under(entry.owner(), zone.origin())) {
                return NOTZONE;
            }
            boolean wrong =
                    switch (entry.dclass()) {
                        case Types.IN -> Types.meta(entry.type()) || entry.data() == null;
                        case Types.CLASS_ANY -> entry.ttl() != 0
                                || entry.data() != null
                                || Types.meta(entry.type()) && entry.type() != Types.ANY;
                        case Types.CLASS_NONE -> entry.ttl() != 0 || entry.data() == null || Types.meta(entry.type());
                        default -> true;
                    };
            if (wrong) {
                return FORMERR;
            }
        }
        return NOERROR;
    }

    // ---- section 3.4.2

    private Outcome carryOut(List<Entry> entries) {
        for (Entry entry : entries) {
            byte[] key = Names.key(entry.owner());
            Owner owner = owner(key);
            boolean apex = Arrays.equals(key, zone.apex());
            Owner made =
                    switch (entry.dclass()) {
                        case Types.IN -> added(owner, entry, apex);
                        case Types.CLASS_ANY -> entry.type() == Types.ANY
                                ? cleared(owner, apex)
                                : kept(apex, entry.type()) ? owner : owner.with(entry.type(), null);
                        default -> without(owner, entry, apex);
                    };
            if (made != owner) {
                changed.put(key, made);
            }
        }
        Zone made = zone.with(changed);
        Difference difference = Difference.between(zone, made, changed.keySet());
        if (difference.records() == 2
                && difference.from() == difference.to()
                && zone.soa().same(made.soa())) {
            return new Outcome(NOERROR, zone, null);
        }
        if (difference.from() == difference.to()) {
            // Section 3.6: whoever changes a zone gives it a new serial.
            RecordSet soa = made.soa();
            RecordSet next =
                    RecordSet.of(Types.SOA, soa.ttl, Zone.withSerial(soa.data[0], Serial.next(difference.from())));
            changed.put(zone.apex(), owner(zone.apex()).with(Types.SOA, next));
            made = zone.with(changed);
            difference = Difference.between(zone, made, changed.keySet());
        }
        return new Outcome(NOERROR, made, difference);
    }

    private Owner owner(byte[] key) {
        Owner owner = changed.get(key);
        if (owner == null) {
            owner = zone.names().get(key);
        }
        return owner == null ? Owner.NONE : owner;
    }

    private static boolean kept(boolean apex, int type) {
        return apex && (type == Types.SOA || type == Types.NS);
    }

    private Owner added(Owner owner, Entry entry, boolean apex) {
        RecordSet set = owner.set(entry.type());
        if (entry.type() == Types.SOA) {
            // One is there and is replaced by a later one; elsewhere than at the apex none may be.
            return apex && Serial.after(Zone.serial(entry.data()), Zone.serial(set.data[0]))
                    ? owner.with(Types.SOA, RecordSet.of(Types.SOA, entry.ttl(), entry.data()))
                    : owner;
        }
        boolean cname = owner.set(Types.CNAME) != null;
        if (entry.type() == Types.CNAME ? owner.sets.length > (cname ? 1 : 0) : cname) {
            return owner;
        }
        if (set == null || entry.type() == Types.CNAME || entry.type() == Types.DNAME) {
            RecordSet made = RecordSet.of(entry.type(), entry.ttl(), entry.data());
            return made.same(set) ? owner : owner.with(entry.type(), made);
        }
        RecordSet more = set.with(entry.ttl(), entry.data());
        return more == set ? owner : owner.with(entry.type(), more);
    }

    private static Owner cleared(Owner owner, boolean apex) {
        Owner left = Owner.NONE;
        for (RecordSet set : owner.sets) {
            left = kept(apex, set.type) ? left.with(set.type, set) : left;
        }
        return left.sets.length == owner.sets.length ? owner : left;
    }

    private static Owner without(Owner owner, Entry entry, boolean apex) {
        RecordSet set = owner.set(entry.type());
        if (set == null || entry.type() == Types.SOA || kept(apex, entry.type()) && set.size() == 1) {
            return owner;
        }
        RecordSet fewer = set.without(entry.data());
        return fewer == set ? owner : owner.with(entry.type(), fewer);
    }
}
