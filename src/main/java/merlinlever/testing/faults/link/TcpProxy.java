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
 * Stands between a client member and a server member on TCP: each connection to the front is carried to the server's own
 * address, both ways, as {@link LinkFaults} decide. A cut link holds what it is given (as a partition does to TCP), a slow one
 * lets it through at its pace, a reset breaks open connections off hard. One buffer a direction, so a slow link pushes
 * back on the sender through TCP itself.
 */
public final class TcpProxy implements Closeable {

    /** Octets read in one go on each direction of one connection. */
    private static final int CHUNK = 16 << 10;
    /** A held link is asked again after so long. */
    private static final Duration AGAIN = Duration.ofMillis(20);
    /** Connections at once at the most; more are closed at once. */
    private static final int MOST = 512;

    private final EventLoop loop;
    private final LinkFaults links;
    private final int client, server;
    private final InetSocketAddress real;
    private final SplittableRandom chance;
    private final AsynchronousServerSocketChannel listener;
    private final Set<ProxiedConnection> open = new LinkedHashSet<>();
    private long accepted, refused, resets;

    public TcpProxy(
            EventLoop loop,
            LinkFaults links,
            int client,
            int server,
            InetSocketAddress front,
            InetSocketAddress real,
            long seed)
            throws IOException {
        this.loop = loop;
        this.links = links;
        this.client = client;
        this.server = server;
        this.real = real;
        chance = new SplittableRandom(seed);
        listener = AsynchronousServerSocketChannel.open(loop.group()).bind(front);
        loop.execute(this::accept);
    }

    public InetSocketAddress front() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    /** Accepted, refused as too many, broken off by a reset. */
    public long[] counts() {
        return new long[] {accepted, refused, resets};
    }

    private void accept() {
        listener.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
            @Override
            public void completed(AsynchronousSocketChannel caller, Void nothing) {
                accept();
                if (open.size() >= MOST) {
                    refused++;
                    quietly(caller);
                    return;
                }
                accepted++;
                new ProxiedConnection(caller).connect();
            }

            @Override
            public void failed(Throwable failure, Void nothing) {
                if (listener.isOpen()) {
                    loop.schedule(AGAIN, TcpProxy.this::accept);
                }
            }
        });
    }

    /** One connection: the caller's and ours to the server. */
    private final class ProxiedConnection {
        final AsynchronousSocketChannel caller;
        AsynchronousSocketChannel callee;
        final long epoch;
        boolean over;

        ProxiedConnection(AsynchronousSocketChannel caller) {
            this.caller = caller;
            epoch = links.resets(client, server);
            open.add(this);
        }

        void connect() {
            try {
                callee = AsynchronousSocketChannel.open(loop.group());
            } catch (IOException e) {
                end(false);
                return;
            }
            callee.connect(real, null, new CompletionHandler<Void, Void>() {
                @Override
                public void completed(Void result, Void nothing) {
                    carry(caller, callee, client, server, ByteBuffer.allocate(CHUNK));
                    carry(callee, caller, server, client, ByteBuffer.allocate(CHUNK));
                }

                @Override
                public void failed(Throwable failure, Void nothing) {
                    end(false);
                }
            });
        }

        boolean resetNow() {
            if (!over && links.resets(client, server) > epoch) {
                resets++;
                end(true);
            }
            return over;
        }

        void carry(
                AsynchronousSocketChannel from,
                AsynchronousSocketChannel to,
                int fromMember,
                int toMember,
                ByteBuffer buffer) {
            if (resetNow()) {
                return;
            }
            buffer.clear();
            from.read(buffer, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer read, Void nothing) {
                    if (read < 0) {
                        // The one side ended its sending; so does ours to the other.
                        try {
                            to.shutdownOutput();
                        } catch (IOException e) {
                            end(false);
                        }
                        return;
                    }
                    buffer.flip();
                    pass(from, to, fromMember, toMember, buffer);
                }

                @Override
                public void failed(Throwable failure, Void nothing) {
                    end(false);
                }
            });
        }

        void pass(
                AsynchronousSocketChannel from,
                AsynchronousSocketChannel to,
                int fromMember,
                int toMember,
                ByteBuffer buffer) {
            if (resetNow()) {
                return;
            }
            Duration now = loop.clock().now();
            Duration leaves = links.stream(now, fromMember, toMember, buffer.remaining(), chance);
            if (leaves == null) {
                loop.schedule(AGAIN, () -> pass(from, to, fromMember, toMember, buffer));
                return;
            }
            loop.schedule(leaves.minus(now), () -> write(from, to, fromMember, toMember, buffer));
        }

        void write(
                AsynchronousSocketChannel from,
                AsynchronousSocketChannel to,
                int fromMember,
                int toMember,
                ByteBuffer buffer) {
            if (resetNow()) {
                return;
            }
            to.write(buffer, null, new CompletionHandler<Integer, Void>() {
                @Override
                public void completed(Integer written, Void nothing) {
                    if (buffer.hasRemaining()) {
                        write(from, to, fromMember, toMember, buffer);
                    } else {
                        carry(from, to, fromMember, toMember, buffer);
                    }
                }

                @Override
                public void failed(Throwable failure, Void nothing) {
                    end(false);
                }
            });
        }

        void end(boolean hard) {
            if (over) {
                return;
            }
            over = true;
            open.remove(this);
            if (hard) {
                hard(caller);
                if (callee != null) {
                    hard(callee);
                }
            }
            quietly(caller);
            if (callee != null) {
                quietly(callee);
            }
        }
    }

    private static void hard(AsynchronousSocketChannel channel) {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        } catch (IOException e) {
            // Closed already: nothing to break off.
        }
    }

    private static void quietly(AsynchronousSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing more is owed to it.
        }
    }

    /** A reset of the link breaks off at once even the connections that wait for octets. */
    public void look() {
        for (ProxiedConnection pair : Set.copyOf(open)) {
            pair.resetNow();
        }
    }

    @Override
    public void close() {
        for (ProxiedConnection pair : Set.copyOf(open)) {
            pair.end(false);
        }
        try {
            listener.close();
        } catch (IOException e) {
            // It takes nobody more.
        }
    }
}
