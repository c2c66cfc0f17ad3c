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
        void onDatagram(byte[] payload, InetSocketAddress sender, Duration maxQueueTime);
    }

    /** Read in one go, so that connections and timers have their turn. */
    private static final int MAX_BATCH_DATAGRAMS = 128;
    /** What the system keeps until it is read; the rest it drops. */
    private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

    /** What the system counts for a datagram, at the least. */
    private static final int MIN_ACCOUNTED_BYTES = 64;

    private final EventLoop loop;
    private final DatagramChannel channel;
    private final Selector selector;
    private final Receiver receiver;
    private final ByteBuffer input;
    private final Semaphore drained = new Semaphore(0);
    private volatile boolean closed;
    private long readyNanos;

    /** @param maxDatagramBytes octets of a datagram that are read; longer ones come cut */
    public DatagramEndpoint(EventLoop loop, InetSocketAddress address, int maxDatagramBytes, Receiver receiver) throws IOException {
        this.loop = loop;
        this.receiver = receiver;
        input = ByteBuffer.allocateDirect(maxDatagramBytes);
        channel = DatagramChannel.open();
        try {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
            channel.bind(address);
            channel.configureBlocking(false);
            selector = Selector.open();
            channel.register(selector, SelectionKey.OP_READ);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        Thread selectorThread = new Thread(this::awaitReadable, "datagrams");
        selectorThread.setDaemon(true);
        selectorThread.start();
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    private void awaitReadable() {
        try {
            while (!closed) {
                selector.select();
                selector.selectedKeys().clear();
                if (!closed) {
                    readyNanos = loop.clock().nanoTime();
                    loop.execute(this::receiveBatch);
                    drained.acquire();
                }
            }
        } catch (IOException | ClosedSelectorException | InterruptedException e) {
            // Closed, or the process ends.
        }
    }

    private boolean receiveOne() throws IOException {
        input.clear();
        InetSocketAddress sender = closed ? null : (InetSocketAddress) channel.receive(input);
        if (sender == null) {
            return false;
        }
        input.flip();
        byte[] payload = new byte[input.remaining()];
        input.get(payload);
        Duration maxQueueTime = Duration.ofNanos(Math.max(0, loop.clock().nanoTime() - readyNanos));
        loop.runGuarded(() -> receiver.onDatagram(payload, sender, maxQueueTime));
        return true;
    }

    /**
     * Reads what has come until now, on the loop's thread; so that what happens next comes after it.
     *
     * @return false where more came than the system's buffer can hold, and some may be there still
     */
    public boolean receiveAll() throws IOException {
        for (int i = 0; i < RECEIVE_BUFFER_BYTES / MIN_ACCOUNTED_BYTES; i++) {
            if (!receiveOne()) {
                return true;
            }
        }
        return false;
    }

    private void receiveBatch() {
        try {
            for (int i = 0; i < MAX_BATCH_DATAGRAMS && receiveOne(); i++) {}
        } catch (IOException e) {
            // Such as an answer that found nobody at its place: the next ones are read.
        } finally {
            drained.release();
        }
    }

    /** Sends it, or drops it where there is no room now; whoever needs it asks again. */
    public boolean send(byte[] payload, InetSocketAddress recipient) {
        try {
            return !closed && channel.send(ByteBuffer.wrap(payload), recipient) == payload.length;
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
