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

    private static final Duration PAUSE = Duration.ofMillis(50);
    /** Whoever is at the door as it is closed has been let in after so long, or longer where there was no room. */
    private static final Duration LAST_LOOK = Duration.ofMillis(50);

    private static final Duration LONGEST_CLOSING = Duration.ofSeconds(3);

    private final EventLoop loop;
    private final AsynchronousServerSocketChannel channel;
    private final Consumer<AsynchronousSocketChannel> taker;
    private final Runnable makeRoom;
    private final int most;
    private int open;
    private long looks;
    private boolean accepting, pausing, closing, closed;

    /**
     * @param most connections open at the same time
     * @param taker is given each; {@link #gone} is to be called when it is over
     * @param makeRoom closes the idlest connection, if any is idle
     */
    public ConnectionAcceptor(
            EventLoop loop,
            InetSocketAddress address,
            int most,
            Consumer<AsynchronousSocketChannel> taker,
            Runnable makeRoom)
            throws IOException {
        this.loop = loop;
        this.most = most;
        this.taker = taker;
        this.makeRoom = makeRoom;
        channel = AsynchronousServerSocketChannel.open(loop.group());
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        channel.bind(address, 512);
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Accepts if there is room; where there is none it asks for some, and is to be called again. */
    public void accept() {
        if (accepting || pausing || closed) {
            return;
        }
        if (open >= most) {
            makeRoom.run();
        }
        // Making room may have begun to accept already.
        if (accepting || pausing || closed || open >= most) {
            return;
        }
        accepting = true;
        looks++;
        channel.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
            @Override
            public void completed(AsynchronousSocketChannel accepted, Void none) {
                accepting = false;
                open++;
                taker.accept(accepted);
                accept();
            }

            @Override
            public void failed(Throwable cause, Void none) {
                accepting = false;
                if (!closed) {
                    pausing = true;
                    loop.in(PAUSE, () -> {
                        pausing = false;
                        accept();
                    });
                    makeRoom.run();
                }
            }
        });
        if (closing) {
            closeUnlessMoreCame();
        }
    }

    /** A connection that was accepted is over. */
    public void gone() {
        open--;
        accept();
    }

    /**
     * Lets in whoever waits and closes then: what the system has accepted and the program has not would be reset, with
     * all that was written to it.
     */
    public void closeBehindTheLast() {
        if (closing) {
            return;
        }
        closing = true;
        accept();
        loop.in(LAST_LOOK, () -> {
            if (accepting) {
                closeUnlessMoreCame();
            }
        });
        loop.in(LONGEST_CLOSING, this::close);
    }

    /** An accept that is not over when what was ready has had its turn found nobody waiting. */
    private void closeUnlessMoreCame() {
        long look = looks;
        loop.execute(() -> {
            if (accepting && look == looks) {
                close();
            }
        });
    }

    public boolean closed() {
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
