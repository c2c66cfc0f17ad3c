package merlinlever.dns.journal;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import merlinlever.common.storage.StateDirectory;

/** A state directory in memory that knows what was synced, and loses the rest in a simulated power loss. */
final class InMemoryStateDirectory implements StateDirectory {

    private static final class Content {
        byte[] bytes = {};
        int syncedLength;
    }

    private final TreeMap<String, Content> files = new TreeMap<>();
    /** Bytes that still fit on the disk. */
    long room = Long.MAX_VALUE;

    /** What a power loss leaves: of each file the synced bytes, and so many of the others. */
    InMemoryStateDirectory after(int unsyncedBytesKept) {
        InMemoryStateDirectory left = new InMemoryStateDirectory();
        files.forEach((name, content) -> {
            Content kept = new Content();
            kept.bytes = Arrays.copyOf(
                    content.bytes, Math.min(content.bytes.length, content.syncedLength + unsyncedBytesKept));
            kept.syncedLength = kept.bytes.length;
            left.files.put(name, kept);
        });
        return left;
    }

    int unforced() {
        return files.values().stream()
                .mapToInt(content -> content.bytes.length - content.syncedLength)
                .max()
                .orElse(0);
    }

    void put(String name, byte[] bytes) {
        Content content = new Content();
        content.bytes = bytes;
        content.syncedLength = bytes.length;
        files.put(name, content);
    }

    @Override
    public List<String> fileNames() {
        return new ArrayList<>(files.keySet());
    }

    @Override
    public byte[] read(String name) throws IOException {
        if (!files.containsKey(name)) {
            throw new FileNotFoundException(name);
        }
        return files.get(name).bytes.clone();
    }

    @Override
    public AppendableFile openForAppend(String name) {
        Content content = files.computeIfAbsent(name, n -> new Content());
        return new AppendableFile() {
            @Override
            public long length() {
                return content.bytes.length;
            }

            @Override
            public void write(ByteBuffer bytes) throws IOException {
                int fits = (int) Math.min(room, bytes.remaining());
                int from = content.bytes.length;
                content.bytes = Arrays.copyOf(content.bytes, from + fits);
                boolean full = fits < bytes.remaining();
                bytes.get(content.bytes, from, fits);
                room -= fits;
                if (full) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            public void sync() {
                content.syncedLength = content.bytes.length;
            }

            @Override
            public void truncate(long length) {
                room += content.bytes.length - length;
                content.bytes = Arrays.copyOf(content.bytes, (int) length);
                content.syncedLength = (int) length;
            }

            @Override
            public void close() {}
        };
    }

    @Override
    public void rename(String from, String to) {
        files.put(to, files.remove(from));
    }

    @Override
    public void delete(String name) {
        files.remove(name);
    }

    @Override
    public void sync() {}
}
