package merlinlever.testing.faults.disk;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;

/** Lays a state that a power loss may leave into a folder, in place of the files that were there; folders in it stay. */
public final class StateRestorer {

    private StateRestorer() {}

    public static void restore(Path folder, CrashStates.CrashState state) throws IOException {
        Files.createDirectories(folder);
        try (Stream<Path> there = Files.list(folder)) {
            for (Path file : (Iterable<Path>) there::iterator) {
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
