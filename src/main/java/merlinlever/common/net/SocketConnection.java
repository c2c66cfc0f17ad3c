package merlinlever.common.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** A connection over TCP. The channel's completion handlers run on the event loop's thread. */
final class SocketConnection extends Connection {

    private static final int MAX_BUFFERS_PER_WRITE = 16;

    private final AsynchronousSocketChannel channel;
    /** The target of reads that start while {@link #input()} holds unconsumed bytes; allocated at the first of them. */
    private ByteBuffer overflow;

    private boolean readPending;
    private boolean readingIntoOverflow;
    private boolean writePending;

    SocketConnection(
            EventLoop loop,
            AsynchronousSocketChannel channel,
            Handler handler,
            int readBufferBytes,
            int maxQueuedBytes) {
        super(loop, handler, readBufferBytes, maxQueuedBytes);
        this.channel = channel;
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            // Without the option the connection is only slower; a broken channel fails at the first read.
        }
    }

    void connect(SocketAddress address, Duration connectTimeout) {
        EventLoop.Timer timeout = loop().schedule(connectTimeout, () -> connectFailed(CloseReason.CONNECT_TIMEOUT));
        loop().execute(() -> startConnecting(address, timeout));
    }

    private void startConnecting(SocketAddress address, EventLoop.Timer timeout) {
        if (!isOpen()) {
            return;
        }
        channel.connect(address, null, new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void result, Void attachment) {
                timeout.cancel();
                if (isOpen()) {
                    setConnected();
                    notifyConnected();
                    scheduleFlush();
                    resumeReading();
                }
            }

            @Override
            public void failed(Throwable cause, Void attachment) {
                timeout.cancel();
                connectFailed(CloseReason.CONNECT_FAILED);
            }
        });
    }

    private void connectFailed(CloseReason reason) {
        if (!isConnected()) {
            close(reason);
        }
    }

    // ---- reading

    @Override
    void startReading() {
        if (readPending) {
            return;
        }
        readPending = true;
        // A thread of the channel group may fill the buffer until the read completes, so the loop must not use it.
        readingIntoOverflow = input().position() > 0;
        channel.read(readingIntoOverflow ? overflowBuffer() : input(), null, readCompletion);
    }

    private ByteBuffer overflowBuffer() {
        if (overflow == null) {
            overflow = ByteBuffer.allocate(input().capacity());
        }
        return overflow.clear().limit(input().remaining());
    }

    @Override
    boolean isInputInUse() {
        return readPending && !readingIntoOverflow;
    }

    private final CompletionHandler<Integer, Void> readCompletion = new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Void attachment) {
            readPending = false;
            if (!isOpen()) {
                return;
            }
            if (count < 0) {
                close(CloseReason.CLOSED_BY_PEER);
                return;
            }
            if (readingIntoOverflow) {
                input().put(overflow.flip());
            }
            deliver();
            resumeReading();
        }

        @Override
        public void failed(Throwable cause, Void attachment) {
            readPending = false;
            close(CloseReason.IO_FAILURE);
        }
    };

    // ---- writing

    @Override
    void startWriting() {
        writePending = true;
        ByteBuffer[] batch =
                new ByteBuffer[Math.min(MAX_BUFFERS_PER_WRITE, outgoing().size())];
        int count = 0;
        for (ByteBuffer buffer : outgoing()) {
            if (count == batch.length) {
                break;
            }
            batch[count++] = buffer;
        }
        channel.write(batch, 0, batch.length, 0, TimeUnit.SECONDS, null, writeCompletion);
    }

    @Override
    boolean isWritePending() {
        return writePending;
    }

    private final CompletionHandler<Long, Void> writeCompletion = new CompletionHandler<>() {
        @Override
        public void completed(Long count, Void attachment) {
            writePending = false;
            releaseQueuedBytes(count.intValue());
            while (!outgoing().isEmpty() && !outgoing().peek().hasRemaining()) {
                outgoing().poll();
            }
            if (!isOpen()) {
                return;
            }
            if (outgoing().isEmpty()) {
                notifyFlushed();
            } else {
                scheduleFlush();
            }
        }

        @Override
        public void failed(Throwable cause, Void attachment) {
            writePending = false;
            close(CloseReason.IO_FAILURE);
        }
    };

    @Override
    void shutdownTransportOutput() {
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            close(CloseReason.IO_FAILURE);
        }
    }

    @Override
    void closeTransport() {
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing depends on the closed channel.
        }
    }
}
