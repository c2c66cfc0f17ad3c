package merlinlever.common.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.time.Duration;
import java.util.function.Consumer;

/**
 * Accepts connections up to a limit. At the limit, or out of file descriptors, it asks its owner to close some, and
 * tries again later.
 */
public final class ConnectionAcceptor {

    /** The backlog: connections that the system has established and the program has not accepted. */
    private static final int MAX_PENDING_CONNECTIONS = 512;

    private static final Duration RETRY_DELAY = Duration.ofMillis(50);
    /** On closing, the backlog is taken to be accepted after this time, or later where the limit was reached. */
    private static final Duration BACKLOG_GRACE = Duration.ofMillis(50);

    private static final Duration MAX_CLOSE_DELAY = Duration.ofSeconds(3);

    private final EventLoop loop;
    private final AsynchronousServerSocketChannel channel;
    private final Consumer<AsynchronousSocketChannel> onAccepted;
    private final Runnable onFull;
    private final int maxOpen;
    private int open;
    private long acceptAttempts;
    private boolean accepting;
    private boolean paused;
    private boolean closing;
    private boolean closed;

    /**
     * @param maxOpen connections open at the same time
     * @param onAccepted gets each connection; {@link #connectionClosed} is to be called once it is closed
     * @param onFull closes connections where it can
     */
    public ConnectionAcceptor(
            EventLoop loop,
            InetSocketAddress address,
            int maxOpen,
            Consumer<AsynchronousSocketChannel> onAccepted,
            Runnable onFull)
            throws IOException {
        this.loop = loop;
        this.maxOpen = maxOpen;
        this.onAccepted = onAccepted;
        this.onFull = onFull;
        channel = AsynchronousServerSocketChannel.open(loop.group());
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, MAX_PENDING_CONNECTIONS);
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Accepts the next connection below the limit; at the limit it asks for room, and is to be called again. */
    public void accept() {
        if (accepting || paused || closed) {
            return;
        }
        if (open >= maxOpen) {
            onFull.run();
        }
        // The owner may have called this method again meanwhile.
        if (accepting || paused || closed || open >= maxOpen) {
            return;
        }
        accepting = true;
        acceptAttempts++;
        channel.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
            @Override
            public void completed(AsynchronousSocketChannel accepted, Void none) {
                accepting = false;
                open++;
                onAccepted.accept(accepted);
                accept();
            }

            @Override
            public void failed(Throwable cause, Void none) {
                accepting = false;
                if (!closed) {
                    paused = true;
                    loop.schedule(RETRY_DELAY, () -> {
                        paused = false;
                        accept();
                    });
                    onFull.run();
                }
            }
        });
        if (closing) {
            closeIfBacklogEmpty();
        }
    }

    /** An accepted connection has been closed. */
    public void connectionClosed() {
        open--;
        accept();
    }

    /**
     * Accepts the backlog and closes then: connections that the system has established and the program has not accepted
     * would be reset, with all that was written to them.
     */
    public void closeAfterBacklog() {
        if (closing) {
            return;
        }
        closing = true;
        accept();
        loop.schedule(BACKLOG_GRACE, () -> {
            if (accepting) {
                closeIfBacklogEmpty();
            }
        });
        loop.schedule(MAX_CLOSE_DELAY, this::close);
    }

    /** An accept that has not completed once all ready tasks have run found the backlog empty. */
    private void closeIfBacklogEmpty() {
        long attempt = acceptAttempts;
        loop.execute(() -> {
            if (accepting && attempt == acceptAttempts) {
                close();
            }
        });
    }

    /** Whether no further connection can come. */
    public boolean isClosed() {
        return closed;
    }

    /** Closes it at once; the backlog is reset. */
    public void close() {
        closed = true;
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing more can be done about it.
        }
    }
}
