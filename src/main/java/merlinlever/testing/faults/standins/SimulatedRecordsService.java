package merlinlever.testing.faults.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.ConnectionAcceptor;
import merlinlever.common.net.EventLoop;
import merlinlever.testing.faults.audit.QuotaAudit;

/**
 * Simulates the records service that all backends share. Answers each call after a fixed response time and reports
 * calls to a {@link QuotaAudit}. Must be used only on the thread of the loop.
 */
public final class SimulatedRecordsService {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_CONNECTIONS = 4000;
    private static final String LINE_END = "\r\n";
    /** Number of words in a cancellation line, "UNOP id". */
    private static final int CANCEL_WORDS = 2;
    /** Number of words in a call line: "OP", the id, an unused word and the length of the body. */
    private static final int CALL_WORDS = 4;

    private static final int CALL_LENGTH_WORD = 3;

    private final EventLoop loop;
    private final Duration responseTime;
    private final QuotaAudit audit;
    private final ConnectionAcceptor acceptor;
    private final Set<CallConnection> connections = new LinkedHashSet<>();

    /** Starts the service. */
    public SimulatedRecordsService(EventLoop loop, InetSocketAddress address, Duration responseTime, QuotaAudit audit)
            throws IOException {
        this.loop = loop;
        this.responseTime = responseTime;
        this.audit = audit;
        acceptor = new ConnectionAcceptor(
                loop,
                address,
                MAX_CONNECTIONS,
                channel -> {
                    CallConnection accepted = new CallConnection();
                    accepted.connection = Connection.accepted(loop, channel, accepted, BUFFER_BYTES, BUFFER_BYTES);
                    connections.add(accepted);
                    accepted.connection.resumeReading();
                },
                () -> {});
        acceptor.accept();
    }

    /** The address that the service listens on. */
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    /** Stops listening; open connections remain open. */
    public void close() {
        acceptor.close();
    }

    /** Simulates an outage: stops listening and closes all open connections. */
    public void lose() {
        acceptor.close();
        List.copyOf(connections).forEach(open -> open.connection.close(CloseReason.HANDLER_FAILED));
    }

    private final class CallConnection implements Connection.Handler {
        private final Map<String, EventLoop.Timer> calls = new HashMap<>();
        private Connection connection;

        @Override
        public void onReceived(ByteBuffer in) {
            while (true) {
                String text = StandardCharsets.ISO_8859_1.decode(in.duplicate()).toString();
                int end = text.indexOf(LINE_END);
                if (end < 0) {
                    return;
                }
                String[] words = text.substring(0, end).split(" ");
                if (words[0].equals("UNOP") && words.length == CANCEL_WORDS) {
                    in.position(in.position() + end + LINE_END.length());
                    endCall(words[1]);
                } else if (words[0].equals("OP") && words.length == CALL_WORDS) {
                    int length = Integer.parseInt(words[CALL_LENGTH_WORD]);
                    int messageLength = end + LINE_END.length() + length + LINE_END.length();
                    if (text.length() < messageLength) {
                        return;
                    }
                    in.position(in.position() + messageLength);
                    beginCall(words[1]);
                } else {
                    connection.close(CloseReason.PROTOCOL_ERROR);
                    return;
                }
            }
        }

        private void beginCall(String id) {
            endCall(id);
            audit.recordStart(loop.clock().uptime().toMillis(), id);
            calls.put(id, loop.schedule(responseTime, () -> {
                endCall(id);
                connection.write(ByteBuffer.wrap((id + " DONE 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII)));
            }));
        }

        private void endCall(String id) {
            EventLoop.Timer call = calls.remove(id);
            if (call != null) {
                call.cancel();
                audit.recordEnd();
            }
        }

        @Override
        public void onClosed(CloseReason reason) {
            connections.remove(this);
            List.copyOf(calls.keySet()).forEach(this::endCall);
            acceptor.connectionClosed();
        }
    }
}
