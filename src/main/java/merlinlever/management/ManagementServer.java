package merlinlever.management;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import merlinlever.net.CloseReason;
import merlinlever.net.Connection;
import merlinlever.net.ConnectionAcceptor;
import merlinlever.net.EventLoop;

/**
 * The management endpoint: {@code GET /state} over HTTP/1.1 gives one JSON object, anything else a short refusal. It tells
 * and decides nothing. Few connections, one message on each, and so many answers a second at the most: whoever asks more
 * is closed unread, so that the operations of the instance do not suffer from it.
 */
public final class ManagementServer {

    private static final int CONNECTIONS = 8;
    private static final int MESSAGE = 1024;
    private static final Duration SLOW = Duration.ofSeconds(2);
    private static final Duration LOOK = Duration.ofMillis(500);
    /** Answers a second. */
    private static final int MOST = 50;

    private final EventLoop loop;
    private final ConnectionAcceptor listener;
    private final Supplier<String> state;
    private final Set<ManagementConnection> open = new LinkedHashSet<>();
    private long second;
    private int answered;

    /** @param state what is told, as one JSON object */
    public ManagementServer(EventLoop loop, InetSocketAddress address, Supplier<String> state) throws IOException {
        this.loop = loop;
        this.state = state;
        listener = new ConnectionAcceptor(loop, address, CONNECTIONS, this::accepted, () -> {});
        listener.accept();
        loop.every(LOOK, () -> List.copyOf(open).forEach(ManagementConnection::look));
    }

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    public void close() {
        listener.close();
        List.copyOf(open).forEach(visit -> visit.connection.end(CloseReason.DONE));
    }

    private void accepted(AsynchronousSocketChannel channel) {
        long now = loop.clock().uptime().toSeconds();
        if (now != second) {
            second = now;
            answered = 0;
        }
        ManagementConnection visit = new ManagementConnection();
        open.add(visit);
        visit.connection = Connection.accepted(loop, channel, visit, MESSAGE, 64 * 1024);
        if (++answered > MOST) {
            visit.connection.end(CloseReason.DONE);
        } else {
            visit.connection.readOn();
        }
    }

    private final class ManagementConnection implements Connection.Handler {
        private final Duration since = loop.clock().uptime();
        private Connection connection;
        private boolean said;

        @Override
        public void read(ByteBuffer in) {
            String text = StandardCharsets.ISO_8859_1.decode(in.duplicate()).toString();
            if (said || !text.contains("\r\n\r\n")) {
                if (in.remaining() == MESSAGE) {
                    connection.end(CloseReason.MALFORMED);
                }
                return;
            }
            in.position(in.limit());
            said = true;
            String body = text.startsWith("GET /state HTTP/1.") ? state.get() : null;
            String head = "HTTP/1.1 " + (body != null ? "200 OK\r\nContent-Type: application/json" : "404 Not Found")
                    + "\r\nConnection: close\r\nContent-Length: "
                    + (body == null ? 0 : body.getBytes(StandardCharsets.UTF_8).length) + "\r\n\r\n";
            connection.write(StandardCharsets.UTF_8.encode(head + (body == null ? "" : body)));
        }

        @Override
        public void written() {
            connection.end(CloseReason.DONE);
        }

        @Override
        public void ended(CloseReason how) {
            open.remove(this);
            listener.gone();
        }

        void look() {
            if (loop.clock().uptime().minus(since).compareTo(SLOW) > 0) {
                connection.end(CloseReason.SLOW);
            }
        }
    }
}
