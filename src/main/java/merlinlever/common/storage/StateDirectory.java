package merlinlever.common.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A flat directory of state files. Only synced data is certain to survive a power loss; the fault harness records the
 * operations on this interface and reconstructs every state that a power loss may leave. Not thread-safe.
 */
public interface StateDirectory extends Closeable {

    /** A file that is only written at its end. */
    interface AppendableFile extends Closeable {

        /** Returns the length of the file in bytes, including bytes that are not yet synced. */
        long length();

        /** Appends all remaining bytes; after an exception, any number of them may have been written. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns once all written bytes are on disk. */
        void sync() throws IOException;

        /** Truncates the file to the given length and syncs the file; further writes append at the new end. */
        void truncate(long length) throws IOException;

        /** Closes the file without a sync; never fails. */
        @Override
        void close();
    }

    /** Returns the sorted names of all files. */
    List<String> fileNames() throws IOException;

    /** Returns the content of a file. */
    byte[] read(String name) throws IOException;

    /** Opens a file for appending, and creates the file if it does not exist. */
    AppendableFile openForAppend(String name) throws IOException;

    /** Renames a file atomically, replacing any file with the new name, and syncs the directory. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. The deletion is durable after {@link #sync}. */
    void delete(String name) throws IOException;

    /** Returns once the list of files, but not necessarily their content, is on disk. */
    void sync() throws IOException;

    /**
     * Replaces the content of a file atomically: writes the new content to a temporary file, syncs the file and renames
     * it to the given name. After a power loss the file has either the old or the new content. After an exception the
     * file has its old content, unless only the sync after the rename failed.
     */
    default void replace(String name, byte[] bytes) throws IOException {
        String temporary = name + ".new";
        try (AppendableFile file = openForAppend(temporary)) {
            // A failed attempt may have left bytes in the temporary file.
            file.truncate(0);
            file.write(ByteBuffer.wrap(bytes));
            file.sync();
        }
        rename(temporary, name);
    }

    /** Releases the directory, so that another process can open it. */
    @Override
    default void close() throws IOException {}

    /** Returns whether a file with the given name exists. */
    default boolean exists(String name) throws IOException {
        return fileNames().contains(name);
    }
}
