package merlinlever.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Opens a state folder on disk, told where the environment asks it to be (by the fault harness alone). */
public final class StateDirectories {

    /** Names a folder; each state folder of the process then adds what passes through it to a file there. */
    public static final String RECORDING_DIRECTORY_VARIABLE = "MERLINLEVER_DISK_RECORD";

    private StateDirectories() {}

    /** Held by this process alone until it is closed. */
    public static StateDirectory open(Path path, Map<String, String> environment) throws IOException {
        FileStateDirectory directory = new FileStateDirectory(path);
        String recordingDirectory = environment.get(RECORDING_DIRECTORY_VARIABLE);
        if (recordingDirectory == null || recordingDirectory.isEmpty()) {
            return directory;
        }
        try {
            Path recordings = Path.of(recordingDirectory);
            Files.createDirectories(recordings);
            String absolutePath = path.toAbsolutePath().normalize().toString();
            String name = absolutePath.replaceAll("[^A-Za-z0-9.-]", "_") + ".ops";
            return new RecordingStateDirectory(
                    directory, RecordingStateDirectory.OperationLog.appendingTo(recordings.resolve(name)), absolutePath);
        } catch (IOException e) {
            directory.close();
            throw e;
        }
    }
}
