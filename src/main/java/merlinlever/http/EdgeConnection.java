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

    static final int BUFFER = RequestHead.LONGEST + RequestHead.LONGEST_BODY;
    static final int MOST_QUEUED = 64 * 1024;

    private static final byte[] NOTHING = {};
    private static final byte[] GO_ON = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** What it is about: before its first whole message, waiting for one, reading one, having one in hand, answering, awaiting its end. */
    enum State {
        NEW,
        IDLE,
        RECEIVING,
        IN_HAND,
        ANSWERING,
        LINGERING
    }

    private final EdgeServer owner;
    private final RequestHead head = new RequestHead();
    private Connection connection;
    private State state = State.NEW;
    private TrackedRequest work;
    private int seen;
    private boolean last, asked;
    private CloseReason how = CloseReason.DONE;

    EdgeConnection(EdgeServer owner) {
        this.owner = owner;
    }

    void on(Connection made) {
        connection = made;
        become(State.NEW);
    }

    Connection connection() {
        return connection;
    }

    /** How it ends where this side ends it after its last word. */
    CloseReason how() {
        return how;
    }

    /**
     * Ends it in good order while no message is in hand. What crosses this was sent to a connection that may be closed:
     * it is read, as a close over unread bytes would be a reset, and it goes no further, as it could not be answered.
     */
    void shut(CloseReason as) {
        if (state == State.NEW || state == State.IDLE || state == State.RECEIVING) {
            how = as;
            become(State.LINGERING);
            connection.writeNoMore();
            connection.readAgain();
        }
    }

    private void become(State next) {
        if (connection.ended() == null) {
            owner.moved(this, state, next);
            state = next;
        }
    }

    @Override
    public void read(ByteBuffer in) {
        if (state == State.LINGERING) {
            in.position(in.limit());
        } else if (state == State.NEW || state == State.IDLE || state == State.RECEIVING) {
            message(in);
        }
    }

    private void message(ByteBuffer in) {
        byte[] bytes = in.array();
        while (in.remaining() >= 2 && bytes[in.position()] == '\r' && bytes[in.position() + 1] == '\n') {
            in.position(in.position() + 2);
            seen = 0;
        }
        int start = in.position();
        int end = RequestHead.end(bytes, start, start + seen, in.limit());
        if (in.hasRemaining() && state == State.IDLE) {
            become(State.RECEIVING);
        }
        if (end < 0 || end - start > RequestHead.LONGEST) {
            seen = in.remaining();
            if (end >= 0 || seen >= RequestHead.LONGEST) {
                give(in, 431);
            }
            return;
        }
        int wrong = head.read(bytes, start, end);
        if (wrong != 0) {
            give(in, wrong);
            return;
        }
        int length = Math.max(0, head.length());
        if (in.limit() - end < length) {
            seen = end - start - 4;
            if (head.expectsToBeAsked() && !asked) {
                asked = true;
                connection.write(ByteBuffer.wrap(GO_ON));
            }
            return;
        }
        in.position(end + length);
        seen = 0;
        asked = false;
        last = head.closes();
        become(State.IN_HAND);
        String path = head.path();
        if (path.equals(EdgeServer.HEALTH)) {
            health();
        } else if (path.startsWith(EdgeServer.OPERATIONS)) {
            operation(path.substring(EdgeServer.OPERATIONS.length()), Arrays.copyOfRange(bytes, end, end + length));
        } else {
            answer(404, NOTHING, "");
        }
    }

    /** What came is not to be understood; its place in the stream is lost. */
    private void give(ByteBuffer in, int status) {
        in.position(in.limit());
        last = true;
        become(State.IN_HAND);
        answer(status, NOTHING, "");
    }

    private void health() {
        if (!head.method().equals("GET")) {
            answer(405, NOTHING, "Allow: GET\r\n");
        } else if (head.asks("real=1")) {
            owner.backend().runDeepCheck(this::checked);
        } else {
            checked(owner.backend().isHealthy());
        }
    }

    private void checked(boolean good) {
        if (state == State.IN_HAND) {
            answer(good ? 200 : 503, NOTHING, "");
        }
    }

    private void operation(String tariff, byte[] body) {
        int index = owner.backend().priorityClassIndex(tariff);
        if (index < 0) {
            answer(404, NOTHING, "");
            return;
        }
        if (!head.method().equals("POST")) {
            answer(405, NOTHING, "Allow: POST\r\n");
            return;
        }
        if (head.length() < 0) {
            last = true;
            answer(411, NOTHING, "");
            return;
        }
        RequestMetadata operation = owner.asked(head, tariff, index);
        if (operation == null) {
            answer(400, NOTHING, "");
            return;
        }
        TrackedRequest taken = owner.backend()
                .receive(owner.clock().now(), operation, body, this)
                .orElse(null);
        work = state == State.IN_HAND ? taken : null;
    }

    @Override
    public void succeed(byte[] result) {
        answer(200, result, "");
    }

    @Override
    public void reject(boolean nowhereElse, Duration stayAway) {
        String fields = stayAway.isZero() ? "" : "Srv-Wait-Ms: " + Math.max(1, stayAway.toMillis()) + "\r\n";
        answer(503, NOTHING, nowhereElse ? fields + "Srv-Last: 1\r\n" : fields);
    }

    @Override
    public void fail() {
        answer(500, NOTHING, "");
    }

    private void answer(int status, byte[] body, String fields) {
        work = null;
        last |= owner.closing();
        StringBuilder out = new StringBuilder(120)
                .append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(reason(status))
                .append("\r\nContent-Length: ")
                .append(body.length)
                .append("\r\n");
        out.append(owner.level()).append(fields).append(last ? "Connection: close\r\n\r\n" : "\r\n");
        become(State.ANSWERING);
        connection.write(ByteBuffer.wrap(out.toString().getBytes(StandardCharsets.US_ASCII)), ByteBuffer.wrap(body));
    }

    private static String reason(int status) {
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
    public void written() {
        if (state != State.ANSWERING) {
            return;
        }
        if (last) {
            become(State.LINGERING);
            connection.writeNoMore();
        } else {
            become(State.IDLE);
        }
        connection.readAgain();
    }

    @Override
    public void ended(CloseReason how) {
        TrackedRequest open = work;
        work = null;
        owner.gone(this, state);
        if (open != null) {
            owner.backend().callerDisconnected(owner.clock().now(), open);
        }
    }
}
