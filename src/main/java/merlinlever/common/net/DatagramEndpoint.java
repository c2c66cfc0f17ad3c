package merlinlever.common.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.UnresolvedAddressException;
import java.nio.channels.UnsupportedAddressTypeException;
import java.time.Duration;
import java.util.concurrent.Semaphore;

/**
 * A UDP socket on an event loop. NIO.2 has no asynchronous channel for datagrams, so a thread waits until some have
 * come and hands over to the loop, which receives and sends; like a channel group's thread it does nothing else.
 */
public final class DatagramEndpoint {

    /** Receives datagrams on the loop's thread. */
    public interface Receiver {
        /**
         * Called for each datagram.
         *
         * @param maxQueueTime how long the datagram may have waited to be read, at most
         */
        void onDatagram(byte[] payload, InetSocketAddress sender, Duration maxQueueTime);
    }

    /** Received in one batch, so that connections and timers have their turn. */
    private static final int MAX_BATCH_DATAGRAMS = 128;
    /** What the system buffers; it drops datagrams beyond that. */
    private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

    /** What the system accounts for any datagram, at least. */
    private static final int MIN_ACCOUNTED_BYTES = 64;

    private final EventLoop loop;
    private final DatagramChannel channel;
    private final Selector selector;
    private final Receiver receiver;
    private final ByteBuffer input;
    private final Semaphore drained = new Semaphore(0);
    private volatile boolean closed;
    private long readyNanos;

    /**
     * Receives datagrams at the address.
     *
     * @param maxDatagramBytes longer datagrams are truncated
     * @throws IOException if the address cannot be bound
     */
    public DatagramEndpoint(EventLoop loop, InetSocketAddress address, int maxDatagramBytes, Receiver receiver)
            throws IOException {
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

    /** Where it receives. */
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
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | ClosedSelectorException e) {
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
     * Receives all datagrams that have come by now, so that whatever the caller does next comes after them.
     *
     * @return false if more came than the system's buffer holds, and some may be left
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
            // Such as the ICMP error for a datagram sent to a closed port: the next datagrams are received.
        } finally {
            drained.release();
        }
    }

    /** Sends a datagram, or drops it where it cannot be sent now; returns whether it was sent. */
    public boolean send(byte[] payload, InetSocketAddress recipient) {
        try {
            return !closed && channel.send(ByteBuffer.wrap(payload), recipient) == payload.length;
        } catch (IOException | UnresolvedAddressException | UnsupportedAddressTypeException e) {
            return false;
        }
    }

    /** Closes the socket and ends the thread. */
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
