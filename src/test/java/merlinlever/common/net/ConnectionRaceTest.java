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

/** Closes, failures and writes of connections that race each other. */
class ConnectionRaceTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private final List<Throwable> failures = new ArrayList<>();

    private EventLoop loop() throws IOException {
        EventLoop loop = new EventLoop(MonotonicClock.system(), failures::add);
        // Whatever fails, no test runs for ever.
        loop.schedule(Duration.ofSeconds(20), () -> {
            failures.add(new IllegalStateException("it took too long"));
            loop.stop();
        });
        return loop;
    }

    /** Records the close and stops the loop; each test adds what else it needs. */
    private static class LoopStoppingHandler implements Connection.Handler {
        final List<CloseReason> closeReasons = new ArrayList<>();
        final EventLoop loop;

        LoopStoppingHandler(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public void onReceived(ByteBuffer in) {
            in.position(in.limit());
        }

        @Override
        public void onClosed(CloseReason how) {
            closeReasons.add(how);
            loop.stop();
        }
    }

    private static boolean noDelay(Connection connection) throws ReflectiveOperationException, IOException {
        Field field = SocketConnection.class.getDeclaredField("channel");
        field.setAccessible(true);
        return ((AsynchronousSocketChannel) field.get(connection)).getOption(StandardSocketOptions.TCP_NODELAY);
    }

    /** Without TCP_NODELAY small writes would be delayed by the system, and lost with a reset. */
    @Test
    void acceptedAndConnectedStreamsHaveNoDelaySet() throws Exception {
        EventLoop loop = loop();
        List<Boolean> accepted = new ArrayList<>();
        ConnectionAcceptor listener = new ConnectionAcceptor(
                loop,
                new InetSocketAddress(LOOPBACK, 0),
                4,
                channel -> {
                    try {
                        accepted.add(
                                noDelay(Connection.accepted(loop, channel, new LoopStoppingHandler(loop), 64, 64)));
                    } catch (ReflectiveOperationException | IOException e) {
                        failures.add(e);
                    }
                    loop.stop();
                },
                () -> {});
        listener.accept();
        Connection dialled = Connection.connect(
                loop, listener.address(), new LoopStoppingHandler(loop), 64, 64, Duration.ofSeconds(5));
        loop.run();
        assertEquals(List.of(true), accepted);
        assertTrue(noDelay(dialled));
        assertEquals(List.of(), failures);
        loop.group().shutdownNow();
    }

    /** A handler that throws outside a read closes its connection, which nothing would touch again. */
    @Test
    void aHandlerThatThrowsInOnConnectedOrOnFlushedClosesItsConnection() throws Exception {
        for (boolean asMade : new boolean[] {true, false}) {
            failures.clear();
            try (ServerSocket server = new ServerSocket(0, 50, LOOPBACK)) {
                EventLoop loop = loop();
                LoopStoppingHandler ends = new LoopStoppingHandler(loop) {
                    @Override
                    public void onConnected() {
                        if (asMade) {
                            throw new IllegalStateException("on purpose");
                        }
                    }

                    @Override
                    public void onFlushed() {
                        throw new IllegalStateException("on purpose");
                    }
                };
                Connection connection =
                        Connection.connect(loop, server.getLocalSocketAddress(), ends, 64, 64, Duration.ofSeconds(5));
                connection.write(ByteBuffer.wrap(new byte[] {1}));
                loop.run();
                assertEquals(List.of(CloseReason.HANDLER_FAILED), ends.closeReasons);
                assertEquals(1, failures.size(), failures.toString());
                loop.group().shutdownNow();
            }
        }
    }

    /** Writes, and waits until the channel's own thread has read it and handed the completion to the loop. */
    private void writeAndAwaitReadyTask(Socket peer, Field readyTasks, EventLoop loop) {
        try {
            peer.getOutputStream().write("cdef".getBytes(StandardCharsets.US_ASCII));
            while (((Queue<?>) readyTasks.get(loop)).isEmpty()) {
                Thread.onSpinWait();
            }
        } catch (IOException | ReflectiveOperationException e) {
            failures.add(e);
        }
    }

    /**
     * Bytes arrive while earlier ones are handed over again: the channel's own thread reads them at that moment, and
     * must not write into the buffer that the handler is using.
     */
    @Test
    void bytesArrivingDuringRedeliveryDoNotTouchTheDeliveredBuffer() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, LOOPBACK)) {
            EventLoop loop = loop();
            Field ready = EventLoop.class.getDeclaredField("readyTasks");
            ready.setAccessible(true);
            Socket[] peer = new Socket[1];
            Connection[] made = new Connection[1];
            StringBuilder read = new StringBuilder();
            made[0] = Connection.connect(
                    loop,
                    server.getLocalSocketAddress(),
                    new Connection.Handler() {
                        private int offers;

                        @Override
                        public void onReceived(ByteBuffer in) {
                            if (++offers == 1) {
                                // The bytes are left; the next read is pending by then.
                                loop.execute(() -> loop.execute(made[0]::redeliver));
                            } else if (offers == 2) {
                                writeAndAwaitReadyTask(peer[0], ready, loop);
                                assertEquals(0, in.position());
                                assertEquals(2, in.limit());
                            } else {
                                read.append(StandardCharsets.US_ASCII.decode(in));
                                loop.stop();
                            }
                        }

                        @Override
                        public void onClosed(CloseReason how) {
                            failures.add(new IllegalStateException("" + how));
                            loop.stop();
                        }
                    },
                    64,
                    64,
                    Duration.ofSeconds(5));
            Thread accepting = new Thread(() -> {
                try {
                    peer[0] = server.accept();
                    peer[0].getOutputStream().write("ab".getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    failures.add(e);
                }
            });
            accepting.start();
            loop.run();
            accepting.join();
            assertEquals("abcdef", read.toString());
            assertEquals(List.of(), failures);
            peer[0].close();
            loop.group().shutdownNow();
        }
    }

    /** More buffers than one write takes and more bytes than the system buffers: all arrive in order, reported once. */
    @Test
    void dataNeedingManyWritesArrivesCompleteAndInOrderAndIsReportedOnce() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, LOOPBACK)) {
            EventLoop loop = loop();
            int[] written = new int[1];
            LoopStoppingHandler ends = new LoopStoppingHandler(loop) {
                @Override
                public void onFlushed() {
                    written[0]++;
                }
            };
            Connection connection =
                    Connection.connect(loop, server.getLocalSocketAddress(), ends, 64, 16 << 20, Duration.ofSeconds(5));
            byte[] sent = new byte[12 << 20];
            for (int i = 0; i < sent.length; i++) {
                sent[i] = (byte) (i * 31 + i / 251);
            }
            loop.execute(() -> {
                for (int at = 0; at < sent.length; at += 64 << 10) {
                    connection.write(ByteBuffer.wrap(sent, at, 64 << 10));
                }
            });
            byte[][] got = new byte[1][];
            Thread peer = new Thread(() -> {
                try (Socket socket = server.accept()) {
                    got[0] = socket.getInputStream().readNBytes(sent.length);
                } catch (IOException e) {
                    failures.add(e);
                }
            });
            peer.start();
            loop.run();
            peer.join();
            assertTrue(Arrays.equals(sent, got[0]));
            assertEquals(1, written[0]);
            assertEquals(List.of(CloseReason.CLOSED_BY_PEER), ends.closeReasons);
            assertEquals(List.of(), failures);
            loop.group().shutdownNow();
        }
    }

    /** Closed with a read, a write and a timer pending: one close is reported, and later completions have no effect. */
    @Test
    void completionsAfterCloseChangeNothing() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, LOOPBACK)) {
            EventLoop loop = loop();
            List<CloseReason> heard = new ArrayList<>();
            Connection[] made = new Connection[1];
            made[0] = Connection.connect(
                    loop,
                    server.getLocalSocketAddress(),
                    new Connection.Handler() {
                        @Override
                        public void onConnected() {
                            made[0].write(ByteBuffer.allocate(8 << 20));
                            loop.schedule(Duration.ofMillis(20), () -> made[0].close(CloseReason.COMPLETED));
                            // Past the connect timeout.
                            loop.schedule(Duration.ofMillis(150), loop::stop);
                        }

                        @Override
                        public void onReceived(ByteBuffer in) {
                            failures.add(new IllegalStateException("read after its end"));
                        }

                        @Override
                        public void onFlushed() {
                            failures.add(new IllegalStateException("written after its end"));
                        }

                        @Override
                        public void onClosed(CloseReason how) {
                            heard.add(how);
                            made[0].write(ByteBuffer.wrap(new byte[] {1}));
                            made[0].redeliver();
                            made[0].shutdownOutput();
                            made[0].close(CloseReason.IO_FAILURE);
                        }
                    },
                    64,
                    16 << 20,
                    Duration.ofMillis(100));
            loop.run();
            assertEquals(List.of(CloseReason.COMPLETED), heard);
            assertEquals(List.of(), failures);
            loop.group().shutdownNow();
        }
    }

    /** An error other than a stack overflow ends the loop and is thrown to its caller; the loop does not go on. */
    @Test
    void anErrorOtherThanStackOverflowIsThrownOutOfTheLoop() throws Exception {
        EventLoop loop = loop();
        loop.execute(() -> {
            throw new NoClassDefFoundError("on purpose");
        });
        assertThrows(NoClassDefFoundError.class, loop::run);
        EventLoop deep = loop();
        deep.execute(() -> recurseForever(deep));
        deep.execute(deep::stop);
        deep.run();
        assertEquals(1, failures.size());
        assertTrue(failures.get(0) instanceof StackOverflowError);
    }

    // It overflows the stack on purpose.
    @SuppressWarnings("InfiniteRecursion")
    private static int recurseForever(EventLoop loop) {
        return recurseForever(loop) + 1;
    }

    /** Out of file descriptors each accept fails at once: it is retried after a delay, whatever is closed meanwhile. */
    @Test
    void anAcceptorThatCannotAcceptPauses() throws Exception {
        // The clock stands still, so the delay does not end.
        EventLoop loop = new EventLoop(new MonotonicClock(() -> 0, () -> 0), failures::add);
        int[] asked = new int[1];
        ConnectionAcceptor listener =
                new ConnectionAcceptor(loop, new InetSocketAddress(LOOPBACK, 0), 4, channel -> {}, () -> asked[0]++);
        // A closed channel fails each accept, as a full descriptor table does.
        Field field = ConnectionAcceptor.class.getDeclaredField("channel");
        field.setAccessible(true);
        ((AsynchronousServerSocketChannel) field.get(listener)).close();
        int[] left = {2000};
        loop.execute(new Runnable() {
            @Override
            public void run() {
                listener.accept();
                if (--left[0] > 0) {
                    loop.execute(this);
                } else {
                    loop.stop();
                }
            }
        });
        loop.run();
        assertEquals(1, asked[0]);
        assertEquals(List.of(), failures);
        loop.group().shutdownNow();
    }
}
