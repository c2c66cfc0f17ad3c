package merlinlever.fleet.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class EntryTableTest {

    private static EntryTable tableOf(List<StoredEntry> entries) {
        EntryTable table = new EntryTable();
        entries.forEach(table::merge);
        return table;
    }

    private static void assertSame(EntryTable expected, EntryTable actual) {
        assertEquals(expected.digest(), actual.digest());
        assertArrayEquals(expected.bucketChecksums(), actual.bucketChecksums());
        assertEquals(expected.sizeBytes(), actual.sizeBytes());
        for (StoredEntry entry : expected.entries()) {
            StoredEntry other = actual.get(entry.key());
            assertEquals(entry.digests(), other.digests());
            assertArrayEquals(entry.value(), other.value());
            assertEquals(entry.isConflicted(), entry.digests().size() == 2);
        }
    }

    @Property(tries = 2000, seed = "31")
    void mergingIsAssociativeCommutativeAndIdempotent(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int count) {
        SplittableRandom random = new SplittableRandom(seed);
        List<StoredEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(ReplicationFixture.randomEntry(random));
        }
        EntryTable table = tableOf(entries);
        List<StoredEntry> repeated = new ArrayList<>(entries);
        repeated.addAll(entries.subList(0, random.nextInt(count + 1)));
        Collections.shuffle(repeated, new Random(seed));
        assertSame(table, tableOf(repeated));
        // Two parts, each merged on its own, then one into the other.
        int cut = random.nextInt(count + 1);
        EntryTable merged = tableOf(entries.subList(0, cut));
        tableOf(entries.subList(cut, count)).entries().forEach(merged::merge);
        assertSame(table, merged);
        table.entries().forEach(merged::merge);
        assertSame(table, merged);
        assertHoldsHighestVersions(table, entries);
    }

    /** Of each key the highest version is held, in conflict exactly if it was published with two values. */
    private static void assertHoldsHighestVersions(EntryTable table, List<StoredEntry> entries) {
        for (StoredEntry held : table.entries()) {
            List<StoredEntry> highest = entries.stream()
                    .filter(entry -> entry.key().equals(held.key()) && !held.isNewerThan(entry))
                    .toList();
            assertTrue(highest.stream().noneMatch(entry -> entry.isNewerThan(held)));
            assertEquals(
                    highest.stream()
                                    .map(entry -> entry.digests().get(0))
                                    .distinct()
                                    .count()
                            > 1,
                    held.isConflicted());
        }
    }
}
