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

    /** Records the reasons for closing, and stops the loop when the connection is closed. */
    private static final class CloseRecorder implements Connection.Handler {
        final List<CloseReason> closeReasons = new ArrayList<>();
        private final EventLoop loop;
        private final boolean throwsOnRead;

        CloseRecorder(EventLoop loop, boolean throwsOnRead) {
            this.loop = loop;
            this.throwsOnRead = throwsOnRead;
        }

        @Override
        public void onReceived(ByteBuffer input) {
            if (throwsOnRead) {
                throw new IllegalStateException("thrown by the test");
            }
            input.position(input.limit());
        }

        @Override
        public void onClosed(CloseReason reason) {
            closeReasons.add(reason);
            loop.stop();
        }
    }

    private EventLoop loop() throws IOException {
        return new EventLoop(MonotonicClock.system(), failures::add);
    }

    private CloseRecorder connectTo(int port, EventLoop loop, boolean throwsOnRead) throws IOException {
        CloseRecorder recorder = new CloseRecorder(loop, throwsOnRead);
        Connection.connect(loop, new InetSocketAddress("127.0.0.1", port), recorder, 64, 1024, Duration.ofSeconds(5));
        loop.run();
        return recorder;
    }

    @Test
    void aConnectionIsClosedOnceWithTheMatchingReason() throws IOException {
        // A free port, which no other test process uses.
        int unusedPort = PortAllocator.free();
        CloseRecorder refused = connectTo(unusedPort, loop(), false);
        assertEquals(List.of(CloseReason.CONNECT_FAILED), refused.closeReasons);
        assertTrue(!CloseReason.CONNECT_FAILED.wasEstablished()
                && CloseReason.IO_FAILURE.wasEstablished()
                && CloseReason.CLOSED_BY_PEER.wasEstablished());
        for (boolean throwsOnRead : new boolean[] {false, true}) {
            try (ServerSocket server = new ServerSocket(0)) {
                Thread peer = new Thread(() -> {
                    try (Socket socket = server.accept()) {
                        socket.getOutputStream().write(1);
                    } catch (IOException e) {
                        failures.add(e);
                    }
                });
                peer.start();
                CloseRecorder recorder = connectTo(server.getLocalPort(), loop(), throwsOnRead);
                assertEquals(
                        List.of(throwsOnRead ? CloseReason.HANDLER_FAILED : CloseReason.CLOSED_BY_PEER),
                        recorder.closeReasons);
                assertEquals(throwsOnRead ? 1 : 0, failures.size());
            }
        }
    }

    /** An in-memory connection delivers more bytes than fit its read buffer, and is closed at both ends. */
    @Test
    void anInMemoryConnectionCarriesBytesBothWaysAndClosesAtBothEnds() {
        StringBuilder receivedByPeer = new StringBuilder();
        List<CloseReason> closeReasons = new ArrayList<>();
        Connection.InMemoryPeer peer = new Connection.InMemoryPeer() {
            private Connection peerEnd;

            @Override
            public void attach(Connection connection) {
                peerEnd = connection;
            }

            @Override
            public void onReceived(ByteBuffer input) {
                while (input.hasRemaining()) {
                    receivedByPeer.append((char) input.get());
                }
                if (receivedByPeer.length() == 26) {
                    peerEnd.write(ByteBuffer.wrap(new byte[] {1, 2}), ByteBuffer.wrap(new byte[] {3}));
                }
            }

            @Override
            public void onClosed(CloseReason reason) {
                closeReasons.add(reason);
            }
        };
        EventLoop loop = new EventLoop(MonotonicClock.system(), failures::add, address -> peer);
        ByteBuffer receivedLocally = ByteBuffer.allocate(3);
        Connection connection = Connection.inMemory(
                loop,
                new Connection.Handler() {
                    @Override
                    public void onReceived(ByteBuffer input) {
                        receivedLocally.put(input);
                    }

                    @Override
                    public void onClosed(CloseReason reason) {
                        closeReasons.add(reason);
                    }
                },
                peer,
                4,
                100);
        byte[] alphabet = "abcdefghijklmnopqrstuvwxyz".getBytes(StandardCharsets.US_ASCII);
        loop.execute(() -> connection.write(ByteBuffer.wrap(alphabet)));
        loop.setAfterBatch(() -> {
            if (!receivedLocally.hasRemaining()) {
                connection.close(CloseReason.IDLE);
                loop.execute(loop::stop);
            }
        });
        loop.run();
        assertEquals("abcdefghijklmnopqrstuvwxyz", receivedByPeer.toString());
        assertEquals(List.of(CloseReason.IDLE, CloseReason.CLOSED_BY_PEER), closeReasons);
        assertEquals(List.of(), failures);
    }

    /** A peer that does not read must not make the write queue grow without bound. */
    @Test
    void exceedingTheWriteQueueLimitClosesTheConnection() throws IOException {
        try (ServerSocket server = new ServerSocket(0)) {
            EventLoop loop = loop();
            CloseRecorder recorder = new CloseRecorder(loop, false);
            Connection connection =
                    Connection.connect(loop, server.getLocalSocketAddress(), recorder, 64, 1024, Duration.ofSeconds(5));
            loop.execute(() -> connection.write(ByteBuffer.allocate(1000), ByteBuffer.allocate(30)));
            loop.run();
            assertEquals(List.of(CloseReason.WRITE_QUEUE_FULL), recorder.closeReasons);
        }
    }
}
