package merlinlever.host.run;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Limits the size of the logs of running instances. */
final class LogRotation {

    private LogRotation() {}

    /**
     * Copies a log that exceeds its size limit to the file with the suffix {@code .1} and truncates the log. The
     * process writes in append mode and needs no notification. Errors are ignored because the next poll repeats the
     * rotation.
     */
    static void rotateIfTooLong(InstanceSpec instance) {
        Path file = instance.logFile();
        try {
            if (Files.exists(file) && Files.size(file) > instance.maxLogBytes()) {
                Path olderPart = file.resolveSibling(file.getFileName() + ".1");
                Files.copy(file, olderPart, StandardCopyOption.REPLACE_EXISTING);
                try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
                    channel.truncate(0);
                }
            }
        } catch (IOException e) {
            // The next poll repeats the rotation.
        }
    }
}
