package merlinlever.host.api;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Optional;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.EventLoop;

/** Client connection that carries one request and its response, and is then closed. */
final class ClientConnection implements Connection.Handler {

    /** Receives the events of client connections. */
    interface Listener {
        /** Handles an authenticated request; the response is sent with {@link ClientConnection#send}. */
        void onRequest(ApiRequest request, ClientConnection connection);

        void onClosed(ClientConnection connection);
    }

    private static final int MAX_REQUEST_BYTES = 256 * 1024;
    private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final EventLoop loop;
    private final byte[] secret;
    private final Listener listener;
    private final Duration acceptedAt;
    private final Connection connection;
    private boolean requestReceived;
    private boolean responseWritten;

    /** @param secret shared secret required in the request */
    ClientConnection(EventLoop loop, AsynchronousSocketChannel channel, byte[] secret, Listener listener) {
        this.loop = loop;
        this.secret = secret;
        this.listener = listener;
        acceptedAt = loop.clock().uptime();
        connection = Connection.accepted(loop, channel, this, MAX_REQUEST_BYTES, MAX_RESPONSE_BYTES);
    }

    /** Starts reading the request. */
    void start() {
        connection.resumeReading();
    }

    /** Returns whether the response was written or the connection was closed. */
    boolean isResponseWritten() {
        return responseWritten;
    }

    void closeIfTimedOut() {
        if (loop.clock().uptime().minus(acceptedAt).compareTo(TIMEOUT) > 0) {
            connection.close(CloseReason.TIMED_OUT);
        }
    }

    @Override
    public void onReceived(ByteBuffer input) {
        Optional<HttpMessage> parsed = requestReceived
                ? Optional.empty()
                : HttpMessage.parse(
                        StandardCharsets.UTF_8.decode(input.duplicate()).toString());
        if (parsed.isEmpty()) {
            if (input.remaining() == MAX_REQUEST_BYTES) {
                connection.close(CloseReason.PROTOCOL_ERROR);
            }
            return;
        }
        HttpMessage message = parsed.get();
        if (message.isComplete()) {
            input.position(input.limit());
            requestReceived = true;
            receive(message);
        }
    }

    private void receive(HttpMessage message) {
        Optional<ApiRequest> request = message.request();
        if (request.isEmpty()) {
            send(ApiResponse.badRequest("the request line is not valid HTTP"));
        } else if (!isAuthenticated(message)) {
            send(ApiResponse.unauthorized("the shared secret is missing or wrong"));
        } else {
            listener.onRequest(request.get(), this);
        }
    }

    private boolean isAuthenticated(HttpMessage message) {
        return message.bearerToken()
                .filter(token -> MessageDigest.isEqual(token.getBytes(StandardCharsets.UTF_8), secret))
                .isPresent();
    }

    /** Sends the response and then closes the connection. */
    void send(ApiResponse response) {
        connection.write(response.encode());
    }

    @Override
    public void onFlushed() {
        responseWritten = true;
        connection.close(CloseReason.COMPLETED);
    }

    @Override
    public void onClosed(CloseReason reason) {
        responseWritten = true;
        listener.onClosed(this);
    }
}
