package merlinlever.testing.faults.disk;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;

/** Replaces the files of a directory by a crash state; keeps the lock file and subdirectories. */
public final class StateRestorer {

    private StateRestorer() {}

    public static void restore(Path folder, CrashStates.CrashState state) throws IOException {
        Files.createDirectories(folder);
        try (Stream<Path> existing = Files.list(folder)) {
            for (Path file : (Iterable<Path>) existing::iterator) {
                if (Files.isRegularFile(file) && !file.getFileName().toString().equals("lock")) {
                    Files.delete(file);
                }
            }
        }
        for (Map.Entry<String, byte[]> file : state.files().entrySet()) {
            Files.write(folder.resolve(file.getKey()), file.getValue());
        }
    }
}
