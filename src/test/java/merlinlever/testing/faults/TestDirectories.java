package merlinlever.testing.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import merlinlever.common.storage.RecordingStateDirectory;

/** Temporary directories of tests, and a recording kept in memory. */
public final class TestDirectories {

    private TestDirectories() {}

    /** Removes the directory with all its content. */
    public static void remove(Path directory) {
        try (Stream<Path> all = Files.walk(directory)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** A recording that is appended to the list. */
    public static RecordingStateDirectory.OperationLog into(List<String> lines) {
        return new RecordingStateDirectory.OperationLog() {
            @Override
            public void append(String line) {
                lines.add(line);
            }

            @Override
            public void close() {}
        };
    }
}
