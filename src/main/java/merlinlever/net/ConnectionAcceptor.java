package merlinlever.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.time.Duration;
import java.util.function.Consumer;

/** Accepts connections as long as there is room; out of room or of descriptors it asks for some and pauses. */
public final class ConnectionAcceptor {

    private static final Duration RETRY_DELAY = Duration.ofMillis(50);
    /** Whoever is at the door as it is closed has been let in after so long, or longer where there was no room. */
    private static final Duration BACKLOG_GRACE = Duration.ofMillis(50);

    private static final Duration MAX_CLOSE_DELAY = Duration.ofSeconds(3);

    private final EventLoop loop;
    private final AsynchronousServerSocketChannel channel;
    private final Consumer<AsynchronousSocketChannel> onAccepted;
    private final Runnable onFull;
    private final int maxOpen;
    private int open;
    private long acceptAttempts;
    private boolean accepting, paused, closing, closed;

    /**
     * @param maxOpen connections open at the same time
     * @param onAccepted is given each; {@link #connectionClosed} is to be called when it is over
     * @param onFull closes the idlest connection, if any is idle
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
        channel.bind(address, 512);
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Accepts if there is room; where there is none it asks for some, and is to be called again. */
    public void accept() {
        if (accepting || paused || closed) {
            return;
        }
        if (open >= maxOpen) {
            onFull.run();
        }
        // Making room may have begun to accept already.
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

    /** A connection that was accepted is over. */
    public void connectionClosed() {
        open--;
        accept();
    }

    /**
     * Lets in whoever waits and closes then: what the system has accepted and the program has not would be reset, with
     * all that was written to it.
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

    /** An accept that is not over when what was ready has had its turn found nobody waiting. */
    private void closeIfBacklogEmpty() {
        long attempt = acceptAttempts;
        loop.execute(() -> {
            if (accepting && attempt == acceptAttempts) {
                close();
            }
        });
    }

    public boolean isClosed() {
        return closed;
    }

    public void close() {
        closed = true;
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing more can be done about it.
        }
    }
}
