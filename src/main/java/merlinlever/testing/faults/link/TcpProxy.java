package merlinlever.testing.faults.link;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;
import merlinlever.common.net.EventLoop;

/**
 * Relays TCP connections between a client and a server of a test and applies {@link LinkFaults}: a cut link holds the
 * bytes in transit, as a partition does, a slow link limits the bandwidth, and a reset aborts open connections. Each
 * direction has one buffer, therefore a slow link throttles the sender through TCP flow control. All methods must be
 * called on the thread of the loop.
 */
public final class TcpProxy implements Closeable {

    private static final int BUFFER_BYTES = 16 * 1024;
    /** Delay before another check of a cut link, or before another accept after a failed one. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(20);
    /** Maximum number of open connections; further ones are closed immediately. */
    private static final int MAX_CONNECTIONS = 512;

    private final EventLoop loop;
    private final LinkFaults links;
    private final int client;
    private final int server;
    private final InetSocketAddress serverAddress;
    private final SplittableRandom random;
    private final AsynchronousServerSocketChannel listener;
    private final Set<ProxiedConnection> open = new LinkedHashSet<>();

    /**
     * Starts listening and accepting connections.
     *
     * @param client the index of the client among the members of the links
     * @param server the index of the server
     * @param front address to which the client connects
     * @param serverAddress address on which the server listens
     * @param seed seed of the random faults
     */
    public TcpProxy(
            EventLoop loop,
            LinkFaults links,
            int client,
            int server,
            InetSocketAddress front,
            InetSocketAddress serverAddress,
            long seed)
            throws IOException {
        this.loop = loop;
        this.links = links;
        this.client = client;
        this.server = server;
        this.serverAddress = serverAddress;
        random = new SplittableRandom(seed);
        listener = AsynchronousServerSocketChannel.open(loop.group()).bind(front);
        loop.execute(this::accept);
    }

    /** Returns the address on which the proxy listens. */
    public InetSocketAddress front() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    private void accept() {
        listener.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
            @Override
            public void completed(AsynchronousSocketChannel clientChannel, Void none) {
                accept();
                if (open.size() >= MAX_CONNECTIONS) {
                    closeQuietly(clientChannel);
                    return;
                }
                ProxiedConnection connection = new ProxiedConnection(clientChannel);
                open.add(connection);
                connection.connect();
            }

            @Override
            public void failed(Throwable failure, Void none) {
                if (listener.isOpen()) {
                    loop.schedule(RETRY_DELAY, TcpProxy.this::accept);
                }
            }
        });
    }

    /** A connection of the client and the matching connection to the server. */
    private final class ProxiedConnection {
        private final AsynchronousSocketChannel clientChannel;
        /** Number of resets of the link at the time the client connected. */
        private final long resetsAtStart;
        /** Null if the channel could not be opened. */
        private AsynchronousSocketChannel serverChannel;

        private boolean closed;

        ProxiedConnection(AsynchronousSocketChannel clientChannel) {
            this.clientChannel = clientChannel;
            resetsAtStart = links.resets(client, server);
        }

        void connect() {
            try {
                serverChannel = AsynchronousSocketChannel.open(loop.group());
            } catch (IOException e) {
                end(false);
                return;
            }
            serverChannel.connect(serverAddress, null, new CompletionHandler<Void, Void>() {
                @Override
                public void completed(Void result, Void none) {
                    new Relay(clientChannel, serverChannel, client, server).read();
                    new Relay(serverChannel, clientChannel, server, client).read();
                }

                @Override
                public void failed(Throwable failure, Void none) {
                    end(false);
                }
            });
        }

        /** Aborts both connections if the link was reset after their start; returns whether they are closed. */
        boolean checkReset() {
            if (!closed && links.resets(client, server) > resetsAtStart) {
                end(true);
            }
            return closed;
        }

        void end(boolean abort) {
            if (closed) {
                return;
            }
            closed = true;
            open.remove(this);
            close(clientChannel, abort);
            if (serverChannel != null) {
                close(serverChannel, abort);
            }
        }

        private void close(AsynchronousSocketChannel channel, boolean abort) {
            if (abort) {
                sendResetOnClose(channel);
            }
            closeQuietly(channel);
        }

        /** Relays one direction in a loop: reads, waits for the delay of the link, and writes. */
        private final class Relay {
            private final AsynchronousSocketChannel from;
            private final AsynchronousSocketChannel to;
            private final int fromMember;
            private final int toMember;
            private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);

            Relay(AsynchronousSocketChannel from, AsynchronousSocketChannel to, int fromMember, int toMember) {
                this.from = from;
                this.to = to;
                this.fromMember = fromMember;
                this.toMember = toMember;
            }

            void read() {
                if (checkReset()) {
                    return;
                }
                buffer.clear();
                from.read(buffer, null, new EndOnFailure() {
                    @Override
                    public void completed(Integer bytes, Void none) {
                        if (bytes < 0) {
                            endOutput();
                        } else {
                            buffer.flip();
                            delay();
                        }
                    }
                });
            }

            private void endOutput() {
                try {
                    to.shutdownOutput();
                } catch (IOException e) {
                    end(false);
                }
            }

            private void delay() {
                if (checkReset()) {
                    return;
                }
                Duration now = loop.clock().now();
                links.stream(now, fromMember, toMember, buffer.remaining(), random)
                        .ifPresentOrElse(
                                departure -> loop.schedule(departure.minus(now), this::write),
                                () -> loop.schedule(RETRY_DELAY, this::delay));
            }

            private void write() {
                if (checkReset()) {
                    return;
                }
                to.write(buffer, null, new EndOnFailure() {
                    @Override
                    public void completed(Integer bytes, Void none) {
                        if (buffer.hasRemaining()) {
                            write();
                        } else {
                            read();
                        }
                    }
                });
            }
        }

        private abstract class EndOnFailure implements CompletionHandler<Integer, Void> {
            @Override
            public void failed(Throwable failure, Void none) {
                end(false);
            }
        }
    }

    private static void sendResetOnClose(AsynchronousSocketChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // The channel is already closed.
        }
    }

    private static void closeQuietly(AsynchronousSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // The channel is discarded in any case.
        }
    }

    /** Aborts the connections of a link that was reset, including idle ones. */
    public void applyResets() {
        Set.copyOf(open).forEach(ProxiedConnection::checkReset);
    }

    @Override
    public void close() {
        Set.copyOf(open).forEach(connection -> connection.end(false));
        try {
            listener.close();
        } catch (IOException e) {
            // A failed close leaves no connection to accept.
        }
    }
}
