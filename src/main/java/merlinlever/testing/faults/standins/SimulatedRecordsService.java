package merlinlever.testing.faults.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.ConnectionAcceptor;
import merlinlever.common.net.EventLoop;
import merlinlever.testing.faults.audit.QuotaAudit;

/** The records service as the protocol page has it, one for all backends: answers each call after the same time, and counts. */
public final class SimulatedRecordsService {

    private static final int BUFFER = 16 * 1024;

    private final EventLoop loop;
    private final Duration takes;
    private final QuotaAudit shares;
    private final ConnectionAcceptor listener;
    private final java.util.Set<CallConnection> lines = new java.util.LinkedHashSet<>();

    /** On the loop's thread, as all of it. */
    public SimulatedRecordsService(EventLoop loop, InetSocketAddress address, Duration takes, QuotaAudit shares)
            throws IOException {
        this.loop = loop;
        this.takes = takes;
        this.shares = shares;
        listener = new ConnectionAcceptor(
                loop,
                address,
                4000,
                channel -> {
                    CallConnection made = new CallConnection();
                    made.connection = Connection.accepted(loop, channel, made, BUFFER, BUFFER);
                    lines.add(made);
                    made.connection.resumeReading();
                },
                () -> {});
        listener.accept();
    }

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    public void close() {
        listener.close();
    }

    /** It is lost: nothing listens, and what was open breaks off. */
    public void lose() {
        listener.close();
        java.util.List.copyOf(lines).forEach(line -> line.connection.close(CloseReason.HANDLER_FAILED));
    }

    private final class CallConnection implements Connection.Handler {
        private final Map<String, EventLoop.Timer> calls = new HashMap<>();
        private Connection connection;

        @Override
        public void onReceived(ByteBuffer in) {
            while (true) {
                String text = StandardCharsets.ISO_8859_1.decode(in.duplicate()).toString();
                int end = text.indexOf("\r\n");
                if (end < 0) {
                    return;
                }
                String[] words = text.substring(0, end).split(" ");
                if (words[0].equals("UNOP") && words.length == 2) {
                    in.position(in.position() + end + 2);
                    over(words[1]);
                } else if (words[0].equals("OP") && words.length == 4) {
                    int length = Integer.parseInt(words[3]);
                    if (text.length() < end + 2 + length + 2) {
                        return;
                    }
                    in.position(in.position() + end + 2 + length + 2);
                    begin(words[1]);
                } else {
                    connection.close(CloseReason.PROTOCOL_ERROR);
                    return;
                }
            }
        }

        private void begin(String id) {
            over(id);
            shares.began(loop.clock().uptime().toMillis(), id);
            calls.put(id, loop.schedule(takes, () -> {
                over(id);
                connection.write(ByteBuffer.wrap((id + " DONE 2\r\nok\r\n").getBytes(StandardCharsets.US_ASCII)));
            }));
        }

        private void over(String id) {
            EventLoop.Timer call = calls.remove(id);
            if (call != null) {
                call.cancel();
                shares.ended();
            }
        }

        @Override
        public void onClosed(CloseReason how) {
            lines.remove(this);
            java.util.List.copyOf(calls.keySet()).forEach(this::over);
            listener.connectionClosed();
        }
    }
}
