package merlinlever.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Opens a state folder on disk, told where the environment asks it to be (by the fault harness alone). */
public final class StateDirectories {

    /** Names a folder; each state folder of the process then adds what passes through it to a file there. */
    public static final String RECORD = "MERLINLEVER_DISK_RECORD";

    private StateDirectories() {}

    /** Held by this process alone until it is closed. */
    public static StateDirectory open(Path path, Map<String, String> environment) throws IOException {
        FileStateDirectory folder = new FileStateDirectory(path);
        String into = environment.get(RECORD);
        if (into == null || into.isEmpty()) {
            return folder;
        }
        try {
            Path records = Path.of(into);
            Files.createDirectories(records);
            String absolute = path.toAbsolutePath().normalize().toString();
            String name = absolute.replaceAll("[^A-Za-z0-9.-]", "_") + ".ops";
            return new RecordingStateDirectory(
                    folder, RecordingStateDirectory.OperationLog.to(records.resolve(name)), absolute);
        } catch (IOException e) {
            folder.close();
            throw e;
        }
    }
}
