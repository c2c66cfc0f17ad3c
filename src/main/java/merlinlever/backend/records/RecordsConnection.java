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

/** A connection to the records service. Carries one call at a time, and can be reused after one complete reply. */
final class RecordsConnection implements Connection.Handler {

    private static final int MAX_QUEUED_BYTES = 64 * 1024;
    private static final int LINE_ENDS_BYTES = 4;
    private static final int READ_BUFFER_BYTES =
            RecordsReply.MAX_LINE_BYTES + RecordsReply.MAX_BODY_BYTES + LINE_ENDS_BYTES;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final byte[] LINE_END = {'\r', '\n'};

    /** Receives the events of a connection. */
    interface Listener {
        /** Handles the reply to the connection's call. */
        void onReply(PendingCall call, RecordsReply reply);

        /** Handles a connection that can carry another call. */
        void onIdle(RecordsConnection connection);

        /** Handles the close of the connection; called once. */
        void onClosed(RecordsConnection connection, CloseReason reason);

        /** Returns whether the address is still the address of the service. */
        boolean isCurrent(InetSocketAddress address);
    }

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Listener listener;
    private final Log log;
    private Connection connection;
    /** The call in flight; null if there is none. */
    private PendingCall call;
    /** The id of the request of the last call, also after the end of the call. */
    private long lastRequestId;

    private boolean connected;
    private boolean receivedUnexpectedReply;
    private boolean hasPartialReply;
    /** When bytes were last received. */
    private Duration lastReceivedAt;

    private RecordsConnection(EventLoop loop, InetSocketAddress address, Listener listener, Log log) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        this.log = log;
    }

    /**
     * Opens a connection and begins to connect.
     *
     * @throws IOException if no socket can be opened
     */
    static RecordsConnection connect(EventLoop loop, InetSocketAddress address, Listener listener, Log log)
            throws IOException {
        RecordsConnection newConnection = new RecordsConnection(loop, address, listener, log);
        newConnection.connection =
                Connection.connect(loop, address, newConnection, READ_BUFFER_BYTES, MAX_QUEUED_BYTES, CONNECT_TIMEOUT);
        return newConnection;
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isConnected() {
        return connected;
    }

    /** Returns the call in flight; null if there is none. */
    PendingCall call() {
        return call;
    }

    /** Returns the id of the request of the last call, also after the end of the call. */
    long lastRequestId() {
        return lastRequestId;
    }

    /** Returns whether no bytes have been received for at least the duration. */
    boolean isIdleFor(Duration duration) {
        return lastReceivedAt.plus(duration).compareTo(loop.clock().uptime()) <= 0;
    }

    /** Returns whether a partial reply has not been continued for at least the duration. */
    boolean isStalledFor(Duration duration) {
        return hasPartialReply && isIdleFor(duration);
    }

    /** Sends the call with its remaining time as timeout. */
    void send(PendingCall newCall) {
        call = newCall;
        newCall.setConnection(this);
        lastRequestId = newCall.request().id();
        long timeoutMs =
                Math.max(1, newCall.deadline().minus(loop.clock().uptime()).toMillis());
        String head = "OP " + newCall.request().idText() + " " + timeoutMs + " " + newCall.body().length + "\r\n";
        connection.write(
                ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII)),
                ByteBuffer.wrap(newCall.body()),
                ByteBuffer.wrap(LINE_END));
    }

    /** Detaches the call, which has ended or waits for another connection. */
    void detachCall() {
        call.setConnection(null);
        call = null;
    }

    /** Closes the connection; {@link Listener#onClosed} is called before the method returns. */
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
        lastReceivedAt = loop.clock().uptime();
        hasPartialReply = input.hasRemaining();
        if (call != null) {
            return;
        }
        if (receivedUnexpectedReply || hasPartialReply) {
            close(CloseReason.PROTOCOL_ERROR);
        } else if (!listener.isCurrent(address)) {
            close(CloseReason.COMPLETED);
        } else {
            listener.onIdle(this);
        }
    }

    private void readReplies(ByteBuffer input) throws RecordsReply.MalformedReplyException {
        Optional<RecordsReply> parsed = RecordsReply.parse(input.array(), input.position(), input.limit());
        while (parsed.isPresent()) {
            RecordsReply reply = parsed.get();
            input.position(reply.end());
            if (call != null && reply.requestId() == lastRequestId) {
                listener.onReply(call, reply);
            } else {
                receivedUnexpectedReply = true;
            }
            parsed = RecordsReply.parse(input.array(), input.position(), input.limit());
        }
    }

    @Override
    public void onClosed(CloseReason reason) {
        listener.onClosed(this, reason);
    }
}
