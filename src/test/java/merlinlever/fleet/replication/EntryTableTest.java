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

    private static void assertTablesEqual(EntryTable expected, EntryTable actual) {
        assertEquals(expected.digest(), actual.digest());
        assertArrayEquals(expected.bucketChecksums(), actual.bucketChecksums());
        assertEquals(expected.sizeBytes(), actual.sizeBytes());
        for (StoredEntry entry : expected.entries()) {
            StoredEntry actualEntry = actual.get(entry.key());
            assertEquals(entry.digests(), actualEntry.digests());
            assertArrayEquals(entry.value(), actualEntry.value());
            assertEquals(entry.isConflicted(), entry.digests().size() == 2);
        }
    }

    @Property(tries = 2000, seed = "31")
    void mergeIsAssociativeCommutativeAndIdempotent(@ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int count) {
        SplittableRandom random = new SplittableRandom(seed);
        List<StoredEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(ReplicationFixture.randomEntry(random));
        }
        EntryTable table = tableOf(entries);
        List<StoredEntry> repeated = new ArrayList<>(entries);
        repeated.addAll(entries.subList(0, random.nextInt(count + 1)));
        Collections.shuffle(repeated, new Random(seed));
        assertTablesEqual(table, tableOf(repeated));
        // Two tables with a part of the entries each; then the second table is merged into the first.
        int splitIndex = random.nextInt(count + 1);
        EntryTable merged = tableOf(entries.subList(0, splitIndex));
        tableOf(entries.subList(splitIndex, count)).entries().forEach(merged::merge);
        assertTablesEqual(table, merged);
        table.entries().forEach(merged::merge);
        assertTablesEqual(table, merged);
        assertHoldsHighestVersions(table, entries);
    }

    /**
     * Checks that the table holds the highest version of each key, in conflict exactly if that version has different
     * values.
     */
    private static void assertHoldsHighestVersions(EntryTable table, List<StoredEntry> entries) {
        for (StoredEntry stored : table.entries()) {
            List<StoredEntry> highest = entries.stream()
                    .filter(entry -> entry.key().equals(stored.key()) && !stored.isNewerThan(entry))
                    .toList();
            assertTrue(highest.stream().noneMatch(entry -> entry.isNewerThan(stored)));
            assertEquals(
                    highest.stream()
                                    .map(entry -> entry.digests().get(0))
                                    .distinct()
                                    .count()
                            > 1,
                    stored.isConflicted());
        }
    }
}
