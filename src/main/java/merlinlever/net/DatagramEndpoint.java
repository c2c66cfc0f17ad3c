package merlinlever.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.time.Duration;
import java.util.concurrent.Semaphore;

/**
 * A socket for datagrams. NIO.2 has no asynchronous channel for them, so one thread waits until some are there and hands
 * over to the loop, which reads and sends; like the thread of a channel group it does nothing else.
 */
public final class DatagramEndpoint {

    /** Who hears of each datagram; {@code waited} is how long it may have lain there unread, at the most. */
    public interface Receiver {
        void came(byte[] octets, InetSocketAddress from, Duration waited);
    }

    /** Read in one go, so that connections and timers have their turn. */
    private static final int BATCH = 128;
    /** What the system keeps until it is read; the rest it drops. */
    private static final int SYSTEM_BUFFER = 1 << 20;

    /** What the system counts for a datagram, at the least. */
    private static final int LEAST = 64;

    private final EventLoop loop;
    private final DatagramChannel channel;
    private final Selector selector;
    private final Receiver user;
    private final ByteBuffer in;
    private final Semaphore drained = new Semaphore(0);
    private volatile boolean closed;
    private long readyAt;

    /** @param largest octets of a datagram that are read; longer ones come cut */
    public DatagramEndpoint(EventLoop loop, InetSocketAddress address, int largest, Receiver user) throws IOException {
        this.loop = loop;
        this.user = user;
        in = ByteBuffer.allocateDirect(largest);
        channel = DatagramChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, SYSTEM_BUFFER);
            channel.bind(address);
            channel.configureBlocking(false);
            selector = Selector.open();
            channel.register(selector, SelectionKey.OP_READ);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        Thread waiter = new Thread(this::waitOn, "datagrams");
        waiter.setDaemon(true);
        waiter.start();
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    private void waitOn() {
        try {
            while (!closed) {
                selector.select();
                selector.selectedKeys().clear();
                if (!closed) {
                    readyAt = loop.clock().nanoTime();
                    loop.execute(this::drain);
                    drained.acquire();
                }
            }
        } catch (IOException | ClosedSelectorException | InterruptedException e) {
            // Closed, or the process ends.
        }
    }

    private boolean readOne() throws IOException {
        in.clear();
        InetSocketAddress from = closed ? null : (InetSocketAddress) channel.receive(in);
        if (from == null) {
            return false;
        }
        in.flip();
        byte[] octets = new byte[in.remaining()];
        in.get(octets);
        Duration waited = Duration.ofNanos(Math.max(0, loop.clock().nanoTime() - readyAt));
        loop.guarded(() -> user.came(octets, from, waited));
        return true;
    }

    /**
     * Reads what has come until now, on the loop's thread; so that what happens next comes after it.
     *
     * @return false where more came than the system's buffer can hold, and some may be there still
     */
    public boolean readAll() throws IOException {
        for (int i = 0; i < SYSTEM_BUFFER / LEAST; i++) {
            if (!readOne()) {
                return true;
            }
        }
        return false;
    }

    private void drain() {
        try {
            for (int i = 0; i < BATCH && readOne(); i++) {}
        } catch (IOException e) {
            // Such as an answer that found nobody at its place: the next ones are read.
        } finally {
            drained.release();
        }
    }

    /** Sends it, or drops it where there is no room now; whoever needs it asks again. */
    public boolean send(byte[] octets, InetSocketAddress to) {
        try {
            return !closed && channel.send(ByteBuffer.wrap(octets), to) == octets.length;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    public void close() {
        closed = true;
        try {
            selector.close();
            channel.close();
        } catch (IOException e) {
            // It is gone either way.
        }
    }
}
