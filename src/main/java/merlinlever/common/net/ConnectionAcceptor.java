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
 * Accepts connections up to a limit. At the limit, or when accepting fails, for example for lack of file descriptors,
 * the acceptor asks its owner to close connections; after a failure it retries with a delay.
 */
public final class ConnectionAcceptor {

    /** The length of the backlog: connections established by the operating system and not yet accepted. */
    private static final int MAX_PENDING_CONNECTIONS = 512;

    private static final Duration RETRY_DELAY = Duration.ofMillis(50);
    /** On closing, an accept that is pending after this delay shows that the backlog is empty. */
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
     * Binds the listening socket; {@link #accept} starts to accept connections.
     *
     * @param maxOpen maximum number of open connections
     * @param onAccepted receives each connection, and calls {@link #connectionClosed} once the connection is closed
     * @param onFull closes connections, if possible
     * @throws IOException if the address cannot be bound
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

    /** Returns the address of the listening socket. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Accepts the next connection. At the limit, runs {@code onFull}, and accepts only if a connection was closed. */
    public void accept() {
        if (accepting || paused || closed) {
            return;
        }
        if (open >= maxOpen) {
            onFull.run();
        }
        // onFull may have called this method.
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

    /** Called by the owner when an accepted connection has been closed. */
    public void connectionClosed() {
        open--;
        accept();
    }

    /**
     * Accepts the connections of the backlog and then closes the listening socket. Closing at once would reset them,
     * and the requests already written to them would be lost.
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

    /** Closes the socket if the pending accept is still pending after all ready tasks: then the backlog is empty. */
    private void closeIfBacklogEmpty() {
        long attempt = acceptAttempts;
        loop.execute(() -> {
            if (accepting && attempt == acceptAttempts) {
                close();
            }
        });
    }

    /** Returns whether the listening socket is closed. */
    public boolean isClosed() {
        return closed;
    }

    /** Closes the listening socket at once; connections of the backlog are reset. */
    public void close() {
        closed = true;
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing depends on the closed socket.
        }
    }
}
