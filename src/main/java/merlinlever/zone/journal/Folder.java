package merlinlever.zone.journal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** The folder that state lies in, as narrow as the journal needs it. */
public interface Folder {

    /** A file that is written at its end. */
    interface Out extends Closeable {
        long length();

        /** Adds to the end; after a failure it is not known how much got there. */
        void write(ByteBuffer octets) throws IOException;

        /** Returns when what was written is on the disk. */
        void force() throws IOException;

        void truncate(long length) throws IOException;

        @Override void close();
    }

    /** In the order of their names. */
    List<String> names() throws IOException;

    byte[] read(String name) throws IOException;

    /** Opens for adding; makes the file where there is none. */
    Out append(String name) throws IOException;

    /** In one step, over a file of that name too, and forced. */
    void rename(String from, String to) throws IOException;

    void delete(String name) throws IOException;

    /** Which files there are is on the disk. */
    void force() throws IOException;
}
