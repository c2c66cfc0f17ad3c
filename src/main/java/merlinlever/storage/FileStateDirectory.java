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
    private static final long MOST = Integer.MAX_VALUE - 16;

    private final Path path;
    private final FileChannel lockFile;

    public FileStateDirectory(Path path) throws IOException {
        this.path = path;
        Files.createDirectories(path);
        lockFile = FileChannel.open(path.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            lockFile.close();
            throw new IOException("the state folder " + path + " is in use by another process");
        }
    }

    @Override
    public List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(path)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals("lock"))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        if (Files.size(path.resolve(name)) > MOST) {
            throw new IOException(name + " is over 2 GiB");
        }
        return Files.readAllBytes(path.resolve(name));
    }

    @Override
    public AppendableFile append(String name) throws IOException {
        FileChannel channel = FileChannel.open(path.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        long end = channel.size();
        channel.position(end);
        return new AppendableFile() {
            private long length = end;

            @Override
            public long length() {
                return length;
            }

            @Override
            public void write(ByteBuffer octets) throws IOException {
                while (octets.hasRemaining()) {
                    length += channel.write(octets);
                }
            }

            @Override
            public void force() throws IOException {
                channel.force(false);
            }

            @Override
            public void truncate(long to) throws IOException {
                channel.truncate(to);
                channel.position(to);
                channel.force(true);
                length = to;
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
    public void rename(String from, String to) throws IOException {
        Files.move(
                path.resolve(from),
                path.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        force();
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(path.resolve(name));
    }

    @Override
    public void force() throws IOException {
        try (FileChannel folder = FileChannel.open(path, StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        lockFile.close();
    }
}
