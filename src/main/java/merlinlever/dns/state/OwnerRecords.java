package merlinlever.dns.state;

import java.util.Arrays;

/** The record sets of one name, by type. */
public final class OwnerRecords {

    static final OwnerRecords NONE = new OwnerRecords(new RecordSet[0]);

    final RecordSet[] sets;

    private OwnerRecords(RecordSet[] sets) {
        this.sets = sets;
    }

    static OwnerRecords of(RecordSet... sets) {
        Arrays.sort(sets, (a, b) -> Integer.compare(a.type, b.type));
        return new OwnerRecords(sets);
    }

    public RecordSet set(int type) {
        for (RecordSet set : sets) {
            if (set.type == type) {
                return set;
            }
        }
        return null;
    }

    public int sets() {
        return sets.length;
    }

    public RecordSet at(int index) {
        return sets[index];
    }

    int records() {
        int records = 0;
        for (RecordSet set : sets) {
            records += set.data.length;
        }
        return records;
    }

    /** With this set in place of the one of its type; null takes that one out. */
    OwnerRecords with(int type, RecordSet set) {
        int at = 0;
        while (at < sets.length && sets[at].type < type) {
            at++;
        }
        boolean there = at < sets.length && sets[at].type == type;
        if (set == null && !there) {
            return this;
        }
        int behind = there ? at + 1 : at;
        RecordSet[] made = new RecordSet[at + (set == null ? 0 : 1) + sets.length - behind];
        System.arraycopy(sets, 0, made, 0, at);
        if (set != null) {
            made[at] = set;
        }
        System.arraycopy(sets, behind, made, made.length - (sets.length - behind), sets.length - behind);
        return new OwnerRecords(made);
    }
}
