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
 * A UDP socket on an event loop. NIO.2 has no asynchronous channel for datagrams, so a thread waits until the socket is
 * readable and then submits a task to the loop. The loop alone receives and sends datagrams.
 */
public final class DatagramEndpoint {

    /** Receives datagrams on the loop's thread. */
    public interface Receiver {
        /**
         * Called for each datagram.
         *
         * @param maxQueueTime upper bound of the time that the datagram waited to be read
         */
        void onDatagram(byte[] payload, InetSocketAddress sender, Duration maxQueueTime);
    }

    /** Bounds a batch, so that connections and timers are not starved. */
    private static final int MAX_BATCH_DATAGRAMS = 128;
    /** Size of the receive buffer of the operating system, which drops datagrams that do not fit. */
    private static final int RECEIVE_BUFFER_BYTES = 1 << 20;

    /** The least space that a datagram takes in the receive buffer. */
    private static final int MIN_ACCOUNTED_BYTES = 64;

    private final EventLoop loop;
    private final DatagramChannel channel;
    private final Selector selector;
    private final Receiver receiver;
    private final ByteBuffer input;
    private final Semaphore batchDone = new Semaphore(0);
    private volatile boolean closed;
    private long readyNanos;

    /**
     * Binds the socket and starts to receive datagrams.
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

    /** Returns the local address of the socket. */
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
                    batchDone.acquire();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException | ClosedSelectorException e) {
            // The selector was closed by close(), or the socket cannot be polled any more.
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
     * Receives all datagrams that are waiting in the receive buffer, so that they are processed before the caller
     * continues.
     *
     * @return false if the number of datagrams exceeded the capacity of the receive buffer, so that some may be left
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
            // For example, an ICMP error for a datagram that was sent to a closed port; later datagrams are received.
        } finally {
            batchDone.release();
        }
    }

    /** Sends a datagram, or drops the datagram if sending would block or fails; returns whether it was sent. */
    public boolean send(byte[] payload, InetSocketAddress recipient) {
        try {
            return !closed && channel.send(ByteBuffer.wrap(payload), recipient) == payload.length;
        } catch (IOException | UnresolvedAddressException | UnsupportedAddressTypeException e) {
            return false;
        }
    }

    /** Closes the socket and stops the selector thread. */
    public void close() {
        closed = true;
        try {
            selector.close();
            channel.close();
        } catch (IOException e) {
            // Nothing depends on the closed socket.
        }
    }
}
