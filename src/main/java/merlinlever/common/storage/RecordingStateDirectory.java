package merlinlever.common.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Base64;
import java.util.List;

/**
 * Records every operation on a state directory as one line, so that the fault harness can reconstruct the states that a
 * power loss may leave. An operation that may reach the disk without a sync (open, write, delete) is recorded before
 * its execution; an operation that guarantees durability (sync, truncation, rename) is recorded after it has returned.
 * Files that exist at the start are recorded with their content and count as synced.
 *
 * <p>Lines: at each start {@code folder PATH FILES}, followed by {@code had NAME BASE64} for each of the FILES existing
 * files; then {@code open NAME}, {@code write NAME OFFSET BASE64}, {@code force NAME}, {@code truncate NAME LENGTH},
 * {@code rename FROM TO}, {@code delete NAME} and {@code sync} (of the directory).
 */
public final class RecordingStateDirectory implements StateDirectory {

    /** Receives the recorded lines. */
    public interface OperationLog extends Closeable {

        /** Appends a line; {@code line} does not include the terminating newline. */
        void append(String line) throws IOException;

        @Override
        void close();

        /** Opens a log file without syncs: the log has to survive only the process, as power losses are simulated. */
        static OperationLog appendingTo(Path file) throws IOException {
            return new FileOperationLog(file);
        }
    }

    private static final class FileOperationLog implements OperationLog {
        private final FileChannel channel;

        FileOperationLog(Path file) throws IOException {
            channel = FileChannel.open(
                    file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
        }

        @Override
        public synchronized void append(String line) throws IOException {
            ByteBuffer bytes = ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.US_ASCII));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        @Override
        public void close() {
            try {
                channel.close();
            } catch (IOException e) {
                // All lines have been written; nothing depends on the handle.
            }
        }
    }

    private static final Base64.Encoder BASE64 = Base64.getEncoder();

    private final StateDirectory delegate;
    private final OperationLog operations;

    /**
     * Records the start line and the content of all existing files.
     *
     * @param path path of the directory in the recording; spaces are replaced by underscores
     */
    public RecordingStateDirectory(StateDirectory delegate, OperationLog operations, String path) throws IOException {
        this.delegate = delegate;
        this.operations = operations;
        List<String> existing = delegate.fileNames();
        operations.append("folder " + path.replace(' ', '_') + " " + existing.size());
        for (String name : existing) {
            operations.append("had " + name + " " + BASE64.encodeToString(delegate.read(name)));
        }
    }

    @Override
    public List<String> fileNames() throws IOException {
        return delegate.fileNames();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return delegate.read(name);
    }

    @Override
    public AppendableFile openForAppend(String name) throws IOException {
        operations.append("open " + name);
        return new RecordingFile(name, delegate.openForAppend(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        delegate.rename(from, to);
        operations.append("rename " + from + " " + to);
    }

    @Override
    public void delete(String name) throws IOException {
        operations.append("delete " + name);
        delegate.delete(name);
    }

    @Override
    public void sync() throws IOException {
        delegate.sync();
        operations.append("sync");
    }

    @Override
    public void close() throws IOException {
        operations.close();
        delegate.close();
    }

    private final class RecordingFile implements AppendableFile {
        private final String name;
        private final AppendableFile file;

        RecordingFile(String name, AppendableFile file) {
            this.name = name;
            this.file = file;
        }

        @Override
        public long length() {
            return file.length();
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            byte[] copy = new byte[bytes.remaining()];
            bytes.duplicate().get(copy);
            operations.append("write " + name + " " + file.length() + " " + BASE64.encodeToString(copy));
            file.write(bytes);
        }

        @Override
        public void sync() throws IOException {
            file.sync();
            operations.append("force " + name);
        }

        @Override
        public void truncate(long length) throws IOException {
            file.truncate(length);
            operations.append("truncate " + name + " " + length);
        }

        @Override
        public void close() {
            file.close();
        }
    }
}
