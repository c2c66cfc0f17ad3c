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

    private static final int MAX_CONNECTIONS = 8;
    private static final int MAX_REQUEST_BYTES = 1024;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofMillis(500);
    /** Answers a second. */
    private static final int MAX_RESPONSES_PER_SECOND = 50;

    private final EventLoop loop;
    private final ConnectionAcceptor acceptor;
    private final Supplier<String> state;
    private final Set<ManagementConnection> open = new LinkedHashSet<>();
    private long currentSecond;
    private int acceptedThisSecond;

    /** @param state what is told, as one JSON object */
    public ManagementServer(EventLoop loop, InetSocketAddress address, Supplier<String> state) throws IOException {
        this.loop = loop;
        this.state = state;
        acceptor = new ConnectionAcceptor(loop, address, MAX_CONNECTIONS, this::accepted, () -> {});
        acceptor.accept();
        loop.runNowAndEvery(TIMEOUT_CHECK_INTERVAL, () -> List.copyOf(open).forEach(ManagementConnection::closeIfTimedOut));
    }

    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    public void close() {
        acceptor.close();
        List.copyOf(open).forEach(visit -> visit.connection.close(CloseReason.COMPLETED));
    }

    private void accepted(AsynchronousSocketChannel channel) {
        long now = loop.clock().uptime().toSeconds();
        if (now != currentSecond) {
            currentSecond = now;
            acceptedThisSecond = 0;
        }
        ManagementConnection visit = new ManagementConnection();
        open.add(visit);
        visit.connection = Connection.accepted(loop, channel, visit, MAX_REQUEST_BYTES, 64 * 1024);
        if (++acceptedThisSecond > MAX_RESPONSES_PER_SECOND) {
            visit.connection.close(CloseReason.COMPLETED);
        } else {
            visit.connection.resumeReading();
        }
    }

    private final class ManagementConnection implements Connection.Handler {
        private final Duration openedAt = loop.clock().uptime();
        private Connection connection;
        private boolean responded;

        @Override
        public void onReceived(ByteBuffer in) {
            String text = StandardCharsets.ISO_8859_1.decode(in.duplicate()).toString();
            if (responded || !text.contains("\r\n\r\n")) {
                if (in.remaining() == MAX_REQUEST_BYTES) {
                    connection.close(CloseReason.PROTOCOL_ERROR);
                }
                return;
            }
            in.position(in.limit());
            responded = true;
            String body = text.startsWith("GET /state HTTP/1.") ? state.get() : null;
            String head = "HTTP/1.1 " + (body != null ? "200 OK\r\nContent-Type: application/json" : "404 Not Found")
                    + "\r\nConnection: close\r\nContent-Length: "
                    + (body == null ? 0 : body.getBytes(StandardCharsets.UTF_8).length) + "\r\n\r\n";
            connection.write(StandardCharsets.UTF_8.encode(head + (body == null ? "" : body)));
        }

        @Override
        public void onFlushed() {
            connection.close(CloseReason.COMPLETED);
        }

        @Override
        public void onClosed(CloseReason how) {
            open.remove(this);
            acceptor.connectionClosed();
        }

        void closeIfTimedOut() {
            if (loop.clock().uptime().minus(openedAt).compareTo(REQUEST_TIMEOUT) > 0) {
                connection.close(CloseReason.TIMED_OUT);
            }
        }
    }
}
