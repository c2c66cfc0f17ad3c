package merlinlever.common.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** Races between close, failure, read and write of a connection. */
class ConnectionRaceTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private final List<Throwable> failures = new ArrayList<>();

    private EventLoop loop() throws IOException {
        EventLoop loop = new EventLoop(MonotonicClock.system(), failures::add);
        // Stops a test that would otherwise run forever.
        loop.schedule(Duration.ofSeconds(20), () -> {
            failures.add(new IllegalStateException("the test timed out"));
            loop.stop();
        });
        return loop;
    }

    /** Records the reasons for closing, and stops the loop when the connection is closed. */
    private static class LoopStoppingHandler implements Connection.Handler {
        final List<CloseReason> closeReasons = new ArrayList<>();
        final EventLoop loop;

        LoopStoppingHandler(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public void onReceived(ByteBuffer input) {
            input.position(input.limit());
        }

        @Override
        public void onClosed(CloseReason reason) {
            closeReasons.add(reason);
            loop.stop();
        }
    }

    private static boolean noDelay(Connection connection) throws ReflectiveOperationException, IOException {
        Field field = SocketConnection.class.getDeclaredField("channel");
        field.setAccessible(true);
        return ((AsynchronousSocketChannel) field.get(connection)).getOption(StandardSocketOptions.TCP_NODELAY);
    }

    /** Without TCP_NODELAY, the operating system would delay small writes, and a reset would lose them. */
    @Test
    void acceptedAndConnectingConnectionsSetTcpNoDelay() throws Exception {
        EventLoop loop = loop();
        List<Boolean> acceptedNoDelay = new ArrayList<>();
        ConnectionAcceptor acceptor = new ConnectionAcceptor(
                loop,
                new InetSocketAddress(LOOPBACK, 0),
                4,
                channel -> {
                    try {
                        acceptedNoDelay.add(
                                noDelay(Connection.accepted(loop, channel, new LoopStoppingHandler(loop), 64, 64)));
                    } catch (ReflectiveOperationException | IOException e) {
                        failures.add(e);
                    }
                    loop.stop();
                },
                () -> {});
        acceptor.accept();
        Connection connecting = Connection.connect(
                loop, acceptor.address(), new LoopStoppingHandler(loop), 64, 64, Duration.ofSeconds(5));
        loop.run();
        assertEquals(List.of(true), acceptedNoDelay);
        assertTrue(noDelay(connecting));
        assertEquals(List.of(), failures);
        loop.group().shutdownNow();
    }

    /** A connection whose handler throws outside a read must be closed, because no later event would close it. */
    @Test
    void aHandlerThatThrowsInOnConnectedOrOnFlushedClosesItsConnection() throws Exception {
        for (boolean throwOnConnected : new boolean[] {true, false}) {
            failures.clear();
            try (ServerSocket server = new ServerSocket(0, 50, LOOPBACK)) {
                EventLoop loop = loop();
                LoopStoppingHandler handler = new LoopStoppingHandler(loop) {
                    @Override
                    public void onConnected() {
                        if (throwOnConnected) {
                            throw new IllegalStateException("thrown by the test");
                        }
                    }

                    @Override
                    public void onFlushed() {
                        throw new IllegalStateException("thrown by the test");
                    }
                };
                Connection connection = Connection.connect(
                        loop, server.getLocalSocketAddress(), handler, 64, 64, Duration.ofSeconds(5));
                connection.write(ByteBuffer.wrap(new byte[] {1}));
                loop.run();
                assertEquals(List.of(CloseReason.HANDLER_FAILED), handler.closeReasons);
                assertEquals(1, failures.size(), failures.toString());
                loop.group().shutdownNow();
            }
        }
    }

    /** Writes to the socket and waits until the channel has read the bytes and submitted the completion to the loop. */
    private void writeAndAwaitReadyTask(Socket peer, Field readyTasksField, EventLoop loop) {
        try {
            peer.getOutputStream().write("cdef".getBytes(StandardCharsets.US_ASCII));
            while (((Queue<?>) readyTasksField.get(loop)).isEmpty()) {
                Thread.onSpinWait();
            }
        } catch (IOException | ReflectiveOperationException e) {
            failures.add(e);
        }
    }

    /**
     * Bytes arrive while unconsumed bytes are delivered again: the thread of the channel, which reads the new bytes,
     * must not write into the buffer that the handler is using.
     */
    @Test
    void bytesArrivingDuringRedeliveryDoNotChangeTheDeliveredBuffer() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, LOOPBACK)) {
            EventLoop loop = loop();
            Field readyTasksField = EventLoop.class.getDeclaredField("readyTasks");
            readyTasksField.setAccessible(true);
            Socket[] peer = new Socket[1];
            Connection[] connection = new Connection[1];
            StringBuilder received = new StringBuilder();
            connection[0] = Connection.connect(
                    loop,
                    server.getLocalSocketAddress(),
                    new Connection.Handler() {
                        private int deliveries;

                        @Override
                        public void onReceived(ByteBuffer input) {
                            if (++deliveries == 1) {
                                // The bytes are not consumed; the next read is pending when they are delivered again.
                                loop.execute(() -> loop.execute(connection[0]::redeliver));
                            } else if (deliveries == 2) {
                                writeAndAwaitReadyTask(peer[0], readyTasksField, loop);
                                assertEquals(0, input.position());
                                assertEquals(2, input.limit());
                            } else {
                                received.append(StandardCharsets.US_ASCII.decode(input));
                                loop.stop();
                            }
                        }

                        @Override
                        public void onClosed(CloseReason reason) {
                            failures.add(new IllegalStateException("" + reason));
                            loop.stop();
                        }
                    },
                    64,
                    64,
                    Duration.ofSeconds(5));
            Thread peerThread = new Thread(() -> {
                try {
                    peer[0] = server.accept();
                    peer[0].getOutputStream().write("ab".getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    failures.add(e);
                }
            });
            peerThread.start();
            loop.run();
            peerThread.join();
            assertEquals("abcdef", received.toString());
            assertEquals(List.of(), failures);
            peer[0].close();
            loop.group().shutdownNow();
        }
    }

    /** Data that needs many gathering writes and overfills the socket buffers arrives in order, with one onFlushed. */
    @Test
    void dataThatNeedsManyWritesArrivesInOrderAndIsReportedFlushedOnce() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, LOOPBACK)) {
            EventLoop loop = loop();
            int[] flushes = new int[1];
            LoopStoppingHandler handler = new LoopStoppingHandler(loop) {
                @Override
                public void onFlushed() {
                    flushes[0]++;
                }
            };
            Connection connection = Connection.connect(
                    loop, server.getLocalSocketAddress(), handler, 64, 16 << 20, Duration.ofSeconds(5));
            byte[] sent = new byte[12 << 20];
            for (int i = 0; i < sent.length; i++) {
                sent[i] = (byte) (i * 31 + i / 251);
            }
            loop.execute(() -> {
                for (int offset = 0; offset < sent.length; offset += 64 << 10) {
                    connection.write(ByteBuffer.wrap(sent, offset, 64 << 10));
                }
            });
            byte[][] received = new byte[1][];
            Thread peer = new Thread(() -> {
                try (Socket socket = server.accept()) {
                    received[0] = socket.getInputStream().readNBytes(sent.length);
                } catch (IOException e) {
                    failures.add(e);
                }
            });
            peer.start();
            loop.run();
            peer.join();
            assertTrue(Arrays.equals(sent, received[0]));
            assertEquals(1, flushes[0]);
            assertEquals(List.of(CloseReason.CLOSED_BY_PEER), handler.closeReasons);
            assertEquals(List.of(), failures);
            loop.group().shutdownNow();
        }
    }

    /** A connection closed while a read, a write and a timer are pending reports one close and no later event. */
    @Test
    void completionsAfterCloseHaveNoEffect() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, LOOPBACK)) {
            EventLoop loop = loop();
            List<CloseReason> closeReasons = new ArrayList<>();
            Connection[] connection = new Connection[1];
            connection[0] = Connection.connect(
                    loop,
                    server.getLocalSocketAddress(),
                    new Connection.Handler() {
                        @Override
                        public void onConnected() {
                            connection[0].write(ByteBuffer.allocate(8 << 20));
                            loop.schedule(Duration.ofMillis(20), () -> connection[0].close(CloseReason.COMPLETED));
                            // After the connect timeout.
                            loop.schedule(Duration.ofMillis(150), loop::stop);
                        }

                        @Override
                        public void onReceived(ByteBuffer input) {
                            failures.add(new IllegalStateException("onReceived after close"));
                        }

                        @Override
                        public void onFlushed() {
                            failures.add(new IllegalStateException("onFlushed after close"));
                        }

                        @Override
                        public void onClosed(CloseReason reason) {
                            closeReasons.add(reason);
                            connection[0].write(ByteBuffer.wrap(new byte[] {1}));
                            connection[0].redeliver();
                            connection[0].shutdownOutput();
                            connection[0].close(CloseReason.IO_FAILURE);
                        }
                    },
                    64,
                    16 << 20,
                    Duration.ofMillis(100));
            loop.run();
            assertEquals(List.of(CloseReason.COMPLETED), closeReasons);
            assertEquals(List.of(), failures);
            loop.group().shutdownNow();
        }
    }

    /**
     * The loop survives a stack overflow in a task; any other error terminates the loop and propagates to its caller.
     */
    @Test
    void anErrorOtherThanStackOverflowPropagatesOutOfTheLoop() throws Exception {
        EventLoop loop = loop();
        loop.execute(() -> {
            throw new NoClassDefFoundError("thrown by the test");
        });
        assertThrows(NoClassDefFoundError.class, loop::run);
        EventLoop overflowingLoop = loop();
        overflowingLoop.execute(() -> recurseForever(overflowingLoop));
        overflowingLoop.execute(overflowingLoop::stop);
        overflowingLoop.run();
        assertEquals(1, failures.size());
        assertTrue(failures.get(0) instanceof StackOverflowError);
    }

    // The test needs a stack overflow.
    @SuppressWarnings("InfiniteRecursion")
    private static int recurseForever(EventLoop loop) {
        return recurseForever(loop) + 1;
    }

    /**
     * Without free file descriptors each accept fails at once; the acceptor must pause instead of retrying in a loop.
     */
    @Test
    void anAcceptorPausesAfterAFailedAccept() throws Exception {
        // The clock never advances, so the delay never ends.
        EventLoop loop = new EventLoop(new MonotonicClock(() -> 0, () -> 0), failures::add);
        int[] fullCalls = new int[1];
        ConnectionAcceptor acceptor = new ConnectionAcceptor(
                loop, new InetSocketAddress(LOOPBACK, 0), 4, channel -> {}, () -> fullCalls[0]++);
        // On a closed channel each accept fails, as with a full file descriptor table.
        Field field = ConnectionAcceptor.class.getDeclaredField("channel");
        field.setAccessible(true);
        ((AsynchronousServerSocketChannel) field.get(acceptor)).close();
        int[] remainingCalls = {2000};
        loop.execute(new Runnable() {
            @Override
            public void run() {
                acceptor.accept();
                if (--remainingCalls[0] > 0) {
                    loop.execute(this);
                } else {
                    loop.stop();
                }
            }
        });
        loop.run();
        assertEquals(1, fullCalls[0]);
        assertEquals(List.of(), failures);
        loop.group().shutdownNow();
    }
}
