package merlinlever.backend.management;

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
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.ConnectionAcceptor;
import merlinlever.common.net.EventLoop;

/**
 * The management endpoint: {@code GET /state} over HTTP/1.1 returns one JSON object, any other request returns 404.
 * Serves one request per connection. Concurrent connections and connections per second are limited, and excess
 * connections are closed unread, so that the endpoint does not delay the requests of the instance itself.
 */
public final class ManagementServer {

    private static final int MAX_CONNECTIONS = 8;
    private static final int MAX_REQUEST_BYTES = 1024;
    private static final int MAX_QUEUED_BYTES = 64 * 1024;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofMillis(500);
    private static final int MAX_ACCEPTED_PER_SECOND = 50;

    private final EventLoop loop;
    private final ConnectionAcceptor acceptor;
    private final Supplier<String> state;
    private final Set<ManagementConnection> connections = new LinkedHashSet<>();
    private long currentSecond;
    private int acceptedThisSecond;

    /**
     * Begins to listen on the address.
     *
     * @param state supplies the body of the response, one JSON object
     * @throws IOException if the address cannot be bound
     */
    public ManagementServer(EventLoop loop, InetSocketAddress address, Supplier<String> state) throws IOException {
        this.loop = loop;
        this.state = state;
        acceptor = new ConnectionAcceptor(loop, address, MAX_CONNECTIONS, this::accepted, () -> {});
        acceptor.accept();
        loop.runNowAndEvery(
                TIMEOUT_CHECK_INTERVAL, () -> List.copyOf(connections).forEach(ManagementConnection::closeIfTimedOut));
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    /** Closes the server and all connections. */
    public void close() {
        acceptor.close();
        List.copyOf(connections).forEach(open -> open.connection.close(CloseReason.COMPLETED));
    }

    private void accepted(AsynchronousSocketChannel channel) {
        long now = loop.clock().uptime().toSeconds();
        if (now != currentSecond) {
            currentSecond = now;
            acceptedThisSecond = 0;
        }
        ManagementConnection accepted = new ManagementConnection();
        connections.add(accepted);
        accepted.connection = Connection.accepted(loop, channel, accepted, MAX_REQUEST_BYTES, MAX_QUEUED_BYTES);
        acceptedThisSecond++;
        if (acceptedThisSecond > MAX_ACCEPTED_PER_SECOND) {
            accepted.connection.close(CloseReason.COMPLETED);
        } else {
            accepted.connection.resumeReading();
        }
    }

    /** One connection, which serves one request. */
    private final class ManagementConnection implements Connection.Handler {
        private final Duration openedAt = loop.clock().uptime();
        private Connection connection;
        private boolean responded;

        @Override
        public void onReceived(ByteBuffer input) {
            String request =
                    StandardCharsets.ISO_8859_1.decode(input.duplicate()).toString();
            if (responded || !request.contains("\r\n\r\n")) {
                if (input.remaining() == MAX_REQUEST_BYTES) {
                    connection.close(CloseReason.PROTOCOL_ERROR);
                }
                return;
            }
            input.position(input.limit());
            responded = true;
            boolean isStateRequest = request.startsWith("GET /state HTTP/1.");
            connection.write(
                    StandardCharsets.UTF_8.encode(isStateRequest ? okResponse(state.get()) : notFoundResponse()));
        }

        private static String okResponse(String body) {
            int length = body.getBytes(StandardCharsets.UTF_8).length;
            return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + length
                    + "\r\n\r\n" + body;
        }

        private static String notFoundResponse() {
            return "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        }

        @Override
        public void onFlushed() {
            connection.close(CloseReason.COMPLETED);
        }

        @Override
        public void onClosed(CloseReason reason) {
            connections.remove(this);
            acceptor.connectionClosed();
        }

        private void closeIfTimedOut() {
            if (loop.clock().uptime().minus(openedAt).compareTo(REQUEST_TIMEOUT) > 0) {
                connection.close(CloseReason.TIMED_OUT);
            }
        }
    }
}
