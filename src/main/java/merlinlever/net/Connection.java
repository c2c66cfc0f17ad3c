package merlinlever.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * One connection: reads into one buffer that its user takes whole messages from, and writes what is queued at the end
 * of each batch in one gathered write. It ends once, in one way.
 */
public final class Connection {

    /** Who uses a connection. */
    public interface Handler {
        /** It is made; for one that was accepted this is not called. */
        default void onConnected() {}

        /** Bytes lie between position and limit; those that are taken are passed over, the others come again. */
        void onReceived(ByteBuffer input);

        /** All that was queued has been handed to the system. */
        default void onFlushed() {}

        /** It is over; called once. */
        void onClosed(CloseReason reason);
    }

    /** A party in this process, at the other end of a connection in memory. */
    public interface InMemoryPeer extends Handler {
        /** Called once, before anything else. */
        void attach(Connection connection);
    }

    private static final int MAX_BUFFERS_PER_WRITE = 16;

    private final EventLoop loop;
    private final AsynchronousSocketChannel channel;
    private final Handler handler;
    private final ByteBuffer input;
    /** What a pending read brings while something lies in {@link #input}; made where that comes up. */
    private ByteBuffer overflow;

    private final int maxQueuedBytes;
    private final ArrayDeque<ByteBuffer> outgoing = new ArrayDeque<>();
    private int queuedBytes;
    private boolean readPending, readingIntoOverflow, delivering, writePending, flushScheduled, connected;
    private CloseReason closeReason;
    /** In memory: the other end, and what it has written and was not read here yet. */
    private Connection peer;

    private final ArrayDeque<ByteBuffer> arriving = new ArrayDeque<>(0);

    private Connection(
            EventLoop loop, AsynchronousSocketChannel channel, Handler handler, int readBufferBytes, int maxQueuedBytes) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
        this.maxQueuedBytes = maxQueuedBytes;
        input = ByteBuffer.allocate(readBufferBytes);
        if (channel == null) {
            connected = true;
            return;
        }
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            // Only a matter of speed; a channel that is broken will say so when it is read.
        }
    }

    /** One that was accepted; {@link #start} begins to read. */
    public static Connection accepted(
            EventLoop loop, AsynchronousSocketChannel channel, Handler handler, int readBufferBytes, int maxQueuedBytes) {
        Connection connection = new Connection(loop, channel, handler, readBufferBytes, maxQueuedBytes);
        connection.connected = true;
        return connection;
    }

    /** One in memory between two users on the loop; returns the end of the first. */
    public static Connection inMemory(EventLoop loop, Handler handler, InMemoryPeer peer, int readBufferBytes, int maxQueuedBytes) {
        Connection connection = new Connection(loop, null, handler, readBufferBytes, maxQueuedBytes);
        connection.peer = new Connection(loop, null, peer, readBufferBytes, maxQueuedBytes);
        connection.peer.peer = connection;
        peer.attach(connection.peer);
        return connection;
    }

    /** Makes one; what is queued before it is made is written then. Its end comes later even if it fails at once. */
    public static Connection connect(
            EventLoop loop, SocketAddress address, Handler handler, int readBufferBytes, int maxQueuedBytes, Duration connectTimeout)
            throws IOException {
        InMemoryPeer peer = loop.inMemoryPeer(address);
        if (peer != null) {
            Connection connection = inMemory(loop, handler, peer, readBufferBytes, maxQueuedBytes);
            loop.execute(handler::onConnected);
            return connection;
        }
        Connection connection =
                new Connection(loop, AsynchronousSocketChannel.open(loop.group()), handler, readBufferBytes, maxQueuedBytes);
        EventLoop.Timer timeout = loop.schedule(connectTimeout, () -> connection.connectFailed(CloseReason.CONNECT_TIMEOUT));
        loop.execute(() -> connection.startConnecting(address, timeout));
        return connection;
    }

    private void startConnecting(SocketAddress address, EventLoop.Timer timeout) {
        if (closeReason != null) {
            return;
        }
        channel.connect(address, null, new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void nothing, Void none) {
                timeout.cancel();
                if (closeReason == null) {
                    connected = true;
                    notifyHandler(handler::onConnected);
                    scheduleFlush();
                    resumeReading();
                }
            }

            @Override
            public void failed(Throwable cause, Void none) {
                timeout.cancel();
                connectFailed(CloseReason.CONNECT_FAILED);
            }
        });
    }

    private void connectFailed(CloseReason reason) {
        if (!connected) {
            close(reason);
        }
    }

    public CloseReason closeReason() {
        return closeReason;
    }

    /** Goes on reading if there is room: after {@link Handler#onReceived} has taken something that it left before. */
    public void resumeReading() {
        if (readPending || delivering || closeReason != null || !connected || !input.hasRemaining()) {
            return;
        }
        if (peer != null) {
            deliverFromPeer();
            return;
        }
        readPending = true;
        // The channel's thread fills the buffer at any moment from here on, so nobody else may touch that one.
        readingIntoOverflow = input.position() > 0;
        channel.read(readingIntoOverflow ? overflowBuffer() : input, null, readCompletion);
    }

    private ByteBuffer overflowBuffer() {
        if (overflow == null) {
            overflow = ByteBuffer.allocate(input.capacity());
        }
        return overflow.clear().limit(input.remaining());
    }

    private void deliverFromPeer() {
        while (closeReason == null && !delivering && !arriving.isEmpty() && input.hasRemaining()) {
            ByteBuffer buffer = arriving.peek();
            ByteBuffer part = buffer.slice(buffer.position(), Math.min(buffer.remaining(), input.remaining()));
            buffer.position(buffer.position() + part.remaining());
            input.put(part);
            if (!buffer.hasRemaining()) {
                arriving.poll();
            }
            deliver();
        }
    }

    /** Offers what has been read and was left; a read that is pending may be filling an empty buffer meanwhile. */
    public void redeliver() {
        boolean filling = readPending && !readingIntoOverflow;
        if (!filling && !delivering && closeReason == null && input.position() > 0) {
            deliver();
        }
        resumeReading();
    }

    private void deliver() {
        delivering = true;
        input.flip();
        boolean succeeded = loop.runGuarded(() -> handler.onReceived(input));
        input.compact();
        delivering = false;
        if (!succeeded) {
            close(CloseReason.HANDLER_FAILED);
        }
    }

    private void notifyHandler(Runnable callback) {
        if (!loop.runGuarded(callback)) {
            close(CloseReason.HANDLER_FAILED);
        }
    }

    private final CompletionHandler<Integer, Void> readCompletion = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Void none) {
            readPending = false;
            if (closeReason != null) {
                return;
            }
            if (count < 0) {
                close(CloseReason.CLOSED_BY_PEER);
                return;
            }
            if (readingIntoOverflow) {
                input.put(overflow.flip());
            }
            deliver();
            resumeReading();
        }

        @Override
        public void failed(Throwable cause, Void none) {
            readPending = false;
            close(CloseReason.IO_FAILURE);
        }
    };

    /** Queues the bytes; they leave at the end of the batch. */
    public void write(ByteBuffer... buffers) {
        if (closeReason != null) {
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

    private void scheduleFlush() {
        if (connected && !flushScheduled && !writePending && !outgoing.isEmpty()) {
            flushScheduled = true;
            loop.scheduleFlush(this);
        }
    }

    void flush() {
        flushScheduled = false;
        if (writePending || closeReason != null || outgoing.isEmpty()) {
            return;
        }
        if (peer != null) {
            peer.arriving.addAll(outgoing);
            outgoing.clear();
            queuedBytes = 0;
            loop.execute(peer::resumeReading);
            notifyHandler(handler::onFlushed);
            return;
        }
        writePending = true;
        ByteBuffer[] batch = outgoing.stream().limit(MAX_BUFFERS_PER_WRITE).toArray(ByteBuffer[]::new);
        channel.write(batch, 0, batch.length, 0, TimeUnit.SECONDS, null, writeCompletion);
    }

    private final CompletionHandler<Long, Void> writeCompletion = new CompletionHandler<>() {
        @Override
        public void completed(Long count, Void none) {
            writePending = false;
            queuedBytes -= (int) (long) count;
            while (!outgoing.isEmpty() && !outgoing.peek().hasRemaining()) {
                outgoing.poll();
            }
            if (closeReason != null) {
                return;
            }
            if (outgoing.isEmpty()) {
                notifyHandler(handler::onFlushed);
            } else {
                scheduleFlush();
            }
        }

        @Override
        public void failed(Throwable cause, Void none) {
            writePending = false;
            close(CloseReason.IO_FAILURE);
        }
    };

    /** Says to the other side that nothing more will be written. */
    public void shutdownOutput() {
        try {
            if (closeReason == null && peer == null) {
                channel.shutdownOutput();
            }
        } catch (IOException e) {
            close(CloseReason.IO_FAILURE);
        }
    }

    /** Ends it; a second end changes nothing. */
    public void close(CloseReason reason) {
        if (closeReason != null) {
            return;
        }
        closeReason = reason;
        outgoing.clear();
        queuedBytes = 0;
        if (peer != null) {
            loop.execute(() -> peer.close(CloseReason.CLOSED_BY_PEER));
        } else {
            try {
                channel.close();
            } catch (IOException e) {
                // It is gone either way.
            }
        }
        handler.onClosed(reason);
    }
}
