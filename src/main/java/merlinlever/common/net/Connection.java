package merlinlever.common.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.time.Duration;
import java.util.ArrayDeque;

/**
 * A stream connection. It reads into a single buffer, from which the handler consumes complete messages. Queued
 * buffers are written at the end of the event loop's batch, in one gathering write. A connection is closed once, with
 * one {@link CloseReason}. All methods must be called on the event loop's thread.
 */
public abstract class Connection {

    /** Receives the events of a connection. If a method of the handler throws, the connection is closed. */
    public interface Handler {
        /** Called when the connection has been established; never called for an accepted connection. */
        default void onConnected() {}

        /**
         * Called when bytes have been received.
         *
         * @param input holds the bytes between its position and limit; bytes that the handler does not consume are
         *     delivered again, together with the bytes received next
         */
        void onReceived(ByteBuffer input);

        /** Called when the operating system has accepted all queued bytes. */
        default void onFlushed() {}

        /** Called once, when the connection is closed. */
        void onClosed(CloseReason reason);
    }

    /** The handler of the far end of an in-memory connection. */
    public interface InMemoryPeer extends Handler {
        /** Called once, before all other methods, with the peer's end of the connection. */
        void attach(Connection connection);
    }

    private final EventLoop loop;
    private final Handler handler;
    private final ByteBuffer input;
    private final ArrayDeque<ByteBuffer> outgoing = new ArrayDeque<>();
    private final int maxQueuedBytes;
    private int queuedBytes;
    private boolean connected;
    private boolean delivering;
    private boolean flushScheduled;
    /** Null while the connection is open. */
    private CloseReason closeReason;

    Connection(EventLoop loop, Handler handler, int readBufferBytes, int maxQueuedBytes) {
        this.loop = loop;
        this.handler = handler;
        this.maxQueuedBytes = maxQueuedBytes;
        input = ByteBuffer.allocate(readBufferBytes);
    }

    /** Returns a connection over an accepted channel; the caller starts to read with {@link #resumeReading}. */
    public static Connection accepted(
            EventLoop loop,
            AsynchronousSocketChannel channel,
            Handler handler,
            int readBufferBytes,
            int maxQueuedBytes) {
        Connection connection = new SocketConnection(loop, channel, handler, readBufferBytes, maxQueuedBytes);
        connection.setConnected();
        return connection;
    }

    /** Creates an in-memory connection to the peer and returns the handler's end. */
    public static Connection inMemory(
            EventLoop loop, Handler handler, InMemoryPeer peer, int readBufferBytes, int maxQueuedBytes) {
        return InMemoryConnection.pair(loop, handler, peer, readBufferBytes, maxQueuedBytes);
    }

    /**
     * Starts to connect. Buffers queued before the connection is established are written afterwards. A failure to
     * connect is always reported to the handler after this method has returned.
     *
     * @throws IOException if no socket can be opened
     */
    public static Connection connect(
            EventLoop loop,
            SocketAddress address,
            Handler handler,
            int readBufferBytes,
            int maxQueuedBytes,
            Duration connectTimeout)
            throws IOException {
        InMemoryPeer peer = loop.inMemoryPeer(address);
        if (peer != null) {
            Connection connection = inMemory(loop, handler, peer, readBufferBytes, maxQueuedBytes);
            loop.execute(handler::onConnected);
            return connection;
        }
        AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(loop.group());
        SocketConnection connection = new SocketConnection(loop, channel, handler, readBufferBytes, maxQueuedBytes);
        connection.connect(address, connectTimeout);
        return connection;
    }

    /** Returns whether the connection has not been closed. */
    public final boolean isOpen() {
        return closeReason == null;
    }

    final boolean isConnected() {
        return connected;
    }

    final void setConnected() {
        connected = true;
    }

    // ---- reading

    /** Continues to read if the read buffer has room; called after the handler has consumed bytes. */
    public final void resumeReading() {
        if (canReceive() && connected) {
            startReading();
        }
    }

    /** Returns whether bytes may be delivered to the handler and the read buffer has room. */
    final boolean canReceive() {
        return isOpen() && !delivering && input.hasRemaining();
    }

    /** Delivers the bytes that the handler did not consume to it again, and continues to read. */
    public final void redeliver() {
        if (!isInputInUse() && !delivering && isOpen() && input.position() > 0) {
            deliver();
        }
        resumeReading();
    }

    final void deliver() {
        delivering = true;
        input.flip();
        boolean succeeded = loop.runGuarded(() -> handler.onReceived(input));
        input.compact();
        delivering = false;
        if (!succeeded) {
            close(CloseReason.HANDLER_FAILED);
        }
    }

    final void notifyConnected() {
        notifyHandler(handler::onConnected);
    }

    final void notifyFlushed() {
        notifyHandler(handler::onFlushed);
    }

    private void notifyHandler(Runnable callback) {
        if (!loop.runGuarded(callback)) {
            close(CloseReason.HANDLER_FAILED);
        }
    }

    // ---- writing

    /** Queues the bytes for writing at the end of the loop's batch. Closes the connection if the queue is full. */
    public final void write(ByteBuffer... buffers) {
        if (!isOpen()) {
            return;
        }
        for (ByteBuffer buffer : buffers) {
            if (buffer.hasRemaining()) {
                queuedBytes += buffer.remaining();
                outgoing.add(buffer);
            }
        }
        if (queuedBytes > maxQueuedBytes) {
            close(CloseReason.WRITE_QUEUE_FULL);
            return;
        }
        scheduleFlush();
    }

    final void scheduleFlush() {
        if (connected && !flushScheduled && !isWritePending() && !outgoing.isEmpty()) {
            flushScheduled = true;
            loop.scheduleFlush(this);
        }
    }

    /** Starts to write the queued buffers; called by the loop at the end of a batch. */
    final void flush() {
        flushScheduled = false;
        if (!isWritePending() && isOpen() && !outgoing.isEmpty()) {
            startWriting();
        }
    }

    /** Removes the written bytes from the count of queued bytes. */
    final void releaseQueuedBytes(int bytes) {
        queuedBytes -= bytes;
    }

    final void clearQueue() {
        outgoing.clear();
        queuedBytes = 0;
    }

    /** Shuts down the outgoing direction: the peer reads an end of stream. */
    public final void shutdownOutput() {
        if (isOpen()) {
            shutdownTransportOutput();
        }
    }

    /** Closes the connection and calls {@link Handler#onClosed} before returning; no effect once it is closed. */
    public final void close(CloseReason reason) {
        if (!isOpen()) {
            return;
        }
        closeReason = reason;
        clearQueue();
        closeTransport();
        handler.onClosed(reason);
    }

    // ---- transport

    final EventLoop loop() {
        return loop;
    }

    /** Returns the read buffer in write mode: bytes that the handler did not consume lie before its position. */
    final ByteBuffer input() {
        return input;
    }

    /** Returns the buffers queued for writing; the transport removes each buffer that it has written. */
    final ArrayDeque<ByteBuffer> outgoing() {
        return outgoing;
    }

    /** Starts a read into {@link #input()}, unless a read is in progress. */
    abstract void startReading();

    /** Returns whether the transport may be writing into {@link #input()}. */
    abstract boolean isInputInUse();

    /** Starts to write the buffers of {@link #outgoing()}. */
    abstract void startWriting();

    /** Returns whether a write is in progress. */
    abstract boolean isWritePending();

    abstract void shutdownTransportOutput();

    abstract void closeTransport();
}
