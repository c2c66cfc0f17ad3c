package merlinlever.net;

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
import java.util.concurrent.atomic.AtomicLong;
import merlinlever.Outcome;
import merlinlever.faults.process.PortAllocator;
import net.jqwik.api.Example;

class ConnectionTest {

    private final List<Throwable> failures = new ArrayList<>();

    /** Records the end of a connection and stops the loop with it. */
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

    @Example
    void unixTimesAreConvertedByTheLastMeasuredOffset() {
        AtomicLong nanos = new AtomicLong(50);
        AtomicLong unix = new AtomicLong(10_000_000_000L);
        // Held up by 400 ms between its first two readings of the clocks, and by nothing between later ones.
        AtomicLong readings = new AtomicLong();
        MonotonicClock clock = new MonotonicClock(
                () -> {
                    long then = unix.get();
                    if (readings.incrementAndGet() == 1) {
                        nanos.addAndGet(400_000_000);
                        unix.addAndGet(400_000_000);
                    }
                    return then;
                },
                nanos::get);
        assertEquals(Duration.ofMillis(400), clock.now());
        assertEquals(Duration.ofMillis(-500), clock.fromUnixMillis(9_500));
        clock.setOriginAgo(Duration.ofMillis(100));
        assertEquals(Duration.ofMillis(100), clock.now());
        assertEquals(Duration.ofMillis(-300), clock.fromUnixMillis(10_000));
        // The Unix clock gains on the other one: that is seen at the next comparison, and the spans go on as they were.
        unix.addAndGet(30_000_000);
        clock.resyncUnixOffset();
        assertEquals(Duration.ofMillis(100), clock.now());
        assertEquals(Duration.ofMillis(-330), clock.fromUnixMillis(10_000));
    }

    /** A late loop runs what is due in the order in which it was due, and what repeats runs once. */
    @Example
    void afterAStallTimersRunInOrderAndPeriodicOnesOnce() throws IOException {
        AtomicLong nanos = new AtomicLong();
        EventLoop loop = new EventLoop(new MonotonicClock(() -> 0, nanos::get), failures::add);
        List<String> ran = new ArrayList<>();
        loop.schedule(Duration.ofMillis(30), () -> ran.add("b"));
        loop.schedule(Duration.ofMillis(20), () -> ran.add("a"));
        EventLoop.Timer off = loop.schedule(Duration.ofMillis(25), () -> ran.add("off"));
        loop.runNowAndEvery(Duration.ofMillis(10), () -> ran.add("tick"));
        off.cancel();
        loop.execute(() -> {
            throw new IllegalStateException("on purpose");
        });
        loop.execute(() -> nanos.addAndGet(500_000_000));
        loop.setAfterBatch(() -> {
            if (ran.contains("b")) {
                loop.stop();
            }
        });
        loop.run();
        assertEquals(List.of("tick", "tick", "a", "b"), ran);
        assertEquals(1, failures.size());
    }

    private CloseRecorder connectTo(int port, EventLoop loop, boolean fails) throws IOException {
        CloseRecorder ends = new CloseRecorder(loop, fails);
        Connection.connect(loop, new InetSocketAddress("127.0.0.1", port), ends, 64, 1024, Duration.ofSeconds(5));
        loop.run();
        return ends;
    }

    @Example
    void aConnectionClosesOnceWithTheMatchingReason() throws IOException {
        // One that no other process of these tests listens at meanwhile either.
        int closed = PortAllocator.free();
        CloseRecorder refused = connectTo(closed, loop(), false);
        assertEquals(List.of(CloseReason.CONNECT_FAILED), refused.closeReasons);
        assertTrue(CloseReason.CONNECT_FAILED.callOutcome().provesNoEffect()
                && !CloseReason.IO_FAILURE.callOutcome().provesNoEffect()
                && CloseReason.CLOSED_BY_PEER.callOutcome() == Outcome.CONNECTION_LOST);
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
                assertEquals(List.of(fails ? CloseReason.HANDLER_FAILED : CloseReason.CLOSED_BY_PEER), ends.closeReasons);
                assertEquals(fails ? 1 : 0, failures.size());
            }
        }
    }

    /** In memory a connection carries bytes both ways, piece by piece where the buffer is small, and ends at both ends. */
    @Example
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

    /** What the other side does not take is bounded. */
    @Example
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
