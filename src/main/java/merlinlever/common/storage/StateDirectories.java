package merlinlever.common.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Opens state directories on disk, recorded if the environment asks for it (as the fault harness does). */
public final class StateDirectories {

    /**
     * The environment variable that names a directory for recordings. Each state directory of the process then appends its operations
     * to a file there, named after its own path.
     */
    public static final String RECORDING_DIRECTORY_VARIABLE = "MERLINLEVER_DISK_RECORD";

    private StateDirectories() {}

    /** Opens and locks the directory; the caller closes it. */
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
