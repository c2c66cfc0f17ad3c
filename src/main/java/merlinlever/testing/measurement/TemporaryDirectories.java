package merlinlever.testing.measurement;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Folders that a measurement makes for itself. */
final class TemporaryDirectories {

    private TemporaryDirectories() {}

    /** Removes it with all that is in it. */
    static void remove(Path folder) throws IOException {
        List<Path> deepestFirst;
        try (Stream<Path> all = Files.walk(folder)) {
            deepestFirst = all.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : deepestFirst) {
            Files.delete(path);
        }
    }
}
