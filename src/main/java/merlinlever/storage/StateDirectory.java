package merlinlever.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The folder that state lies in: the one seam through which the program's lasting writes go. What a power loss may leave
 * of it is what was forced; the fault harness records what passes here and makes those states.
 */
public interface StateDirectory extends Closeable {

    /** A file that is written at its end. */
    interface AppendableFile extends Closeable {
        long length();

        /** Adds to the end; after a failure it is not known how much got there. */
        void write(ByteBuffer octets) throws IOException;

        /** Returns when what was written is on the disk. */
        void force() throws IOException;

        void truncate(long length) throws IOException;

        @Override
        void close();
    }

    /** In the order of their names. */
    List<String> names() throws IOException;

    byte[] read(String name) throws IOException;

    /** Opens for adding; makes the file where there is none. */
    AppendableFile append(String name) throws IOException;

    /** In one step, over a file of that name too, and forced. */
    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;

    /** Which files there are is on the disk. */
    void force() throws IOException;

    /**
     * Replaces the file whole: the new octets are written aside and forced, then renamed over it, so that after a power
     * loss there is the one or the other, never a part. After a failure the old file stands.
     */
    default void replace(String name, byte[] octets) throws IOException {
        String aside = name + ".new";
        try (AppendableFile out = append(aside)) {
            // What an earlier try left aside is written over; something else in its place stops the note.
            out.truncate(0);
            out.write(ByteBuffer.wrap(octets));
            out.force();
        }
        rename(aside, name);
    }

    /** Lets the folder go; one on disk is then free for another process. */
    @Override
    default void close() throws IOException {}

    /** Whether there is a file of that name. */
    default boolean has(String name) throws IOException {
        return names().contains(name);
    }
}
