package merlinlever.backend.records;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import merlinlever.common.log.Log;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.EventLoop;

/** One connection to the downstream service: carries one call at a time, and is reused after one complete reply. */
final class RecordsConnection implements Connection.Handler {

    private static final int MAX_QUEUED_BYTES = 64 * 1024;
    private static final int LINE_ENDS_BYTES = 4;
    private static final int READ_BUFFER_BYTES =
            RecordsReply.MAX_LINE_BYTES + RecordsReply.MAX_BODY_BYTES + LINE_ENDS_BYTES;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final byte[] LINE_END = {'\r', '\n'};

    /** Receives the events of a connection. */
    interface Listener {
        /** The reply to the connection's call. */
        void onReply(PendingCall call, RecordsReply reply);

        /** The connection may carry another call. */
        void onIdle(RecordsConnection connection);

        /** The connection is closed; called once. */
        void onClosed(RecordsConnection connection, CloseReason reason);

        /** Whether the service is still reached at the address. */
        boolean isCurrent(InetSocketAddress address);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Listener listener;
    private final Log log;
    private Connection connection;
    /** The call in flight; null if there is none. */
    private PendingCall call;
    /** The request of the last call, also when that is over. */
    private long lastRequestId;

    private boolean connected;
    private boolean receivedSurplus;
    private boolean hasPartialReply;
    /** Since when it has been idle, or has held a part of a reply. */
    private Duration lastReadAt;

    private RecordsConnection(EventLoop loop, InetSocketAddress address, Listener listener, Log log) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        this.log = log;
    }

    /**
     * Begins to connect.
     *
     * @throws IOException if no socket can be opened
     */
    static RecordsConnection connect(EventLoop loop, InetSocketAddress address, Listener listener, Log log)
            throws IOException {
        RecordsConnection made = new RecordsConnection(loop, address, listener, log);
        made.connection = Connection.connect(loop, address, made, READ_BUFFER_BYTES, MAX_QUEUED_BYTES, CONNECT_TIMEOUT);
        return made;
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isConnected() {
        return connected;
    }

    /** The call in flight; null if there is none. */
    PendingCall call() {
        return call;
    }

    /** The request of the last call, also when that is over. */
    long lastRequestId() {
        return lastRequestId;
    }

    /** Whether it has been idle for at least the time. */
    boolean isIdleFor(Duration time) {
        return lastReadAt.plus(time).compareTo(loop.clock().uptime()) <= 0;
    }

    /** Whether a reply has begun and its rest has not come for at least the time. */
    boolean isStalledFor(Duration time) {
        return hasPartialReply && isIdleFor(time);
    }

    /** Sends the call, with the time that is left for it. */
    void send(PendingCall next) {
        call = next;
        next.setConnection(this);
        lastRequestId = next.request().id();
        long timeoutMs =
                Math.max(1, next.deadline().minus(loop.clock().uptime()).toMillis());
        String head = "OP " + next.request().idText() + " " + timeoutMs + " " + next.body().length + "\r\n";
        connection.write(
                ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII)),
                ByteBuffer.wrap(next.body()),
                ByteBuffer.wrap(LINE_END));
    }

    /** The call is over, or waits for another connection. */
    void detachCall() {
        call.setConnection(null);
        call = null;
    }

    /** Closes it; {@link Listener#onClosed} is called before this returns. */
    void close(CloseReason reason) {
        connection.close(reason);
    }

    @Override
    public void onConnected() {
        connected = true;
    }

    @Override
    public void onReceived(ByteBuffer input) {
        try {
            readReplies(input);
        } catch (RecordsReply.MalformedReplyException e) {
            log.warn("records-reply-malformed detail=" + e.getMessage());
            close(CloseReason.PROTOCOL_ERROR);
            return;
        }
        lastReadAt = loop.clock().uptime();
        hasPartialReply = input.hasRemaining();
        if (call != null) {
            return;
        }
        if (receivedSurplus || hasPartialReply) {
            close(CloseReason.PROTOCOL_ERROR);
        } else if (!listener.isCurrent(address)) {
            close(CloseReason.COMPLETED);
        } else {
            listener.onIdle(this);
        }
    }

    private void readReplies(ByteBuffer input) throws RecordsReply.MalformedReplyException {
        Optional<RecordsReply> next = RecordsReply.parse(input.array(), input.position(), input.limit());
        while (next.isPresent()) {
            RecordsReply reply = next.get();
            input.position(reply.end());
            if (call != null && reply.requestId() == lastRequestId) {
                listener.onReply(call, reply);
            } else {
                receivedSurplus = true;
            }
            next = RecordsReply.parse(input.array(), input.position(), input.limit());
        }
    }

    @Override
    public void onClosed(CloseReason reason) {
        listener.onClosed(this, reason);
    }
}
