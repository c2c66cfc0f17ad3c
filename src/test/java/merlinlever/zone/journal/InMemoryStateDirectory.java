package merlinlever.zone.journal;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import merlinlever.storage.StateDirectory;

/** A folder in memory that remembers what was forced, and loses of the rest what a kill loses. */
final class InMemoryStateDirectory implements StateDirectory {

    private static final class Content {
        byte[] octets = {};
        int forced;
    }

    private final TreeMap<String, Content> files = new TreeMap<>();
    /** Octets that still fit on the disk. */
    long room = Long.MAX_VALUE;

    /** What is left after the machine went down: of each file what was forced, and so much more of it as is said. */
    InMemoryStateDirectory after(int unforcedKept) {
        InMemoryStateDirectory left = new InMemoryStateDirectory();
        files.forEach((name, content) -> {
            Content kept = new Content();
            kept.octets = Arrays.copyOf(content.octets, Math.min(content.octets.length, content.forced + unforcedKept));
            kept.forced = kept.octets.length;
            left.files.put(name, kept);
        });
        return left;
    }

    int unforced() {
        return files.values().stream()
                .mapToInt(content -> content.octets.length - content.forced)
                .max()
                .orElse(0);
    }

    void put(String name, byte[] octets) {
        Content content = new Content();
        content.octets = octets;
        content.forced = octets.length;
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
        return files.get(name).octets.clone();
    }

    @Override
    public AppendableFile openForAppend(String name) {
        Content content = files.computeIfAbsent(name, n -> new Content());
        return new AppendableFile() {
            @Override
            public long length() {
                return content.octets.length;
            }

            @Override
            public void write(ByteBuffer octets) throws IOException {
                int fits = (int) Math.min(room, octets.remaining());
                int from = content.octets.length;
                content.octets = Arrays.copyOf(content.octets, from + fits);
                boolean full = fits < octets.remaining();
                octets.get(content.octets, from, fits);
                room -= fits;
                if (full) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            public void sync() {
                content.forced = content.octets.length;
            }

            @Override
            public void truncate(long length) {
                room += content.octets.length - length;
                content.octets = Arrays.copyOf(content.octets, (int) length);
                content.forced = (int) length;
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
