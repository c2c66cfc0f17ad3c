package merlinlever.storage;

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
 * A folder that tells what passes through it, one line an operation, for the fault harness to make the states that a
 * power loss may leave. A write is told before it is made, so that all that may be on the disk is in the record; a force,
 * a truncation and a rename after they returned, so that only what was proved is held forced. The files that were there
 * at the start are told whole, as forced.
 *
 * <p>Lines: {@code folder PATH FILES} at each start, {@code had NAME BASE64} for each of so many files, {@code open NAME}, {@code write NAME OFFSET BASE64}, {@code force NAME},
 * {@code truncate NAME LENGTH}, {@code rename FROM TO}, {@code delete NAME}, {@code sync}.
 */
public final class RecordingStateDirectory implements StateDirectory {

    /** Where the lines go; a line ends with a newline of its own. */
    public interface OperationLog extends Closeable {
        void line(String text) throws IOException;

        @Override
        void close();

        /** Added to a file, never forced: a kill keeps it, and a power loss is what the harness plays itself. */
        static OperationLog to(Path file) throws IOException {
            FileChannel channel = FileChannel.open(
                    file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
            return new OperationLog() {
                @Override
                public synchronized void line(String text) throws IOException {
                    ByteBuffer octets = ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.US_ASCII));
                    while (octets.hasRemaining()) {
                        channel.write(octets);
                    }
                }

                @Override
                public void close() {
                    try {
                        channel.close();
                    } catch (IOException e) {
                        // Nothing is owed to a record once its folder is closed.
                    }
                }
            };
        }
    }

    private static final Base64.Encoder BASE64 = Base64.getEncoder();

    private final StateDirectory inner;
    private final OperationLog record;

    /** @param path of the folder, told at the start of the record; the harness lays its states there */
    public RecordingStateDirectory(StateDirectory inner, OperationLog record, String path) throws IOException {
        this.inner = inner;
        this.record = record;
        List<String> there = inner.names();
        record.line("folder " + path.replace(' ', '_') + " " + there.size());
        for (String name : there) {
            record.line("had " + name + " " + BASE64.encodeToString(inner.read(name)));
        }
    }

    @Override
    public List<String> names() throws IOException {
        return inner.names();
    }

    @Override
    public byte[] read(String name) throws IOException {
        return inner.read(name);
    }

    @Override
    public AppendableFile append(String name) throws IOException {
        record.line("open " + name);
        AppendableFile out = inner.append(name);
        return new AppendableFile() {
            @Override
            public long length() {
                return out.length();
            }

            @Override
            public void write(ByteBuffer octets) throws IOException {
                ByteBuffer copy = octets.duplicate();
                byte[] bytes = new byte[copy.remaining()];
                copy.get(bytes);
                record.line("write " + name + " " + out.length() + " " + BASE64.encodeToString(bytes));
                out.write(octets);
            }

            @Override
            public void force() throws IOException {
                out.force();
                record.line("force " + name);
            }

            @Override
            public void truncate(long length) throws IOException {
                out.truncate(length);
                record.line("truncate " + name + " " + length);
            }

            @Override
            public void close() {
                out.close();
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        inner.rename(from, to);
        record.line("rename " + from + " " + to);
    }

    @Override
    public void delete(String name) throws IOException {
        record.line("delete " + name);
        inner.delete(name);
    }

    @Override
    public void force() throws IOException {
        inner.force();
        record.line("sync");
    }

    @Override
    public void close() throws IOException {
        record.close();
        inner.close();
    }
}
