package merlinlever.testing.faults.process;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Allocates ports for processes that are started later. Each port is allocated once in the life of this process, and to no
 * other process that allocates ports meanwhile: each has a byte in a file that all share, which is locked until the process
 * ends. A port that another program uses is noticed as it cannot be bound. Thread-safe.
 */
public final class PortAllocator {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Below the ephemeral ports, so that no outgoing connection takes a port before the process listens at it. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORTS = 18_000;
    private static final int MAX_ROW = 1000;
    /** Spreads processes with successive ids over the ports. */
    private static final int PORTS_PER_PROCESS = 397;

    /** Where the search goes on, counted from the first port. */
    private static int next = (int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORTS);
    /** The shared file; never closed, as that would release the locks. Null before the first allocation. */
    private static FileChannel lockFile;
    /** Kept until the process ends; at most one for each port. */
    private static final List<FileLock> LOCKS = new ArrayList<>();

    private PortAllocator() {}

    /** Sets where the search goes on, for a test of two processes that search from the same port on. */
    static synchronized void from(int offset) {
        next = offset % PORTS;
    }

    /** A port at which nothing listens, over TCP or UDP. */
    public static int free() throws IOException {
        return free(1);
    }

    /**
     * The first of so many such ports in a row.
     *
     * @param count 1 to {@value #MAX_ROW}
     */
    public static synchronized int free(int count) throws IOException {
        if (count < 1 || count > MAX_ROW) {
            throw new IllegalArgumentException("1 to 1000 ports, not " + count);
        }
        openLockFile();
        for (int attempts = 0; attempts < PORTS; attempts++) {
            int first = FIRST_PORT + (next % PORTS + count <= PORTS ? next % PORTS : 0);
            if (lockRow(first, count)) {
                return first;
            }
        }
        throw new IOException("no " + count + " ports in a row are free");
    }

    private static void openLockFile() throws IOException {
        if (lockFile == null) {
            Path file = Path.of(System.getProperty("java.io.tmpdir"))
                    .resolve("merlinlever-ports-" + System.getProperty("user.name"));
            lockFile = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        }
    }

    /** Locks the ports if all of them are free; else the search goes on behind the first that is not. */
    private static boolean lockRow(int first, int count) throws IOException {
        List<FileLock> locks = new ArrayList<>();
        for (int port = first; port < first + count; port++) {
            next = port - FIRST_PORT + 1;
            Optional<FileLock> lock = tryLock(port);
            lock.ifPresent(locks::add);
            if (lock.isEmpty() || !isBindable(port)) {
                releaseAll(locks);
                return false;
            }
        }
        LOCKS.addAll(locks);
        return true;
    }

    private static void releaseAll(List<FileLock> locks) throws IOException {
        for (FileLock lock : locks) {
            lock.release();
        }
    }

    private static boolean isBindable(int port) {
        try (ServerSocket tcp = new ServerSocket(port, 1, LOOPBACK);
                DatagramSocket udp = new DatagramSocket(port, LOOPBACK)) {
            return tcp.isBound() && udp.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private static Optional<FileLock> tryLock(int port) throws IOException {
        try {
            return Optional.ofNullable(lockFile.tryLock(port, 1, false));
        } catch (OverlappingFileLockException e) {
            return Optional.empty();
        }
    }
}
