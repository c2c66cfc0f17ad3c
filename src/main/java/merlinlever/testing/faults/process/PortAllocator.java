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
 * Allocates ports for processes that start later. A port is allocated only once, also across concurrent processes that use
 * this class: each port corresponds to a byte of a shared file, and the allocating process locks the byte until it exits.
 * Ports in use by other programs are skipped, because binding them fails. Thread-safe.
 */
public final class PortAllocator {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    /** Below the ephemeral range, whose ports outgoing connections might take before the process listens on them. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORTS = 18_000;
    private static final int MAX_CONSECUTIVE = 1000;
    /** Spreads the search starts of processes with successive ids. */
    private static final int PORTS_PER_PROCESS = 397;

    /** Offset from the first port at which the next search starts. */
    private static int next = (int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORTS);
    /** The shared file; never closed, because closing would release the locks. Null before the first allocation. */
    private static FileChannel lockFile;
    /** Locks held until the process exits, at most one for each port. */
    private static final List<FileLock> LOCKS = new ArrayList<>();

    private PortAllocator() {}

    /** Sets the offset of the next search, for tests of concurrent processes. */
    static synchronized void startSearchAt(int offset) {
        next = offset % PORTS;
    }

    /** Allocates one port that is free for TCP and UDP. */
    public static int free() throws IOException {
        return free(1);
    }

    /**
     * Allocates consecutive ports that are free for TCP and UDP, and returns the first.
     *
     * @param count number of ports, 1 to {@value #MAX_CONSECUTIVE}
     */
    public static synchronized int free(int count) throws IOException {
        if (count < 1 || count > MAX_CONSECUTIVE) {
            throw new IllegalArgumentException("count must be from 1 to 1000, not " + count);
        }
        openLockFile();
        for (int attempts = 0; attempts < PORTS; attempts++) {
            int first = FIRST_PORT + (next % PORTS + count <= PORTS ? next % PORTS : 0);
            if (lockConsecutive(first, count)) {
                return first;
            }
        }
        throw new IOException("found no " + count + " consecutive free ports");
    }

    private static void openLockFile() throws IOException {
        if (lockFile == null) {
            Path file = Path.of(System.getProperty("java.io.tmpdir"))
                    .resolve("merlinlever-ports-" + System.getProperty("user.name"));
            lockFile = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        }
    }

    /** Locks the ports if all are free; otherwise the next search starts after the first port that is not free. */
    private static boolean lockConsecutive(int first, int count) throws IOException {
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
