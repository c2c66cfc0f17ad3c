package merlinlever.common.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * A state directory in the file system, locked by a lock file until the directory is closed. Subdirectories are
 * ignored.
 */
public final class FileStateDirectory implements StateDirectory {

    /** Thrown if the directory is locked by another process, or by another instance in this process. */
    public static final class DirectoryInUseException extends IOException {
        private static final long serialVersionUID = 1;

        DirectoryInUseException(Path directory) {
            super("the state folder " + directory + " is in use by another process");
        }
    }

    private static final String LOCK_FILE = "lock";
    /** The largest file that fits into an array. */
    private static final long MAX_FILE_BYTES = Integer.MAX_VALUE - 16;

    private final Path directory;
    private final FileChannel lockFile;

    /**
     * Creates the directory if it does not exist, and locks the directory.
     *
     * @throws DirectoryInUseException if the directory is already locked
     */
    public FileStateDirectory(Path directory) throws IOException {
        this.directory = directory;
        Files.createDirectories(directory);
        lockFile = FileChannel.open(directory.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (!tryLock(lockFile)) {
            lockFile.close();
            throw new DirectoryInUseException(directory);
        }
    }

    private static boolean tryLock(FileChannel channel) throws IOException {
        try {
            FileLock lock = channel.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            // Another instance in this process holds the lock.
            return false;
        }
    }

    @Override
    public List<String> fileNames() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_FILE))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        Path file = directory.resolve(name);
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(name + " is over 2 GiB");
        }
        return Files.readAllBytes(file);
    }

    @Override
    public AppendableFile openForAppend(String name) throws IOException {
        FileChannel channel =
                FileChannel.open(directory.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        long initialLength = channel.size();
        channel.position(initialLength);
        return new ChannelFile(channel, initialLength);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                directory.resolve(from),
                directory.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        sync();
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    @Override
    public void sync() throws IOException {
        try (FileChannel handle = FileChannel.open(directory, StandardOpenOption.READ)) {
            handle.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lockFile.close();
    }

    private static final class ChannelFile implements AppendableFile {
        private final FileChannel channel;
        private long length;

        ChannelFile(FileChannel channel, long length) {
            this.channel = channel;
            this.length = length;
        }

        @Override
        public long length() {
            return length;
        }

        @Override
        public void write(ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                length += channel.write(bytes);
            }
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public void truncate(long newLength) throws IOException {
            channel.truncate(newLength);
            channel.position(newLength);
            channel.force(true);
            length = newLength;
        }

        @Override
        public void close() {
            try {
                channel.close();
            } catch (IOException e) {
                // A failure to close does not affect bytes that were synced.
            }
        }
    }
}
