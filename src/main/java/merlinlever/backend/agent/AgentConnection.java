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

/** A TCP connection to the agent. Subscribes to events once connected, and splits the received bytes into lines. */
final class AgentConnection implements Connection.Handler {

    private static final int MAX_LINE_BYTES = 64 * 1024;
    private static final int MAX_QUEUED_BYTES = 8 * 1024 * 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** Receives the lines and the close of a connection. */
    interface Listener {
        /** Returns the offset of the last event read; the connection subscribes to all later events. */
        long lastOffset();

        /** Called for each received line, without its line end. */
        void onLine(AgentConnection source, String line);

        /** Called once, when the connection has been closed. */
        void onClosed(AgentConnection source, CloseReason reason);
    }

    private final EventLoop loop;
    private final Listener listener;
    private final Log log;
    private final LineDecoder lineDecoder = new LineDecoder(MAX_LINE_BYTES);
    private Connection connection;
    private Duration connectedAt;

    private AgentConnection(EventLoop loop, Listener listener, Log log) {
        this.loop = loop;
        this.listener = listener;
        this.log = log;
    }

    /**
     * Starts connecting to the agent.
     *
     * @throws IOException if no socket can be opened
     */
    static AgentConnection connect(EventLoop loop, InetSocketAddress address, Listener listener, Log log)
            throws IOException {
        AgentConnection handler = new AgentConnection(loop, listener, log);
        handler.connection =
                Connection.connect(loop, address, handler, MAX_LINE_BYTES, MAX_QUEUED_BYTES, CONNECT_TIMEOUT);
        return handler;
    }

    /** Returns the time at which the connection was established, on the loop's clock. */
    Duration connectedAt() {
        return connectedAt;
    }

    /** Queues a command for writing; the command includes its line end. */
    void send(String command) {
        connection.write(ByteBuffer.wrap(command.getBytes(StandardCharsets.UTF_8)));
    }

    /** Closes the connection and calls {@link Listener#onClosed} before returning. */
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
        if (!lineDecoder.decode(input, line -> listener.onLine(this, line))) {
            // Reconnecting would not help: the agent would send the same line again.
            log.write(LogEvent.warn("agent-line-ignored")
                    .with("reason", "too-long")
                    .with("max_bytes", MAX_LINE_BYTES));
            lineDecoder.skipLine(input);
        }
    }

    @Override
    public void onClosed(CloseReason reason) {
        listener.onClosed(this, reason);
    }
}
