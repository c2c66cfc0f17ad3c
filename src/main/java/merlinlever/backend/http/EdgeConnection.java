package merlinlever.backend.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import merlinlever.backend.RequestMetadata;
import merlinlever.backend.ResponseSink;
import merlinlever.backend.TrackedRequest;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;

/** A connection from an edge node. Serves one request at a time, and reads the next one after the response. */
final class EdgeConnection implements Connection.Handler, ResponseSink {

    static final int READ_BUFFER_BYTES = RequestHead.MAX_BYTES + RequestHead.MAX_BODY_BYTES;
    static final int MAX_QUEUED_BYTES = 64 * 1024;

    private static final byte[] EMPTY_BODY = {};
    private static final String NO_HEADERS = "";
    private static final byte[] CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    /** Length of the two line ends that terminate a head. */
    private static final int HEAD_END_BYTES = 4;

    private static final int TYPICAL_HEAD_CHARS = 120;

    /** The state of a connection. */
    enum State {
        /** No complete request has been received yet. */
        NEW,
        /** Between two requests. */
        IDLE,
        /** A later request has been received in part; the first request is received in state {@link #NEW}. */
        RECEIVING,
        /** A complete request is being processed. */
        IN_FLIGHT,
        /** A response is being written. */
        RESPONDING,
        /** The server has shut down its output; further input is dropped until the peer closes the connection. */
        LINGERING
    }

    private final EdgeServer server;
    private final RequestHead head = new RequestHead();
    private Connection connection;
    private State state = State.NEW;
    /** The request that is waiting for its outcome in the backend, or null. */
    private TrackedRequest inFlight;
    /** Number of bytes after the buffer's position that have been scanned and do not contain the end of a head. */
    private int scannedBytes;

    private boolean closeAfterResponse;
    private boolean continueSent;
    private CloseReason closeReason = CloseReason.COMPLETED;

    EdgeConnection(EdgeServer server) {
        this.server = server;
    }

    /** Sets the underlying connection. Must be called once, before any other method. */
    void attach(Connection newConnection) {
        connection = newConnection;
        changeState(State.NEW);
    }

    /** Returns the reason to report when the connection is closed after lingering. */
    CloseReason closeReason() {
        return closeReason;
    }

    /** Closes the connection immediately. */
    void close(CloseReason reason) {
        connection.close(reason);
    }

    /**
     * Shuts down the output, unless a request is being processed or answered. Further input is read and dropped,
     * because closing a socket with unread bytes would reset the connection. Edge nodes must expect that a request
     * which races the close is not run.
     */
    void shutDown(CloseReason reason) {
        if (acceptsRequests()) {
            closeReason = reason;
            changeState(State.LINGERING);
            connection.shutdownOutput();
            connection.redeliver();
        }
    }

    private boolean acceptsRequests() {
        return state == State.NEW || state == State.IDLE || state == State.RECEIVING;
    }

    private void changeState(State newState) {
        if (connection.isOpen()) {
            server.stateChanged(this, state, newState);
            state = newState;
        }
    }

    // ---- requests

    @Override
    public void onReceived(ByteBuffer input) {
        if (state == State.LINGERING) {
            input.position(input.limit());
        } else if (acceptsRequests()) {
            readRequest(input);
        }
    }

    private void readRequest(ByteBuffer input) {
        skipBlankLines(input);
        byte[] bytes = input.array();
        int start = input.position();
        int headEnd = RequestHead.findEnd(bytes, start, start + scannedBytes, input.limit());
        if (input.hasRemaining() && state == State.IDLE) {
            changeState(State.RECEIVING);
        }
        if (headEnd < 0 || headEnd - start > RequestHead.MAX_BYTES) {
            scannedBytes = input.remaining();
            if (headEnd >= 0 || scannedBytes >= RequestHead.MAX_BYTES) {
                rejectMalformed(input, HttpStatus.HEAD_TOO_LARGE);
            }
            return;
        }
        HttpStatus parseStatus = head.parse(bytes, start, headEnd);
        if (parseStatus != HttpStatus.OK) {
            rejectMalformed(input, parseStatus);
            return;
        }
        int bodyBytes = Math.max(0, head.contentLength());
        if (input.limit() - headEnd < bodyBytes) {
            awaitBody(headEnd - start);
            return;
        }
        input.position(headEnd + bodyBytes);
        scannedBytes = 0;
        continueSent = false;
        closeAfterResponse = head.closesConnection();
        changeState(State.IN_FLIGHT);
        route(bytes, headEnd, headEnd + bodyBytes);
    }

    private void skipBlankLines(ByteBuffer input) {
        byte[] bytes = input.array();
        while (input.remaining() >= 2 && bytes[input.position()] == '\r' && bytes[input.position() + 1] == '\n') {
            input.position(input.position() + 2);
            scannedBytes = 0;
        }
    }

    private void awaitBody(int headBytes) {
        scannedBytes = headBytes - HEAD_END_BYTES;
        if (head.expectsContinue() && !continueSent) {
            continueSent = true;
            connection.write(ByteBuffer.wrap(CONTINUE_RESPONSE));
        }
    }

    /** Responds to a malformed request, and closes the connection because the start of the next request is unknown. */
    private void rejectMalformed(ByteBuffer input, HttpStatus status) {
        input.position(input.limit());
        closeAfterResponse = true;
        changeState(State.IN_FLIGHT);
        respond(status, EMPTY_BODY, NO_HEADERS);
    }

    private void route(byte[] bytes, int bodyStart, int bodyEnd) {
        String path = head.path();
        if (path.equals(EdgeServer.HEALTH_CHECK_PATH)) {
            handleHealthCheck();
        } else if (path.startsWith(EdgeServer.REQUEST_PATH_PREFIX)) {
            String service = path.substring(EdgeServer.REQUEST_PATH_PREFIX.length());
            acceptRequest(service, Arrays.copyOfRange(bytes, bodyStart, bodyEnd));
        } else {
            respond(HttpStatus.NOT_FOUND, EMPTY_BODY, NO_HEADERS);
        }
    }

    private void handleHealthCheck() {
        if (!head.method().equals("GET")) {
            respond(HttpStatus.METHOD_NOT_ALLOWED, EMPTY_BODY, "Allow: GET\r\n");
        } else if (head.hasQueryParameter("real=1")) {
            server.backend().runDeepCheck(this::respondToHealthCheck);
        } else {
            respondToHealthCheck(server.backend().isHealthy());
        }
    }

    private void respondToHealthCheck(boolean healthy) {
        // The connection may have been closed before the result of a deep check arrives.
        if (state == State.IN_FLIGHT) {
            respond(healthy ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE, EMPTY_BODY, NO_HEADERS);
        }
    }

    private void acceptRequest(String service, byte[] body) {
        int priorityClass = server.backend().priorityClassIndex(service);
        if (priorityClass < 0) {
            respond(HttpStatus.NOT_FOUND, EMPTY_BODY, NO_HEADERS);
            return;
        }
        if (!head.method().equals("POST")) {
            respond(HttpStatus.METHOD_NOT_ALLOWED, EMPTY_BODY, "Allow: POST\r\n");
            return;
        }
        if (head.contentLength() < 0) {
            closeAfterResponse = true;
            respond(HttpStatus.LENGTH_REQUIRED, EMPTY_BODY, NO_HEADERS);
            return;
        }
        Optional<RequestMetadata> metadata = server.parseRequest(head, service, priorityClass);
        if (metadata.isEmpty()) {
            respond(HttpStatus.BAD_REQUEST, EMPTY_BODY, NO_HEADERS);
            return;
        }
        Optional<TrackedRequest> request =
                server.backend().receive(server.clock().now(), metadata.get(), body, this);
        // The request may have been answered already, or the connection may have failed.
        inFlight = state == State.IN_FLIGHT ? request.orElse(null) : null;
    }

    // ---- responses

    @Override
    public void succeed(byte[] result) {
        respond(HttpStatus.OK, result, NO_HEADERS);
    }

    @Override
    public void reject(boolean finalRejection, Duration retryAfter) {
        String headers = retryAfter.isZero() ? "" : "Srv-Wait-Ms: " + Math.max(1, retryAfter.toMillis()) + "\r\n";
        respond(HttpStatus.SERVICE_UNAVAILABLE, EMPTY_BODY, finalRejection ? headers + "Srv-Last: 1\r\n" : headers);
    }

    @Override
    public void fail() {
        respond(HttpStatus.INTERNAL_SERVER_ERROR, EMPTY_BODY, NO_HEADERS);
    }

    /** @param headers additional header lines, each including its line end */
    @SuppressWarnings("UnnecessaryStringBuilder") // the initial capacity avoids resizing for each response
    private void respond(HttpStatus status, byte[] body, String headers) {
        inFlight = null;
        closeAfterResponse |= server.isClosing();
        StringBuilder out = new StringBuilder(TYPICAL_HEAD_CHARS)
                .append("HTTP/1.1 ")
                .append(status.code())
                .append(' ')
                .append(status.reasonPhrase())
                .append("\r\nContent-Length: ")
                .append(body.length)
                .append("\r\n")
                .append(server.loadHeader())
                .append(headers)
                .append(closeAfterResponse ? "Connection: close\r\n\r\n" : "\r\n");
        changeState(State.RESPONDING);
        connection.write(ByteBuffer.wrap(out.toString().getBytes(StandardCharsets.US_ASCII)), ByteBuffer.wrap(body));
    }

    @Override
    public void onFlushed() {
        if (state != State.RESPONDING) {
            return;
        }
        if (closeAfterResponse) {
            changeState(State.LINGERING);
            connection.shutdownOutput();
        } else {
            changeState(State.IDLE);
        }
        connection.redeliver();
    }

    @Override
    public void onClosed(CloseReason reason) {
        TrackedRequest abandonedRequest = inFlight;
        inFlight = null;
        server.connectionClosed(this, state);
        if (abandonedRequest != null) {
            server.backend().callerDisconnected(server.clock().now(), abandonedRequest);
        }
    }
}
