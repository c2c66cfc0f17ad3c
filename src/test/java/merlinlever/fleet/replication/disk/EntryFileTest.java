package merlinlever.fleet.replication.disk;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import merlinlever.fleet.replication.ReplicatedStore.PersistedEntries;
import merlinlever.fleet.replication.VersionedEntry;
import org.junit.jupiter.api.Test;

class EntryFileTest {

    private static final PersistedEntries PERSISTED = new PersistedEntries(
            4,
            9,
            List.of(
                    new VersionedEntry("a", "t", 4, 8, "x".getBytes(StandardCharsets.US_ASCII)),
                    new VersionedEntry("a", "gone", 4, 9, null)));

    @Test
    void entriesOfCorruptOrCopiedFilesAreIgnored() {
        byte[] file = EntryFile.encode("a", PERSISTED);
        PersistedEntries decoded = EntryFile.decode("a", file).orElseThrow();
        assertArrayEquals(file, EntryFile.encode("a", decoded));
        PersistedEntries copied = EntryFile.decode("b", file).orElseThrow();
        assertEquals(List.of(), copied.entries());
        assertEquals(4, copied.incarnation(), "new versions must start above the copied one");
        for (int i = 0; i < file.length; i++) {
            byte[] corrupted = file.clone();
            corrupted[i] ^= 4;
            assertTrue(EntryFile.decode("a", corrupted).isEmpty());
            assertTrue(EntryFile.decode("a", Arrays.copyOf(file, i)).isEmpty());
        }
    }
}
