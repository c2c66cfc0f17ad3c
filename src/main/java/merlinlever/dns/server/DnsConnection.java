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

/** One TCP connection (RFC 7766): messages with their length before them, answers in the order in which they are ready. */
final class DnsConnection implements Connection.Handler {

    /** Octets of the length before each message (RFC 1035 section 4.2.2). */
    private static final int LENGTH_BYTES = Short.BYTES;

    /** Octets of the largest message with its length. */
    static final int READ_BUFFER = LENGTH_BYTES + DnsMessage.MAX_BYTES;

    /** Octets that wait to be written: a few responses of the largest size. */
    static final int MAX_QUEUED_BYTES = 8 * READ_BUFFER;

    /** Pending messages of one connection; further ones are read when one is answered. */
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
    private ZoneTransfer sending;
    private Consumer<Boolean> transferDone;
    private final ArrayDeque<Runnable> queuedTransfers = new ArrayDeque<>(0);
    private boolean isClosing;

    DnsConnection(EventLoop loop, RequestProcessor processor, Consumer<DnsConnection> onClosed) {
        this.loop = loop;
        this.processor = processor;
        this.onClosed = onClosed;
        idleSince = loop.clock().now();
    }

    void attach(Connection mine) {
        connection = mine;
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
            ConnectionReply one = new ConnectionReply();
            PendingMessage asked = processor.receive(now, octets, Duration.ZERO, one);
            if (asked != null && !one.answered) {
                one.asked = asked;
                inFlight.add(asked);
            } else if (!one.answered) {
                // Not a question: nothing that such a peer says next is worth reading.
                connection.close(CloseReason.PROTOCOL_ERROR);
                return;
            }
        }
        idleSince = now;
    }

    /** Where the answer to one message goes. */
    private final class ConnectionReply implements ReplyChannel {
        private PendingMessage asked;
        private boolean answered;

        @Override
        public boolean isDatagram() {
            return false;
        }

        private void over() {
            answered = true;
            inFlight.remove(asked);
            idleSince = loop.clock().now();
            // Behind this batch: what waits in the buffer is read now that there is room.
            loop.execute(connection::redeliver);
        }

        @Override
        public void answer(byte[] octets) {
            over();
            if (octets == null) {
                connection.close(CloseReason.COMPLETED);
            } else {
                write(octets);
            }
        }

        @Override
        public void answer(ZoneTransfer transfer, Consumer<Boolean> done) {
            if (!connection.isOpen()) {
                done.accept(false);
                return;
            }
            Runnable begin = () -> {
                sending = transfer;
                transferDone = well -> {
                    over();
                    done.accept(well);
                };
                sendNextMessage();
            };
            if (sending == null) {
                begin.run();
            } else {
                queuedTransfers.add(begin);
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
        byte[] octets = sending.next();
        if (octets != null) {
            write(octets);
            return;
        }
        Consumer<Boolean> done = transferDone;
        sending = null;
        transferDone = null;
        done.accept(true);
        if (!queuedTransfers.isEmpty()) {
            queuedTransfers.poll().run();
        }
    }

    @Override
    public void onFlushed() {
        unwrittenSince = null;
        idleSince = loop.clock().now();
        if (sending != null) {
            sendNextMessage();
        } else if (isClosing && inFlight.isEmpty()) {
            connection.close(CloseReason.COMPLETED);
        }
    }

    @Override
    public void onClosed(CloseReason how) {
        Duration now = loop.clock().now();
        for (PendingMessage asked : List.copyOf(inFlight)) {
            processor.clientDisconnected(now, asked);
        }
        inFlight.clear();
        if (sending != null) {
            Consumer<Boolean> done = transferDone;
            sending = null;
            transferDone = null;
            done.accept(false);
        }
        onClosed.accept(this);
    }

    /** Closes the connection if it was idle, or slow, for too long. */
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

    private static boolean hasElapsed(Duration since, Duration now, Duration span) {
        return now.minus(since).compareTo(span) >= 0;
    }

    /** Closes the connection after the last response. */
    void closeWhenAnswered() {
        isClosing = true;
        if (inFlight.isEmpty() && unwrittenSince == null) {
            connection.close(CloseReason.COMPLETED);
        }
    }

    /** Closes the connection if nothing is pending on it; returns whether it did. */
    boolean closeIfIdle() {
        if (inFlight.isEmpty() && unwrittenSince == null) {
            connection.close(CloseReason.IDLE);
            return true;
        }
        return false;
    }
}
