package merlinlever.common.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Opens state directories on disk, with a recording of their operations if an environment variable requests one. */
public final class StateDirectories {

    /**
     * The environment variable with the directory for recordings, set by the fault harness. Each state directory of the
     * process appends its operations to a file in that directory; the file is named after the path of the state
     * directory.
     */
    public static final String RECORDING_DIRECTORY_VARIABLE = "MERLINLEVER_DISK_RECORD";

    private StateDirectories() {}

    /** Opens and locks a state directory, which the caller must close. */
    public static StateDirectory open(Path path, Map<String, String> environment) throws IOException {
        FileStateDirectory directory = new FileStateDirectory(path);
        String recordingDirectory = environment.get(RECORDING_DIRECTORY_VARIABLE);
        if (recordingDirectory == null || recordingDirectory.isEmpty()) {
            return directory;
        }
        try {
            return recorded(directory, path, Path.of(recordingDirectory));
        } catch (IOException e) {
            directory.close();
            throw e;
        }
    }

    private static StateDirectory recorded(StateDirectory directory, Path path, Path recordings) throws IOException {
        Files.createDirectories(recordings);
        String absolutePath = path.toAbsolutePath().normalize().toString();
        String fileName = absolutePath.replaceAll("[^A-Za-z0-9.-]", "_") + ".ops";
        return new RecordingStateDirectory(
                directory,
                RecordingStateDirectory.OperationLog.appendingTo(recordings.resolve(fileName)),
                absolutePath);
    }
}
