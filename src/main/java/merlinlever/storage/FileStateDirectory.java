package merlinlever.storage;

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

/** A folder on disk, held by one process at a time; its files alone, not the folders in it. */
public final class FileStateDirectory implements StateDirectory {

    /** Octets of one file that are read at the most. */
    private static final long MAX_FILE_BYTES = Integer.MAX_VALUE - 16;

    private final Path directory;
    private final FileChannel lockFile;

    public FileStateDirectory(Path directory) throws IOException {
        this.directory = directory;
        Files.createDirectories(directory);
        lockFile = FileChannel.open(directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            lockFile.close();
            throw new IOException("the state folder " + directory + " is in use by another process");
        }
    }

    @Override
    public List<String> fileNames() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals("lock"))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        if (Files.size(directory.resolve(name)) > MAX_FILE_BYTES) {
            throw new IOException(name + " is over 2 GiB");
        }
        return Files.readAllBytes(directory.resolve(name));
    }

    @Override
    public AppendableFile openForAppend(String name) throws IOException {
        FileChannel channel = FileChannel.open(directory.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        long initialLength = channel.size();
        channel.position(initialLength);
        return new AppendableFile() {
            private long length = initialLength;

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
                    // What counted was forced before.
                }
            }
        };
    }

    @Override
    public void rename(String from, String newLength) throws IOException {
        Files.move(
                directory.resolve(from),
                directory.resolve(newLength),
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
}
