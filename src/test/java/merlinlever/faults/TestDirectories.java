package merlinlever.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import merlinlever.storage.RecordingStateDirectory;

/** Folders of tests, and a record kept in memory. */
public final class TestDirectories {

    private TestDirectories() {}

    /** Removes it with all that is in it. */
    public static void remove(Path folder) {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    public static RecordingStateDirectory.OperationLog into(List<String> lines) {
        return new RecordingStateDirectory.OperationLog() {
            @Override
            public void append(String text) {
                lines.add(text);
            }

            @Override
            public void close() {}
        };
    }
}
