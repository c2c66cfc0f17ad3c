package merlinlever.common.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.testing.faults.process.PortAllocator;
import org.junit.jupiter.api.Test;

class ConnectionTest {

    private final List<Throwable> failures = new ArrayList<>();

    /** Records the close of a connection and stops the loop. */
    private static final class CloseRecorder implements Connection.Handler {
        final List<CloseReason> closeReasons = new ArrayList<>();
        private final EventLoop loop;
        private final boolean failsOnRead;

        CloseRecorder(EventLoop loop, boolean failsOnRead) {
            this.loop = loop;
            this.failsOnRead = failsOnRead;
        }

        @Override
        public void onReceived(ByteBuffer in) {
            if (failsOnRead) {
                throw new IllegalStateException("on purpose");
            }
            in.position(in.limit());
        }

        @Override
        public void onClosed(CloseReason how) {
            closeReasons.add(how);
            loop.stop();
        }
    }

    private EventLoop loop() throws IOException {
        return new EventLoop(MonotonicClock.system(), failures::add);
    }

    private CloseRecorder connectTo(int port, EventLoop loop, boolean fails) throws IOException {
        CloseRecorder ends = new CloseRecorder(loop, fails);
        Connection.connect(loop, new InetSocketAddress("127.0.0.1", port), ends, 64, 1024, Duration.ofSeconds(5));
        loop.run();
        return ends;
    }

    @Test
    void aConnectionClosesOnceWithTheMatchingReason() throws IOException {
        // A port that no other process of these tests listens at.
        int closed = PortAllocator.free();
        CloseRecorder refused = connectTo(closed, loop(), false);
        assertEquals(List.of(CloseReason.CONNECT_FAILED), refused.closeReasons);
        assertTrue(!CloseReason.CONNECT_FAILED.wasEstablished()
                && CloseReason.IO_FAILURE.wasEstablished()
                && CloseReason.CLOSED_BY_PEER.wasEstablished());
        for (boolean fails : new boolean[] {false, true}) {
            try (ServerSocket server = new ServerSocket(0)) {
                Thread other = new Thread(() -> {
                    try (Socket socket = server.accept()) {
                        socket.getOutputStream().write(1);
                    } catch (IOException e) {
                        failures.add(e);
                    }
                });
                other.start();
                CloseRecorder ends = connectTo(server.getLocalPort(), loop(), fails);
                assertEquals(
                        List.of(fails ? CloseReason.HANDLER_FAILED : CloseReason.CLOSED_BY_PEER), ends.closeReasons);
                assertEquals(fails ? 1 : 0, failures.size());
            }
        }
    }

    /**
     * An in-memory connection carries bytes both ways, in pieces where the buffer is small, and closes at both ends.
     */
    @Test
    void anInMemoryConnectionCarriesBytesBothWaysAndClosesAtBothEnds() {
        StringBuilder there = new StringBuilder();
        List<CloseReason> ends = new ArrayList<>();
        Connection.InMemoryPeer party = new Connection.InMemoryPeer() {
            private Connection mine;

            @Override
            public void attach(Connection connection) {
                mine = connection;
            }

            @Override
            public void onReceived(ByteBuffer in) {
                while (in.hasRemaining()) {
                    there.append((char) in.get());
                }
                if (there.length() == 26) {
                    mine.write(ByteBuffer.wrap(new byte[] {1, 2}), ByteBuffer.wrap(new byte[] {3}));
                }
            }

            @Override
            public void onClosed(CloseReason how) {
                ends.add(how);
            }
        };
        EventLoop loop = new EventLoop(MonotonicClock.system(), failures::add, address -> party);
        ByteBuffer heard = ByteBuffer.allocate(3);
        Connection here = Connection.inMemory(
                loop,
                new Connection.Handler() {
                    @Override
                    public void onReceived(ByteBuffer in) {
                        heard.put(in);
                    }

                    @Override
                    public void onClosed(CloseReason how) {
                        ends.add(how);
                    }
                },
                party,
                4,
                100);
        byte[] alphabet = "abcdefghijklmnopqrstuvwxyz".getBytes(StandardCharsets.US_ASCII);
        loop.execute(() -> here.write(ByteBuffer.wrap(alphabet)));
        loop.setAfterBatch(() -> {
            if (!heard.hasRemaining()) {
                here.close(CloseReason.IDLE);
                loop.execute(loop::stop);
            }
        });
        loop.run();
        assertEquals("abcdefghijklmnopqrstuvwxyz", there.toString());
        assertEquals(List.of(CloseReason.IDLE, CloseReason.CLOSED_BY_PEER), ends);
        assertEquals(List.of(), failures);
    }

    /** The bytes that the peer does not read are bounded. */
    @Test
    void exceedingTheWriteQueueLimitClosesTheConnection() throws IOException {
        try (ServerSocket server = new ServerSocket(0)) {
            EventLoop loop = loop();
            CloseRecorder ends = new CloseRecorder(loop, false);
            Connection connection =
                    Connection.connect(loop, server.getLocalSocketAddress(), ends, 64, 1024, Duration.ofSeconds(5));
            loop.execute(() -> connection.write(ByteBuffer.allocate(1000), ByteBuffer.allocate(30)));
            loop.run();
            assertEquals(List.of(CloseReason.WRITE_QUEUE_FULL), ends.closeReasons);
        }
    }
}
