package merlinlever.dns.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;

/**
 * Finds the answer to a question in one version of a zone (RFC 1034 section 4.3.2, wildcards by RFC 4592, DNAME by
 * RFC 6672, what is not there by RFC 2308).
 */
public final class Lookup {

    /** Names followed from one to the next at the most. */
    private static final int MOST_STEPS = 8;

    private static final byte[] STAR = {'*', 0};

    /** A set under the name that it is shown with, and how long it may be kept. */
    public record AnswerSet(byte[] owner, RecordSet set, long ttl) {}

    /** The answer: its code, and the sets of each section. */
    public static final class Answer {
        public int code = DynamicUpdate.NOERROR;
        public boolean authoritative = true;
        public final List<AnswerSet> answer = new ArrayList<>(2);
        public final List<AnswerSet> authority = new ArrayList<>(1);
        public final List<AnswerSet> additional = new ArrayList<>(2);
    }

    private final Zone zone;
    private final int type;
    private final Answer answer = new Answer();

    private Lookup(Zone zone, int type) {
        this.zone = zone;
        this.type = type;
    }

    /** The name is in the zone, on the wire, in lower case. */
    public static Answer find(Zone zone, byte[] name, int type) {
        Lookup lookup = new Lookup(zone, type);
        byte[] next = name;
        for (int steps = 0; next != null && steps < MOST_STEPS; steps++) {
            next = DomainNames.isUnder(next, zone.origin()) ? lookup.step(next) : null;
        }
        lookup.glue();
        return lookup.answer;
    }

    /** One name; returns the one that it leads to, or null. */
    private byte[] step(byte[] name) {
        byte[] key = DomainNames.key(name);
        // From the top down: what is cut off or renamed above the name decides first.
        for (int end = zone.apex().length; end <= key.length; end++) {
            if ((end > 0 && key[end - 1] != 0) || (end == key.length && type == RecordTypes.DS)) {
                continue;
            }
            boolean apex = end == zone.apex().length;
            boolean self = end == key.length;
            if (self && apex) {
                break;
            }
            OwnerRecords above = zone.names().get(self ? key : Arrays.copyOf(key, end));
            if (above == null) {
                continue;
            }
            RecordSet cut = apex ? null : above.set(RecordTypes.NS);
            if (cut != null) {
                answer.authoritative = !answer.answer.isEmpty();
                answer.authority.add(new AnswerSet(DomainNames.wire(Arrays.copyOf(key, end)), cut, cut.ttl));
                return null;
            }
            RecordSet renamed = self ? null : above.set(RecordTypes.DNAME);
            if (renamed != null) {
                return renamed(name, DomainNames.wire(Arrays.copyOf(key, end)), renamed);
            }
        }
        OwnerRecords owner = zone.names().get(key);
        if (owner != null) {
            return from(owner, name);
        }
        CopyOnWriteBTree.Entry<OwnerRecords> after = zone.names().ceiling(key);
        if (after != null && DomainNames.isPrefix(key, after.key())) {
            // Nothing here, but something below: the name exists.
            nothing(DynamicUpdate.NOERROR);
            return null;
        }
        CopyOnWriteBTree.Entry<OwnerRecords> before = zone.names().floor(key);
        int closest = Math.max(
                before == null ? 0 : DomainNames.commonLabelBytes(before.key(), key),
                after == null ? 0 : DomainNames.commonLabelBytes(after.key(), key));
        byte[] star = Arrays.copyOf(key, closest + STAR.length);
        System.arraycopy(STAR, 0, star, closest, STAR.length);
        OwnerRecords wildcard = zone.names().get(star);
        if (wildcard != null) {
            return from(wildcard, name);
        }
        nothing(DynamicUpdate.NXDOMAIN);
        return null;
    }

    private byte[] from(OwnerRecords owner, byte[] name) {
        RecordSet cname = owner.set(RecordTypes.CNAME);
        if (cname != null && type != RecordTypes.CNAME && type != RecordTypes.ANY) {
            answer.answer.add(new AnswerSet(name, cname, cname.ttl));
            return cname.data[0];
        }
        boolean found = false;
        for (RecordSet set : owner.sets) {
            if (set.type == type || type == RecordTypes.ANY) {
                answer.answer.add(new AnswerSet(name, set, set.ttl));
                found = true;
            }
        }
        if (!found) {
            nothing(DynamicUpdate.NOERROR);
        }
        return null;
    }

    private byte[] renamed(byte[] name, byte[] at, RecordSet dname) {
        byte[] target = dname.data[0];
        byte[] front = Arrays.copyOf(name, name.length - at.length);
        answer.answer.add(new AnswerSet(at, dname, dname.ttl));
        if (front.length + target.length > DomainNames.MAX_BYTES) {
            answer.code = DynamicUpdate.YXDOMAIN;
            return null;
        }
        byte[] made = Arrays.copyOf(front, front.length + target.length);
        System.arraycopy(target, 0, made, front.length, target.length);
        answer.answer.add(new AnswerSet(name, RecordSet.of(RecordTypes.CNAME, dname.ttl, made), dname.ttl));
        return made;
    }

    private void nothing(int code) {
        answer.code = code;
        answer.authority.add(new AnswerSet(zone.origin(), zone.soa(), zone.negativeTtl()));
    }

    /** Addresses in this zone of the names that the sets shown point to. */
    private void glue() {
        for (List<AnswerSet> section : List.of(answer.answer, answer.authority)) {
            for (AnswerSet shown : section) {
                int skipped =
                        switch (shown.set.type) {
                            case RecordTypes.NS -> 0;
                            case RecordTypes.MX -> 2;
                            case RecordTypes.SRV -> 6;
                            default -> -1;
                        };
                for (int i = 0; skipped >= 0 && i < shown.set.data.length && i < 16; i++) {
                    byte[] data = shown.set.data[i];
                    byte[] target = skipped == 0 ? data : Arrays.copyOfRange(data, skipped, data.length);
                    OwnerRecords owner = DomainNames.isUnder(target, zone.origin())
                            ? zone.names().get(DomainNames.key(target))
                            : null;
                    for (int address : owner == null ? new int[0] : new int[] {RecordTypes.A, RecordTypes.AAAA}) {
                        RecordSet set = owner.set(address);
                        if (set != null) {
                            answer.additional.add(new AnswerSet(target, set, set.ttl));
                        }
                    }
                }
            }
        }
    }
}
