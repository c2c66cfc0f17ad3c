package merlinlever.dns.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;

/**
 * Decides in which updates a live zone is brought to what a file says. All changes of one name are in one update, on the
 * condition that each set that it touches is as it was when the plan was made: so each name is old or new and never
 * between, and what somebody else changes meanwhile stops the plan there instead of being overwritten.
 */
public final class UpdatePlan {

    /**
     * One update.
     *
     * @param names that it changes
     */
    public record Batch(
            List<UpdateEntry> prerequisites,
            List<UpdateEntry> changes,
            int names,
            List<ResourceRecord> removed,
            List<ResourceRecord> added) {}

    private UpdatePlan() {}

    /**
     * The updates that bring a live zone to what is wanted.
     *
     * @param most entries of an update, but for a single name that has more
     */
    public static List<Batch> of(Zone live, Zone wanted, int most) {
        Difference difference = Difference.between(live, wanted);
        Map<byte[], List<ResourceRecord>> removed = byName(difference.removed());
        Map<byte[], List<ResourceRecord>> added = byName(difference.added());
        TreeMap<byte[], Boolean> names = new TreeMap<>(Arrays::compareUnsigned);
        removed.keySet().forEach(key -> names.put(key, true));
        added.keySet().forEach(key -> names.put(key, true));
        List<Batch> batches = new ArrayList<>();
        Batch open = empty();
        for (byte[] key : names.keySet()) {
            Batch one = name(
                    live,
                    wanted,
                    DomainNames.wire(key),
                    removed.getOrDefault(key, List.of()),
                    added.getOrDefault(key, List.of()));
            if (open.names > 0
                    && open.changes.size() + open.prerequisites.size() + one.changes.size() + one.prerequisites.size()
                            > most) {
                batches.add(open);
                open = empty();
            }
            open.prerequisites.addAll(one.prerequisites);
            open.changes.addAll(one.changes);
            open.removed.addAll(one.removed);
            open.added.addAll(one.added);
            open = new Batch(open.prerequisites, open.changes, open.names + 1, open.removed, open.added);
        }
        UpdateEntry soa = soa(difference, batches.size());
        if (soa != null) {
            open.changes.add(soa);
            open.removed.add(difference.removed().get(0));
            open.added.add(new ResourceRecord(live.origin(), RecordTypes.SOA, soa.ttl(), soa.data()));
        }
        if (!open.changes.isEmpty()) {
            batches.add(open);
        }
        return batches;
    }

    private static Batch empty() {
        return new Batch(new ArrayList<>(), new ArrayList<>(), 0, new ArrayList<>(), new ArrayList<>());
    }

    private static Map<byte[], List<ResourceRecord>> byName(List<ResourceRecord> records) {
        Map<byte[], List<ResourceRecord>> byName = new TreeMap<>(Arrays::compareUnsigned);
        records.stream().skip(1).forEach(rec -> byName.computeIfAbsent(
                        DomainNames.key(rec.owner()), key -> new ArrayList<>())
                .add(rec));
        return byName;
    }

    /**
     * Where more than the serial differs, or the file's comes later; in the last update, so that a stopped plan shows by it.
     * The updates before it move the live serial on by one each, and a server takes only one that comes after.
     */
    private static UpdateEntry soa(Difference difference, int before) {
        ResourceRecord old = difference.removed().get(0);
        ResourceRecord made = difference.added().get(0);
        boolean later = SerialNumbers.after(difference.to(), difference.from());
        boolean other =
                old.ttl() != made.ttl() || !Arrays.equals(Zone.withSerial(old.data(), difference.to()), made.data());
        if (!later && !other) {
            return null;
        }
        long moved = difference.from() + before & 0xffff_ffffL;
        byte[] data = SerialNumbers.after(difference.to(), moved)
                ? made.data()
                : Zone.withSerial(made.data(), SerialNumbers.next(moved));
        return new UpdateEntry(old.owner(), RecordTypes.SOA, RecordTypes.IN, made.ttl(), data);
    }

    private static Batch name(
            Zone live, Zone wanted, byte[] name, List<ResourceRecord> removed, List<ResourceRecord> added) {
        Batch batch = empty();
        TreeMap<Integer, Boolean> types = new TreeMap<>();
        removed.forEach(rec -> types.put(rec.type(), true));
        added.forEach(rec -> types.put(rec.type(), true));
        List<UpdateEntry> last = new ArrayList<>();
        for (int type : types.keySet()) {
            RecordSet before = live.set(name, type);
            RecordSet after = wanted.set(name, type);
            if (before == null) {
                batch.prerequisites.add(new UpdateEntry(name, type, RecordTypes.CLASS_NONE, 0, null));
            } else {
                before.forEachRecord(
                        name,
                        rec -> batch.prerequisites.add(new UpdateEntry(name, type, RecordTypes.IN, 0, rec.data())));
            }
            if (after == null) {
                // First, or what takes its place could not stand beside it (a CNAME).
                batch.changes.add(0, new UpdateEntry(name, type, RecordTypes.CLASS_ANY, 0, null));
            } else {
                after.forEachRecord(name, rec -> {
                    if (before == null || before.ttl() != after.ttl() || !before.contains(rec.data())) {
                        batch.changes.add(new UpdateEntry(name, type, RecordTypes.IN, rec.ttl(), rec.data()));
                    }
                });
                if (before != null) {
                    before.forEachRecord(name, rec -> {
                        if (!after.contains(rec.data())) {
                            last.add(new UpdateEntry(name, type, RecordTypes.CLASS_NONE, 0, rec.data()));
                        }
                    });
                }
            }
        }
        batch.changes.addAll(last);
        batch.removed.addAll(removed);
        batch.added.addAll(added);
        return batch;
    }
}
