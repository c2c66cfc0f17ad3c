package merlinlever.dns.server;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.EventLoop;
import merlinlever.dns.wire.DnsMessage;

/** A TCP connection (RFC 7766). Each message is preceded by its length; responses are sent as they become ready. */
final class DnsConnection implements Connection.Handler {

    /** Size in octets of the length field before each message (RFC 1035 section 4.2.2). */
    private static final int LENGTH_BYTES = Short.BYTES;

    /** Size in octets of the largest message including its length field. */
    static final int READ_BUFFER_BYTES = LENGTH_BYTES + DnsMessage.MAX_BYTES;

    /** Maximum number of octets queued for writing; room for a few responses of the largest size. */
    static final int MAX_QUEUED_BYTES = 8 * READ_BUFFER_BYTES;

    /** Maximum number of pending messages of a connection; reading pauses at this limit. */
    private static final int MAX_IN_FLIGHT = 64;

    private static final Duration MESSAGE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

    private final EventLoop loop;
    private final RequestProcessor processor;
    private final Consumer<DnsConnection> onClosed;
    private Connection connection;
    private final List<PendingMessage> inFlight = new ArrayList<>(2);
    private Duration idleSince;
    private Duration incompleteSince;
    private Duration unwrittenSince;
    private ZoneTransfer currentTransfer;
    private Consumer<Boolean> onTransferEnded;
    private final ArrayDeque<Runnable> queuedTransfers = new ArrayDeque<>(0);
    private boolean isClosing;

    DnsConnection(EventLoop loop, RequestProcessor processor, Consumer<DnsConnection> onClosed) {
        this.loop = loop;
        this.processor = processor;
        this.onClosed = onClosed;
        idleSince = loop.clock().now();
    }

    void attach(Connection opened) {
        connection = opened;
        connection.resumeReading();
    }

    @Override
    public void onReceived(ByteBuffer in) {
        Duration now = loop.clock().now();
        incompleteSince = in.hasRemaining() && incompleteSince == null ? now : incompleteSince;
        while (in.remaining() >= LENGTH_BYTES && inFlight.size() < MAX_IN_FLIGHT) {
            int length = Short.toUnsignedInt(in.getShort(in.position()));
            if (in.remaining() < LENGTH_BYTES + length) {
                break;
            }
            in.position(in.position() + LENGTH_BYTES);
            byte[] octets = new byte[length];
            in.get(octets);
            incompleteSince = in.hasRemaining() ? now : null;
            ConnectionReply reply = new ConnectionReply();
            PendingMessage pending = processor.receive(now, octets, Duration.ZERO, reply);
            if (pending != null && !reply.isAnswered) {
                reply.pending = pending;
                inFlight.add(pending);
            } else if (!reply.isAnswered) {
                // The message was dropped because it is not a request; the peer does not follow the protocol.
                connection.close(CloseReason.PROTOCOL_ERROR);
                return;
            }
        }
        idleSince = now;
    }

    /** Sends the response to one message over the connection. */
    private final class ConnectionReply implements ReplyChannel {
        private PendingMessage pending;
        private boolean isAnswered;

        @Override
        public boolean isDatagram() {
            return false;
        }

        private void finish() {
            isAnswered = true;
            inFlight.remove(pending);
            idleSince = loop.clock().now();
            // Reads buffered messages after this batch, because a pending message has ended.
            loop.execute(connection::redeliver);
        }

        @Override
        public void answer(byte[] octets) {
            finish();
            if (octets == null) {
                connection.close(CloseReason.COMPLETED);
            } else {
                write(octets);
            }
        }

        @Override
        public void answer(ZoneTransfer transfer, Consumer<Boolean> onEnded) {
            if (!connection.isOpen()) {
                onEnded.accept(false);
                return;
            }
            Runnable start = () -> {
                currentTransfer = transfer;
                onTransferEnded = isComplete -> {
                    finish();
                    onEnded.accept(isComplete);
                };
                sendNextMessage();
            };
            if (currentTransfer == null) {
                start.run();
            } else {
                queuedTransfers.add(start);
            }
        }
    }

    private void write(byte[] octets) {
        ByteBuffer out = ByteBuffer.allocate(LENGTH_BYTES + octets.length)
                .putShort((short) octets.length)
                .put(octets);
        unwrittenSince = unwrittenSince == null ? loop.clock().now() : unwrittenSince;
        connection.write(out.flip());
    }

    private void sendNextMessage() {
        byte[] octets = currentTransfer.next();
        if (octets != null) {
            write(octets);
            return;
        }
        Consumer<Boolean> onEnded = onTransferEnded;
        currentTransfer = null;
        onTransferEnded = null;
        onEnded.accept(true);
        if (!queuedTransfers.isEmpty()) {
            queuedTransfers.poll().run();
        }
    }

    @Override
    public void onFlushed() {
        unwrittenSince = null;
        idleSince = loop.clock().now();
        if (currentTransfer != null) {
            sendNextMessage();
        } else if (isClosing && inFlight.isEmpty()) {
            connection.close(CloseReason.COMPLETED);
        }
    }

    @Override
    public void onClosed(CloseReason reason) {
        Duration now = loop.clock().now();
        for (PendingMessage pending : List.copyOf(inFlight)) {
            processor.clientDisconnected(now, pending);
        }
        inFlight.clear();
        if (currentTransfer != null) {
            Consumer<Boolean> onEnded = onTransferEnded;
            currentTransfer = null;
            onTransferEnded = null;
            onEnded.accept(false);
        }
        onClosed.accept(this);
    }

    /** Closes the connection if an idle, read or write timeout has elapsed. */
    void closeIfTimedOut(Duration now) {
        if ((incompleteSince != null
                        && inFlight.size() < MAX_IN_FLIGHT
                        && hasElapsed(incompleteSince, now, MESSAGE_TIMEOUT))
                || (unwrittenSince != null && hasElapsed(unwrittenSince, now, MESSAGE_TIMEOUT))) {
            connection.close(CloseReason.TIMED_OUT);
        } else if (inFlight.isEmpty() && unwrittenSince == null && hasElapsed(idleSince, now, IDLE_TIMEOUT)) {
            connection.close(CloseReason.IDLE);
        }
    }

    private static boolean hasElapsed(Duration since, Duration now, Duration timeout) {
        return now.minus(since).compareTo(timeout) >= 0;
    }

    /** Closes the connection after the last response. */
    void closeWhenAnswered() {
        isClosing = true;
        if (inFlight.isEmpty() && unwrittenSince == null) {
            connection.close(CloseReason.COMPLETED);
        }
    }

    /** Closes the connection if it has no pending message and no unwritten octets; returns whether it was closed. */
    boolean closeIfIdle() {
        if (inFlight.isEmpty() && unwrittenSince == null) {
            connection.close(CloseReason.IDLE);
            return true;
        }
        return false;
    }
}
