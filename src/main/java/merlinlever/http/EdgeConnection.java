package merlinlever.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import merlinlever.core.RequestMetadata;
import merlinlever.core.ResponseSink;
import merlinlever.core.TrackedRequest;
import merlinlever.net.CloseReason;
import merlinlever.net.Connection;

/** One connection of an edge node: one message at a time, answered before the next is looked at. */
final class EdgeConnection implements Connection.Handler, ResponseSink {

    static final int READ_BUFFER_BYTES = RequestHead.MAX_BYTES + RequestHead.MAX_BODY_BYTES;
    static final int MAX_QUEUED_BYTES = 64 * 1024;

    private static final byte[] EMPTY_BODY = {};
    private static final byte[] CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** What it is about: before its first whole message, waiting for one, reading one, having one in hand, answering, awaiting its end. */
    enum State {
        NEW,
        IDLE,
        RECEIVING,
        IN_FLIGHT,
        RESPONDING,
        LINGERING
    }

    private final EdgeServer server;
    private final RequestHead head = new RequestHead();
    private Connection connection;
    private State state = State.NEW;
    private TrackedRequest inFlight;
    private int scannedBytes;
    private boolean closeAfterResponse, continueSent;
    private CloseReason closeReason = CloseReason.COMPLETED;

    EdgeConnection(EdgeServer server) {
        this.server = server;
    }

    void attach(Connection made) {
        connection = made;
        changeState(State.NEW);
    }

    Connection connection() {
        return connection;
    }

    /** How it ends where this side ends it after its last word. */
    CloseReason closeReason() {
        return closeReason;
    }

    /**
     * Ends it in good order while no message is in hand. What crosses this was sent to a connection that may be closed:
     * it is read, as a close over unread bytes would be a reset, and it goes no further, as it could not be answered.
     */
    void shutDown(CloseReason as) {
        if (state == State.NEW || state == State.IDLE || state == State.RECEIVING) {
            closeReason = as;
            changeState(State.LINGERING);
            connection.shutdownOutput();
            connection.redeliver();
        }
    }

    private void changeState(State next) {
        if (connection.closeReason() == null) {
            server.stateChanged(this, state, next);
            state = next;
        }
    }

    @Override
    public void onReceived(ByteBuffer in) {
        if (state == State.LINGERING) {
            in.position(in.limit());
        } else if (state == State.NEW || state == State.IDLE || state == State.RECEIVING) {
            readRequest(in);
        }
    }

    private void readRequest(ByteBuffer in) {
        byte[] bytes = in.array();
        while (in.remaining() >= 2 && bytes[in.position()] == '\r' && bytes[in.position() + 1] == '\n') {
            in.position(in.position() + 2);
            scannedBytes = 0;
        }
        int start = in.position();
        int end = RequestHead.findEnd(bytes, start, start + scannedBytes, in.limit());
        if (in.hasRemaining() && state == State.IDLE) {
            changeState(State.RECEIVING);
        }
        if (end < 0 || end - start > RequestHead.MAX_BYTES) {
            scannedBytes = in.remaining();
            if (end >= 0 || scannedBytes >= RequestHead.MAX_BYTES) {
                rejectMalformed(in, 431);
            }
            return;
        }
        int wrong = head.parse(bytes, start, end);
        if (wrong != 0) {
            rejectMalformed(in, wrong);
            return;
        }
        int length = Math.max(0, head.contentLength());
        if (in.limit() - end < length) {
            scannedBytes = end - start - 4;
            if (head.expectsContinue() && !continueSent) {
                continueSent = true;
                connection.write(ByteBuffer.wrap(CONTINUE_RESPONSE));
            }
            return;
        }
        in.position(end + length);
        scannedBytes = 0;
        continueSent = false;
        closeAfterResponse = head.closesConnection();
        changeState(State.IN_FLIGHT);
        String path = head.path();
        if (path.equals(EdgeServer.HEALTH_CHECK_PATH)) {
            answerHealthCheck();
        } else if (path.startsWith(EdgeServer.REQUEST_PATH_PREFIX)) {
            acceptRequest(path.substring(EdgeServer.REQUEST_PATH_PREFIX.length()), Arrays.copyOfRange(bytes, end, end + length));
        } else {
            respond(404, EMPTY_BODY, "");
        }
    }

    /** What came is not to be understood; its place in the stream is lost. */
    private void rejectMalformed(ByteBuffer in, int status) {
        in.position(in.limit());
        closeAfterResponse = true;
        changeState(State.IN_FLIGHT);
        respond(status, EMPTY_BODY, "");
    }

    private void answerHealthCheck() {
        if (!head.method().equals("GET")) {
            respond(405, EMPTY_BODY, "Allow: GET\r\n");
        } else if (head.hasQueryParameter("real=1")) {
            server.backend().runDeepCheck(this::answerHealth);
        } else {
            answerHealth(server.backend().isHealthy());
        }
    }

    private void answerHealth(boolean good) {
        if (state == State.IN_FLIGHT) {
            respond(good ? 200 : 503, EMPTY_BODY, "");
        }
    }

    private void acceptRequest(String tariff, byte[] body) {
        int index = server.backend().priorityClassIndex(tariff);
        if (index < 0) {
            respond(404, EMPTY_BODY, "");
            return;
        }
        if (!head.method().equals("POST")) {
            respond(405, EMPTY_BODY, "Allow: POST\r\n");
            return;
        }
        if (head.contentLength() < 0) {
            closeAfterResponse = true;
            respond(411, EMPTY_BODY, "");
            return;
        }
        RequestMetadata operation = server.parseRequest(head, tariff, index);
        if (operation == null) {
            respond(400, EMPTY_BODY, "");
            return;
        }
        TrackedRequest taken = server.backend()
                .receive(server.clock().now(), operation, body, this)
                .orElse(null);
        inFlight = state == State.IN_FLIGHT ? taken : null;
    }

    @Override
    public void succeed(byte[] result) {
        respond(200, result, "");
    }

    @Override
    public void reject(boolean nowhereElse, Duration stayAway) {
        String fields = stayAway.isZero() ? "" : "Srv-Wait-Ms: " + Math.max(1, stayAway.toMillis()) + "\r\n";
        respond(503, EMPTY_BODY, nowhereElse ? fields + "Srv-Last: 1\r\n" : fields);
    }

    @Override
    public void fail() {
        respond(500, EMPTY_BODY, "");
    }

    private void respond(int status, byte[] body, String fields) {
        inFlight = null;
        closeAfterResponse |= server.isClosing();
        StringBuilder out = new StringBuilder(120)
                .append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(reasonPhrase(status))
                .append("\r\nContent-Length: ")
                .append(body.length)
                .append("\r\n");
        out.append(server.loadHeader()).append(fields).append(closeAfterResponse ? "Connection: close\r\n\r\n" : "\r\n");
        changeState(State.RESPONDING);
        connection.write(ByteBuffer.wrap(out.toString().getBytes(StandardCharsets.US_ASCII)), ByteBuffer.wrap(body));
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 411 -> "Length Required";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 501 -> "Not Implemented";
            default -> "Service Unavailable";
        };
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
    public void onClosed(CloseReason how) {
        TrackedRequest open = inFlight;
        inFlight = null;
        server.connectionClosed(this, state);
        if (open != null) {
            server.backend().callerDisconnected(server.clock().now(), open);
        }
    }
}
