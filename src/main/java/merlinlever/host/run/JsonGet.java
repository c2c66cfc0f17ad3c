package merlinlever.host.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.EventLoop;

/**
 * Single HTTP/1.1 GET request for a JSON document, on a separate connection. The callback is called once, with an empty
 * result if no valid response arrives before the timeout.
 */
final class JsonGet implements Connection.Handler {

    /**
     * Request parameters.
     *
     * @param headers additional header lines, each with its line terminator
     * @param maxResponseBytes maximum size of head and body together
     */
    record Request(String path, String headers, int maxResponseBytes) {}

    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_HEAD_BYTES = 1024;
    private static final int MAX_REQUEST_BYTES = 4096;
    private static final String HEAD_END = "\r\n\r\n";
    private static final String CONTENT_LENGTH = "Content-Length: ";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final int maxResponseBytes;
    private final Consumer<Optional<JsonNode>> callback;
    private final EventLoop.Timer timeout;
    private boolean completed;
    /** Null if the connection could not be opened. */
    private Connection connection;

    private JsonGet(EventLoop loop, int maxResponseBytes, Consumer<Optional<JsonNode>> callback) {
        this.maxResponseBytes = maxResponseBytes;
        this.callback = callback;
        timeout = loop.schedule(TIMEOUT, this::fail);
    }

    static void send(
            EventLoop loop, InetSocketAddress address, Request request, Consumer<Optional<JsonNode>> callback) {
        JsonGet get = new JsonGet(loop, request.maxResponseBytes, callback);
        String head = "GET " + request.path + " HTTP/1.1\r\nHost: it\r\n" + request.headers + "\r\n";
        try {
            get.connection =
                    Connection.connect(loop, address, get, request.maxResponseBytes, MAX_REQUEST_BYTES, TIMEOUT);
            get.connection.write(StandardCharsets.US_ASCII.encode(head));
        } catch (IOException e) {
            get.fail();
        }
    }

    private void fail() {
        complete(Optional.empty());
    }

    private void complete(Optional<JsonNode> response) {
        if (completed) {
            return;
        }
        completed = true;
        timeout.cancel();
        if (connection != null) {
            connection.close(CloseReason.COMPLETED);
        }
        callback.accept(response);
    }

    @Override
    public void onReceived(ByteBuffer input) {
        String start = StandardCharsets.ISO_8859_1
                .decode(input.slice(input.position(), Math.min(input.remaining(), MAX_HEAD_BYTES)))
                .toString();
        int headLength = start.indexOf(HEAD_END);
        int contentLengthAt = start.indexOf(CONTENT_LENGTH);
        if (headLength < 0 || contentLengthAt < 0 || contentLengthAt > headLength) {
            if (input.remaining() >= Math.min(maxResponseBytes, MAX_HEAD_BYTES)) {
                fail();
            }
            return;
        }
        try {
            String contentLength =
                    start.substring(contentLengthAt + CONTENT_LENGTH.length(), start.indexOf('\r', contentLengthAt));
            receiveBody(start, headLength + HEAD_END.length(), Integer.parseInt(contentLength.strip()), input);
        } catch (IOException | NumberFormatException e) {
            fail();
        }
    }

    private void receiveBody(String head, int bodyAt, int bodyLength, ByteBuffer input) throws IOException {
        if (bodyLength < 0 || bodyLength > maxResponseBytes - bodyAt) {
            fail();
        } else if (input.remaining() - bodyAt >= bodyLength) {
            byte[] body = new byte[bodyLength];
            input.get(input.position() + bodyAt, body);
            boolean isOk = head.startsWith("HTTP/1.1 200 ");
            complete(isOk ? Optional.ofNullable(JSON.readTree(body)) : Optional.empty());
        }
    }

    @Override
    public void onClosed(CloseReason reason) {
        fail();
    }
}
