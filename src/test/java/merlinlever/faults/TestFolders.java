package merlinlever.faults;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import merlinlever.durable.Recorded;

/** Folders of tests, and a record kept in memory. */
public final class TestFolders {

    private TestFolders() {}

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

    public static Recorded.Record into(List<String> lines) {
        return new Recorded.Record() {
            @Override
            public void line(String text) {
                lines.add(text);
            }

            @Override
            public void close() {}
        };
    }
}
