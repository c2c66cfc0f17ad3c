package merlinlever.host.run;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Keeps the logs of instances short, while the instances append to them. */
final class LogRotation {

    private LogRotation() {}

    /**
     * Copies a log over its size limit to one older part and truncates it. The process appends at the end of the file
     * wherever that is, so it need not know. A failure is ignored: the caller tries again soon.
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
            // Tried again with the next poll.
        }
    }
}
