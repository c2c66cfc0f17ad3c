package merlinlever.common.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A flat directory of state files. After a power loss only what was synced is certain to be there; the fault harness records the
 * operations on this interface and reconstructs every state that a power loss may leave. Not thread-safe: one thread at a time.
 */
public interface StateDirectory extends Closeable {

    /** A file that is written at its end only. */
    interface AppendableFile extends Closeable {

        /** Bytes of the file, those that are not synced yet included. */
        long length();

        /** Appends all remaining bytes; after an exception it is unknown how many of them were written. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns once everything written so far is on the disk. */
        void sync() throws IOException;

        /** Cuts the file down to that many bytes and syncs it; further writes go to the new end. */
        void truncate(long length) throws IOException;

        /** Never fails: what matters was synced before. */
        @Override
        void close();
    }

    /** The names of all files, sorted. */
    List<String> fileNames() throws IOException;

    /** The whole content of a file. */
    byte[] read(String name) throws IOException;

    /** Opens a file for appending and creates it if there is none. */
    AppendableFile openForAppend(String name) throws IOException;

    /** Renames atomically, replacing a file of the new name, and syncs the directory. */
    void rename(String from, String to) throws IOException;

    /** Removes a file; does nothing if there is none. The removal is durable after {@link #sync}. */
    void delete(String name) throws IOException;

    /** Returns once the list of files (not their content) is on the disk. */
    void sync() throws IOException;

    /**
     * Replaces a whole file: the new content is written to a temporary file, synced and renamed over the old one, so that after a power
     * loss there is either the old or the new content, never a mixture. After an exception the old file is still there.
     */
    default void replace(String name, byte[] bytes) throws IOException {
        String temporary = name + ".new";
        try (AppendableFile file = openForAppend(temporary)) {
            // An earlier attempt that failed may have left its bytes here.
            file.truncate(0);
            file.write(ByteBuffer.wrap(bytes));
            file.sync();
        }
        rename(temporary, name);
    }

    /** Releases the directory; one on disk can then be opened by another process. */
    @Override
    default void close() throws IOException {}

    /** Whether there is a file of that name. */
    default boolean exists(String name) throws IOException {
        return fileNames().contains(name);
    }
}
