package merlinlever.dns.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;

/** Decides a dynamic update: all of it or nothing (RFC 2136 section 3). */
public final class DynamicUpdate {

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
    public record UpdateResult(int code, Zone zone, Difference difference) {}

    private final Zone zone;
    private final Map<byte[], OwnerRecords> changed = new TreeMap<>(Arrays::compareUnsigned);

    private DynamicUpdate(Zone zone) {
        this.zone = zone;
    }

    public static UpdateResult apply(Zone zone, List<UpdateEntry> prerequisites, List<UpdateEntry> updates) {
        int code = prerequisites(zone, prerequisites);
        if (code == NOERROR) {
            code = scan(zone, updates);
        }
        if (code == NOERROR && zone.records() + updates.size() > MOST_RECORDS) {
            code = REFUSED;
        }
        return code == NOERROR ? new DynamicUpdate(zone).carryOut(updates) : new UpdateResult(code, zone, null);
    }

    // ---- section 3.2

    private static int prerequisites(Zone zone, List<UpdateEntry> entries) {
        // By name and type, in the order of the message: sets that must be there exactly.
        Map<String, List<UpdateEntry>> exact = new HashMap<>();
        for (UpdateEntry entry : entries) {
            if (entry.ttl() != 0) {
                return FORMERR;
            }
            if (!DomainNames.isUnder(entry.owner(), zone.origin())) {
                return NOTZONE;
            }
            OwnerRecords owner = zone.names().get(DomainNames.key(entry.owner()));
            boolean set = owner != null && owner.set(entry.type()) != null;
            int code =
                    switch (entry.dclass()) {
                        case RecordTypes.CLASS_ANY -> entry.data() != null
                                ? FORMERR
                                : entry.type() == RecordTypes.ANY
                                        ? owner == null ? NXDOMAIN : NOERROR
                                        : set ? NOERROR : NXRRSET;
                        case RecordTypes.CLASS_NONE -> entry.data() != null
                                ? FORMERR
                                : entry.type() == RecordTypes.ANY
                                        ? owner != null ? YXDOMAIN : NOERROR
                                        : set ? YXRRSET : NOERROR;
                        case RecordTypes.IN -> {
                            if (entry.data() == null || RecordTypes.isMeta(entry.type())) {
                                yield FORMERR;
                            }
                            exact.computeIfAbsent(
                                            DomainNames.text(entry.owner()) + " " + entry.type(),
                                            k -> new ArrayList<>())
                                    .add(entry);
                            yield NOERROR;
                        }
                        default -> FORMERR;
                    };
            if (code != NOERROR) {
                return code;
            }
        }
        for (List<UpdateEntry> wanted : exact.values()) {
            byte[][] data = wanted.stream().map(UpdateEntry::data).toArray(byte[][]::new);
            int type = wanted.get(0).type();
            if (!RecordSet.of(type, 0, data).sameData(zone.set(wanted.get(0).owner(), type))) {
                return NXRRSET;
            }
        }
        return NOERROR;
    }

    // ---- section 3.4.1

    private static int scan(Zone zone, List<UpdateEntry> entries) {
        for (UpdateEntry entry : entries) {
            if (!DomainNames.isUnder(entry.owner(), zone.origin())) {
                return NOTZONE;
            }
            boolean wrong =
                    switch (entry.dclass()) {
                        case RecordTypes.IN -> RecordTypes.isMeta(entry.type()) || entry.data() == null;
                        case RecordTypes.CLASS_ANY -> entry.ttl() != 0
                                || entry.data() != null
                                || (RecordTypes.isMeta(entry.type()) && entry.type() != RecordTypes.ANY);
                        case RecordTypes.CLASS_NONE -> entry.ttl() != 0
                                || entry.data() == null
                                || RecordTypes.isMeta(entry.type());
                        default -> true;
                    };
            if (wrong) {
                return FORMERR;
            }
        }
        return NOERROR;
    }

    // ---- section 3.4.2

    private UpdateResult carryOut(List<UpdateEntry> entries) {
        for (UpdateEntry entry : entries) {
            byte[] key = DomainNames.key(entry.owner());
            OwnerRecords owner = owner(key);
            boolean apex = Arrays.equals(key, zone.apex());
            OwnerRecords made =
                    switch (entry.dclass()) {
                        case RecordTypes.IN -> added(owner, entry, apex);
                        case RecordTypes.CLASS_ANY -> entry.type() == RecordTypes.ANY
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
            return new UpdateResult(NOERROR, zone, null);
        }
        if (difference.from() == difference.to()) {
            // Section 3.6: whoever changes a zone gives it a new serial.
            RecordSet soa = made.soa();
            RecordSet next = RecordSet.of(
                    RecordTypes.SOA, soa.ttl, Zone.withSerial(soa.data[0], SerialNumbers.next(difference.from())));
            changed.put(zone.apex(), owner(zone.apex()).with(RecordTypes.SOA, next));
            made = zone.with(changed);
            difference = Difference.between(zone, made, changed.keySet());
        }
        return new UpdateResult(NOERROR, made, difference);
    }

    private OwnerRecords owner(byte[] key) {
        OwnerRecords owner = changed.get(key);
        if (owner == null) {
            owner = zone.names().get(key);
        }
        return owner == null ? OwnerRecords.NONE : owner;
    }

    private static boolean kept(boolean apex, int type) {
        return apex && (type == RecordTypes.SOA || type == RecordTypes.NS);
    }

    private OwnerRecords added(OwnerRecords owner, UpdateEntry entry, boolean apex) {
        RecordSet set = owner.set(entry.type());
        if (entry.type() == RecordTypes.SOA) {
            // One is there and is replaced by a later one; elsewhere than at the apex none may be.
            return apex && SerialNumbers.after(Zone.serial(entry.data()), Zone.serial(set.data[0]))
                    ? owner.with(RecordTypes.SOA, RecordSet.of(RecordTypes.SOA, entry.ttl(), entry.data()))
                    : owner;
        }
        boolean cname = owner.set(RecordTypes.CNAME) != null;
        if (entry.type() == RecordTypes.CNAME ? owner.sets.length > (cname ? 1 : 0) : cname) {
            return owner;
        }
        if (set == null || entry.type() == RecordTypes.CNAME || entry.type() == RecordTypes.DNAME) {
            RecordSet made = RecordSet.of(entry.type(), entry.ttl(), entry.data());
            return made.same(set) ? owner : owner.with(entry.type(), made);
        }
        RecordSet more = set.with(entry.ttl(), entry.data());
        return more == set ? owner : owner.with(entry.type(), more);
    }

    private static OwnerRecords cleared(OwnerRecords owner, boolean apex) {
        OwnerRecords left = OwnerRecords.NONE;
        for (RecordSet set : owner.sets) {
            left = kept(apex, set.type) ? left.with(set.type, set) : left;
        }
        return left.sets.length == owner.sets.length ? owner : left;
    }

    private static OwnerRecords without(OwnerRecords owner, UpdateEntry entry, boolean apex) {
        RecordSet set = owner.set(entry.type());
        if (set == null || entry.type() == RecordTypes.SOA || (kept(apex, entry.type()) && set.size() == 1)) {
            return owner;
        }
        RecordSet fewer = set.without(entry.data());
        return fewer == set ? owner : owner.with(entry.type(), fewer);
    }
}
