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

/**
 * Ports for processes that are started later: each is given out once in the life of this process, and to no other process
 * that asks here meanwhile, as for each a byte of a file that all share is locked; the system lets go of the locks with
 * the process. Other users of the machine are seen by whether the port can be bound now.
 */
public final class PortAllocator {

    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    /** Below those that the system gives to connections, so that none of these takes one before the process listens there. */
    private static final int LOWEST = 12_000, PORTS = 18_000;

    private static int next = (int) (ProcessHandle.current().pid() * 397 % PORTS);
    /** Never closed: the locks end with the process, or with the first closing of the file. */
    private static FileChannel claims;
    /** Kept, as a lock that is let go of is no claim; not more than there are ports. */
    private static final List<FileLock> CLAIMED = new ArrayList<>();

    private PortAllocator() {}

    /** Where the search goes on; two that start at the same place are told apart by their claims alone. */
    static synchronized void from(int place) {
        next = place % PORTS;
    }

    /** A port that nothing listens at, neither for streams nor for datagrams. */
    public static int free() throws IOException {
        return free(1);
    }

    /** The first of so many such ports in a row, 1000 at the most. */
    public static synchronized int free(int count) throws IOException {
        if (count < 1 || count > 1000) {
            throw new IllegalArgumentException("1 to 1000 ports, not " + count);
        }
        if (claims == null) {
            Path file = Path.of(System.getProperty("java.io.tmpdir"))
                    .resolve("merlinlever-ports-" + System.getProperty("user.name"));
            claims = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        }
        for (int tries = 0; tries < PORTS; tries++) {
            int first = next % PORTS + count <= PORTS ? LOWEST + next % PORTS : LOWEST;
            List<FileLock> claimed = new ArrayList<>();
            while (claimed.size() < count) {
                next = first - LOWEST + claimed.size() + 1;
                FileLock claim = claim(first + claimed.size());
                if (claim == null) {
                    break;
                }
                claimed.add(claim);
                if (!bindable(first + claimed.size() - 1)) {
                    break;
                }
            }
            if (claimed.size() == count && bindable(first + count - 1)) {
                CLAIMED.addAll(claimed);
                return first;
            }
            for (FileLock claim : claimed) {
                claim.release();
            }
        }
        throw new IOException("no " + count + " ports in a row are free");
    }

    private static boolean bindable(int port) {
        try (ServerSocket tcp = new ServerSocket(port, 1, HERE);
                DatagramSocket udp = new DatagramSocket(port, HERE)) {
            return tcp.isBound() && udp.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private static FileLock claim(int port) throws IOException {
        try {
            return claims.tryLock(port, 1, false);
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }
}
