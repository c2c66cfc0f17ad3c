package merlinlever.fleet.recovery.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import merlinlever.common.storage.FileStateDirectory;
import merlinlever.common.storage.RecordingStateDirectory;
import merlinlever.fleet.recovery.Finding;
import merlinlever.fleet.recovery.LoadedState;
import merlinlever.fleet.recovery.PersistedState;
import merlinlever.fleet.recovery.PersistedStateAssessor;
import merlinlever.fleet.recovery.TrustedState;
import merlinlever.testing.faults.TestDirectories;
import merlinlever.testing.faults.disk.CrashStates;
import merlinlever.testing.faults.disk.StateRestorer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RecoveryFileTest {

    private static final long WRITTEN_AT_UNIX_MS = 1_800_000_000_000L;
    private static final String OWNER = "b-1@127.0.0.1:1";

    private static PersistedState stateNumber(int i) {
        return new PersistedState(
                OWNER,
                64 + i / 10,
                i / 20,
                WRITTEN_AT_UNIX_MS + i * 1000L + 3000,
                WRITTEN_AT_UNIX_MS + i * 1000L,
                i / 2.0,
                List.of("127.0.0.1:" + (i + 1)));
    }

    /** Checks every disk state that a power loss during 200 writes may leave. */
    @Test
    void afterAPowerLossTheFileContainsTheLastCompletedWriteOrTheWriteInProgress() throws Exception {
        Path root = Files.createTempDirectory("merlinlever-recovery");
        try {
            List<String> recording = new ArrayList<>();
            List<PersistedState> written = new ArrayList<>();
            // Length of the recording at the end of each write.
            List<Integer> recordingLengths = new ArrayList<>();
            try (RecordingStateDirectory directory = new RecordingStateDirectory(
                    new FileStateDirectory(root.resolve("day")), TestDirectories.into(recording), "day")) {
                RecoveryFile file = new RecoveryFile(directory);
                for (int i = 0; i < 200; i++) {
                    PersistedState state = stateNumber(i);
                    file.write(state);
                    written.add(state);
                    recordingLengths.add(recording.size());
                }
            }
            int[] checked = {0};
            int generated = CrashStates.parse(String.join("\n", recording) + "\n")
                    .forEachState(crashState -> {
                        int completed = 0;
                        while (completed < recordingLengths.size()
                                && recordingLengths.get(completed) <= crashState.cut()) {
                            completed++;
                        }
                        Optional<PersistedState> last =
                                completed == 0 ? Optional.empty() : Optional.of(written.get(completed - 1));
                        Optional<PersistedState> next =
                                completed < written.size() ? Optional.of(written.get(completed)) : last;
                        LoadedState loaded = readAfter(crashState, root.resolve("state"));
                        String where = "power loss after line " + crashState.cut() + ", " + crashState.description();
                        assertEquals(Optional.empty(), loaded.corruption(), where);
                        assertTrue(
                                loaded.state().equals(last)
                                        || (loaded.state().isPresent()
                                                && loaded.state().equals(next)),
                                where + ": " + loaded);
                        checked[0]++;
                    });
            assertEquals(generated, checked[0]);
            assertTrue(generated >= 600, "states: " + generated);
        } finally {
            TestDirectories.remove(root);
        }
    }

    private static LoadedState readAfter(CrashStates.CrashState crashState, Path path) {
        try {
            StateRestorer.restore(path, crashState);
            try (FileStateDirectory directory = new FileStateDirectory(path)) {
                return new RecoveryFile(directory).read();
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Property(tries = 500, seed = "27")
    void aFlippedBitOrATruncatedFileIsReportedAndDiscarded(
            @ForAll @IntRange(min = 0, max = 10_000) int position, @ForAll boolean truncate) {
        byte[] bytes = RecoveryFile.encode(new PersistedState(
                OWNER, 64, 3, WRITTEN_AT_UNIX_MS + 3000, WRITTEN_AT_UNIX_MS, 12.5, List.of("127.0.0.1:2")));
        if (truncate) {
            bytes = Arrays.copyOf(bytes, position % bytes.length);
        } else {
            bytes[position % bytes.length] ^= (byte) (1 << position % 7);
        }
        LoadedState loaded = RecoveryFile.decode(bytes);
        assertEquals(Optional.empty(), loaded.state());
        assertTrue(loaded.corruption().isPresent());
        TrustedState trusted = PersistedStateAssessor.assess(loaded, OWNER, WRITTEN_AT_UNIX_MS);
        assertEquals(OptionalLong.empty(), trusted.nonIdempotentUntilUnixMs());
        assertTrue(trusted.findings().stream()
                .allMatch(finding -> finding.disposition() == Finding.Disposition.DISCARDED));
    }
}
