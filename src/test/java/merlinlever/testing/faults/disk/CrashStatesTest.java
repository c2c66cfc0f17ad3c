package merlinlever.testing.faults.disk;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import merlinlever.common.storage.FileStateDirectory;
import merlinlever.common.storage.RecordingStateDirectory;
import merlinlever.host.disk.InstanceLedger;
import merlinlever.testing.faults.TestDirectories;
import org.junit.jupiter.api.Test;

class CrashStatesTest {

    private static String b64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static List<CrashStates.CrashState> all(String record) throws CrashStates.MalformedRecordingException {
        List<CrashStates.CrashState> states = new ArrayList<>();
        CrashStates.parse(record).forEachState(states::add);
        return states;
    }

    private static boolean holds(List<CrashStates.CrashState> states, int cut, Map<String, String> files) {
        return states.stream()
                .anyMatch(state -> state.cut() == cut
                        && state.files().size() == files.size()
                        && files.entrySet().stream()
                                .allMatch(file -> state.files().containsKey(file.getKey())
                                        && new String(state.files().get(file.getKey()), StandardCharsets.US_ASCII)
                                                .equals(file.getValue())));
    }

    @Test
    void unforcedWritesMayBeLostTornOrReordered() throws CrashStates.MalformedRecordingException {
        String record = "had a " + b64("old") + "\nopen b\nwrite b 0 " + b64("one") + "\nwrite b 3 " + b64("two")
                + "\nforce b\nwrite b 6 " + b64("three") + "\nwrite b 11 " + b64("four") + "\n";
        List<CrashStates.CrashState> states = CrashStates.parse(record).finalStates();
        // A kill keeps all writes; a power loss may lose file b, because the directory was not forced.
        assertTrue(holds(states, 7, Map.of("a", "old", "b", "onetwothreefour")));
        assertTrue(holds(states, 7, Map.of("a", "old")));
        assertTrue(holds(states, 7, Map.of("a", "old", "b", "onetwo")), "forced writes only");
        assertTrue(holds(states, 7, Map.of("a", "old", "b", "onetwothree")), "the first of two unforced writes");
        assertTrue(holds(states, 7, Map.of("a", "old", "b", "onetwoth")), "a torn write");
        assertTrue(holds(states, 7, Map.of("a", "old", "b", "onetwo\0\0\0\0\0four")), "only the last write");
        // No state contains data that was never written.
        assertTrue(states.stream()
                .noneMatch(state -> state.files().containsKey("b")
                        && new String(state.files().get("b"), StandardCharsets.US_ASCII).contains("fourthree")));
        // The complete recording yields each state once.
        states = all(record);
        assertEquals(
                states.size(),
                states.stream()
                        .map(state -> state.files().toString()
                                + state.files().keySet()
                                + state.files().values().stream()
                                        .map(octets -> new String(octets, StandardCharsets.US_ASCII))
                                        .toList())
                        .distinct()
                        .count());
    }

    @Test
    void renamesAreDurableAndDeletesNeedAForcedDirectory() throws CrashStates.MalformedRecordingException {
        String record = "had x " + b64("1") + "\nopen x.new\nwrite x.new 0 " + b64("2")
                + "\nforce x.new\nrename x.new x\n" + "delete x\n";
        List<CrashStates.CrashState> states = all(record);
        assertTrue(holds(states, 5, Map.of("x", "2")));
        List<CrashStates.CrashState> last = CrashStates.parse(record).finalStates();
        assertTrue(
                states.stream()
                        .filter(state -> state.cut() == 5)
                        .noneMatch(state -> state.files().containsKey("x")
                                && new String(state.files().get("x"), StandardCharsets.US_ASCII).equals("1")),
                "a rename must be durable");
        assertTrue(holds(last, 6, Map.of()) && holds(last, 6, Map.of("x", "2")), "an unforced delete may be lost");
    }

    @Test
    void reportsTheLineNumberOfAnInvalidLine() {
        assertEquals(
                "line 2: 'scribble' is none of folder, had, open, write, force, truncate, rename, delete, sync",
                assertThrows(
                                CrashStates.MalformedRecordingException.class,
                                () -> CrashStates.parse("open a\nscribble a\n"))
                        .getMessage());
        assertThrows(
                CrashStates.MalformedRecordingException.class,
                () -> CrashStates.parse("write a 0 " + b64("x") + "\n").forEachState(state -> {}));
    }

    /**
     * Checks that the ledger opens in every crash state and holds, for each instance, the last returned record or the
     * record that was being written.
     */
    @Test
    void ledgerRecoversReturnedRecordsFromEveryCrashState() throws Exception {
        Path root = Files.createTempDirectory("merlinlever-crash");
        try {
            List<String> lines = new ArrayList<>();
            SplittableRandom random = new SplittableRandom(0x5eed_2026L);
            List<Map<String, InstanceLedger.InstanceRecord>> after = new ArrayList<>();
            List<Integer> returnedAt = new ArrayList<>();
            Map<String, InstanceLedger.InstanceRecord> now = new java.util.TreeMap<>();
            try (InstanceLedger ledger = new InstanceLedger(new RecordingStateDirectory(
                    new FileStateDirectory(root.resolve("day")), TestDirectories.into(lines), "day"))) {
                for (int i = 0; i < 24; i++) {
                    String instance = "i-" + random.nextInt(4);
                    InstanceLedger.InstanceRecord noted = new InstanceLedger.InstanceRecord(
                            random.nextBoolean(), "t" + i, random.nextInt(1, 99_999), i);
                    ledger.update(instance, noted);
                    now.put(instance, noted);
                    after.add(new java.util.TreeMap<>(now));
                    returnedAt.add(lines.size());
                }
            }
            CrashStates states = CrashStates.parse(String.join("\n", lines) + "\n");
            int[] checked = {0};
            int count = states.forEachState(state -> {
                int done = 0;
                while (done < returnedAt.size() && returnedAt.get(done) <= state.cut()) {
                    done++;
                }
                Path folder = root.resolve("state-" + checked[0]++);
                try {
                    StateRestorer.restore(folder, state);
                    try (InstanceLedger opened = new InstanceLedger(folder)) {
                        boolean asBefore = agrees(opened, done == 0 ? Map.of() : after.get(done - 1));
                        boolean asNext = done < after.size() && agrees(opened, after.get(done));
                        assertTrue(
                                asBefore || asNext,
                                "cut " + state.cut() + " (" + state.description() + ") after " + done
                                        + " notes returned");
                    }
                } catch (IOException | InstanceLedger.CorruptLedgerException e) {
                    throw new AssertionError(
                            "cut " + state.cut() + " (" + state.description() + "): " + e.getMessage(), e);
                } finally {
                    TestDirectories.remove(folder);
                }
            });
            assertEquals(count, checked[0]);
            assertTrue(count > 50, "states restored: " + count);
        } finally {
            TestDirectories.remove(root);
        }
    }

    private static boolean agrees(InstanceLedger ledger, Map<String, InstanceLedger.InstanceRecord> noted) {
        for (int i = 0; i < 4; i++) {
            if (!ledger.recordOf("i-" + i).equals(noted.getOrDefault("i-" + i, InstanceLedger.InstanceRecord.NONE))) {
                return false;
            }
        }
        return true;
    }

    @Test
    void restoringAStateReplacesTheFiles() throws Exception {
        Path folder = Files.createTempDirectory("merlinlever-lay");
        try {
            Files.writeString(folder.resolve("stale"), "gone");
            CrashStates.CrashState state =
                    CrashStates.parse("had k " + b64("v") + "\n").finalStates().get(0);
            StateRestorer.restore(folder, state);
            assertArrayEquals("v".getBytes(StandardCharsets.US_ASCII), Files.readAllBytes(folder.resolve("k")));
            assertTrue(Files.notExists(folder.resolve("stale")));
        } finally {
            TestDirectories.remove(folder);
        }
    }

    /** Guards against data loss through a start that was killed while listing the existing files. */
    @Test
    void incompleteStartsKeepEarlierState() throws Exception {
        String before = "folder f 0\nopen a\nwrite a 0 eA==\nforce a\nsync\n";
        for (String cutOff : List.of("folder f 2\n", "folder f 2\nhad a eA==\n", "folder f 2\nhad a eA==\nhad b e")) {
            for (CrashStates.CrashState state :
                    CrashStates.parse(before + cutOff).finalStates()) {
                assertEquals(Set.of("a"), state.files().keySet(), cutOff + state.description());
            }
        }
        assertEquals(
                Set.of("b"),
                CrashStates.parse(before + "folder f 1\nhad b eA==\n")
                        .finalStates()
                        .get(0)
                        .files()
                        .keySet());
    }
}
