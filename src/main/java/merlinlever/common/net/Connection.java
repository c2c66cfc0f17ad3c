package merlinlever.common.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.time.Duration;
import java.util.ArrayDeque;

/**
 * A stream connection. It reads into one buffer, from which its handler takes complete messages. Queued buffers are
 * written at the end of the event loop's batch, in one gathering write. A connection is closed once, for one reason.
 * All methods are called on the event loop's thread.
 */
public abstract class Connection {

    /** Receives what happens on a connection. A handler that throws closes its connection. */
    public interface Handler {
        /** The connection is established; not called for an accepted one. */
        default void onConnected() {}

        /**
         * Bytes lie between position and limit; those behind the position at return are handed over again with more.
         */
        void onReceived(ByteBuffer input);

        /** All that was queued has been handed to the system. */
        default void onFlushed() {}

        /** The connection is closed; called once. */
        void onClosed(CloseReason reason);
    }

    /** The handler of the far end of a connection inside this process. */
    public interface InMemoryPeer extends Handler {
        /** Called once, before anything else, with the peer's own end. */
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
    /** Null while it is open. */
    private CloseReason closeReason;

    Connection(EventLoop loop, Handler handler, int readBufferBytes, int maxQueuedBytes) {
        this.loop = loop;
        this.handler = handler;
        this.maxQueuedBytes = maxQueuedBytes;
        input = ByteBuffer.allocate(readBufferBytes);
    }

    /** An accepted connection; {@link #resumeReading} begins to read. */
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

    /** A connection inside this process; returns the handler's end. */
    public static Connection inMemory(
            EventLoop loop, Handler handler, InMemoryPeer peer, int readBufferBytes, int maxQueuedBytes) {
        return InMemoryConnection.pair(loop, handler, peer, readBufferBytes, maxQueuedBytes);
    }

    /**
     * Begins to connect. What is queued before the connection is established is written then; a failure is reported to
     * the handler later, also where it is known at once.
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

    /** Whether it has not been closed. */
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

    /** Continues to read if the buffer has room, after the handler has consumed bytes. */
    public final void resumeReading() {
        if (canReceive() && connected) {
            startReading();
        }
    }

    /** Whether bytes may be handed over, and there is room for more. */
    final boolean canReceive() {
        return isOpen() && !delivering && input.hasRemaining();
    }

    /** Hands the bytes that the handler has left to it again, and continues to read. */
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

    /** Queues the bytes; they are written at the end of the loop's batch. More than the limit closes the connection. */
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

    /** Called by the loop at the end of a batch. */
    final void flush() {
        flushScheduled = false;
        if (!isWritePending() && isOpen() && !outgoing.isEmpty()) {
            startWriting();
        }
    }

    /** This number of queued bytes has been written. */
    final void written(int bytes) {
        queuedBytes -= bytes;
    }

    final void clearQueue() {
        outgoing.clear();
        queuedBytes = 0;
    }

    /** Ends this side's direction: the other side reads an end of stream. */
    public final void shutdownOutput() {
        if (isOpen()) {
            shutdownTransportOutput();
        }
    }

    /** Closes it, and calls {@link Handler#onClosed} before this returns; once it is closed nothing happens. */
    public final void close(CloseReason reason) {
        if (!isOpen()) {
            return;
        }
        closeReason = reason;
        clearQueue();
        closeTransport();
        handler.onClosed(reason);
    }

    // ---- the transport

    final EventLoop loop() {
        return loop;
    }

    /** The read buffer, ready to be written to: bytes that the handler has left lie before its position. */
    final ByteBuffer input() {
        return input;
    }

    /** The buffers queued for writing; the transport removes those that it has written. */
    final ArrayDeque<ByteBuffer> outgoing() {
        return outgoing;
    }

    /** Starts to read into {@link #input()}, unless a read is in progress. */
    abstract void startReading();

    /** Whether the transport may be writing into {@link #input()} at this moment. */
    abstract boolean isInputInUse();

    /** Writes from {@link #outgoing()}. */
    abstract void startWriting();

    /** Whether a write is in progress. */
    abstract boolean isWritePending();

    abstract void shutdownTransportOutput();

    abstract void closeTransport();
}
