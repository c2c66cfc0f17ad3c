package merlinlever.backend.agent;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import merlinlever.common.log.Log;
import merlinlever.common.log.LogEvent;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.EventLoop;

/** One TCP connection to the agent: subscribes once it is made, and cuts what comes into lines. */
final class AgentConnection implements Connection.Handler {

    private static final int MAX_LINE_BYTES = 64 * 1024;
    private static final int MAX_QUEUED_BYTES = 8 * 1024 * 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** Receives what happens on a connection. */
    interface Listener {
        /** The offset after which events are wanted. */
        long lastOffset();

        /** One line has come, without its line end. */
        void onLine(AgentConnection source, String line);

        /** The connection is closed; called once. */
        void onClosed(AgentConnection source, CloseReason reason);
    }

    private final EventLoop loop;
    private final Listener listener;
    private final Log log;
    private final LineDecoder lines = new LineDecoder(MAX_LINE_BYTES);
    private Connection connection;
    private Duration connectedAt;

    private AgentConnection(EventLoop loop, Listener listener, Log log) {
        this.loop = loop;
        this.listener = listener;
        this.log = log;
    }

    /**
     * Begins to connect.
     *
     * @throws IOException if no socket can be opened
     */
    static AgentConnection connect(EventLoop loop, InetSocketAddress address, Listener listener, Log log)
            throws IOException {
        AgentConnection made = new AgentConnection(loop, listener, log);
        made.connection = Connection.connect(loop, address, made, MAX_LINE_BYTES, MAX_QUEUED_BYTES, CONNECT_TIMEOUT);
        return made;
    }

    /** When the connection was established, on the loop's clock. */
    Duration connectedAt() {
        return connectedAt;
    }

    /** Queues one command, which ends with its line end. */
    void send(String command) {
        connection.write(ByteBuffer.wrap(command.getBytes(StandardCharsets.UTF_8)));
    }

    /** Closes it; {@link Listener#onClosed} is called before this returns. */
    void close(CloseReason reason) {
        connection.close(reason);
    }

    @Override
    public void onConnected() {
        connectedAt = loop.clock().now();
        send(AgentCommands.subscribe(listener.lastOffset()));
    }

    @Override
    public void onReceived(ByteBuffer input) {
        if (!lines.decode(input, line -> listener.onLine(this, line))) {
            // Closing would not help: on a new connection the same line would come again.
            log.write(LogEvent.warn("agent-line-ignored")
                    .with("reason", "too-long")
                    .with("max_bytes", MAX_LINE_BYTES));
            lines.skipLine(input);
        }
    }

    @Override
    public void onClosed(CloseReason reason) {
        listener.onClosed(this, reason);
    }
}
