package merlinlever.backend.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import merlinlever.backend.Backend;
import merlinlever.backend.RequestMetadata;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.ConnectionAcceptor;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.controller.settings.ControllerSettings;

/** The HTTP server that edge nodes connect to: accepts connections, and limits their number, age and idle time. */
public final class EdgeServer {

    static final String REQUEST_PATH_PREFIX = "/svc/";
    static final String HEALTH_CHECK_PATH = "/status/live";

    /** Connections in these states may be shut down with no answer owed. */
    private static final List<EdgeConnection.State> STATES_WITHOUT_REQUEST =
            List.of(EdgeConnection.State.NEW, EdgeConnection.State.IDLE, EdgeConnection.State.RECEIVING);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);
    /** This fraction of the connections is kept free for new ones, at least {@link #MIN_FREE_CONNECTIONS}. */
    private static final int FREE_FRACTION_DIVISOR = 8;

    private static final int MIN_FREE_CONNECTIONS = 4;
    /**
     * Edge nodes close idle connections themselves after the configured time; this server waits for a multiple of it.
     */
    private static final int IDLE_TIMEOUT_FACTOR = 2;

    private final EventLoop loop;
    private final Backend backend;
    private final RequestMetadataParser requestParser;
    private final EdgeConnectionTable connections;
    private final EdgeConnectionReaper reaper;
    /** Null before {@link #listen}, and where connections are only added. */
    private ConnectionAcceptor acceptor;

    private boolean closing;
    private double encodedLoadLevel = Double.NaN;
    private String loadHeader = "";

    /** @param settings of the controller of the backend */
    public EdgeServer(EventLoop loop, Backend backend, ControllerSettings settings) {
        this.loop = loop;
        this.backend = backend;
        requestParser = new RequestMetadataParser(settings.priorityClasses(), loop.clock());
        connections = new EdgeConnectionTable(loop.clock());
        long configuredIdleMs = settings.callers().idleTimeout().toMillis();
        reaper = new EdgeConnectionReaper(loop, connections, Duration.ofMillis(IDLE_TIMEOUT_FACTOR * configuredIdleMs));
        loop.runNowAndEvery(SWEEP_INTERVAL, this::sweep);
    }

    /**
     * Accepts connections at the address.
     *
     * @throws IOException if it cannot be listened at
     */
    public void listen(InetSocketAddress address, int maxConnections) throws IOException {
        int free = Math.min(Math.max(MIN_FREE_CONNECTIONS, maxConnections / FREE_FRACTION_DIVISOR), maxConnections / 2);
        reaper.setMaxOpenConnections(maxConnections - free);
        acceptor = new ConnectionAcceptor(
                loop,
                address,
                maxConnections,
                channel -> addConnection(handler -> Connection.accepted(
                        loop, channel, handler, EdgeConnection.READ_BUFFER_BYTES, EdgeConnection.MAX_QUEUED_BYTES)),
                () -> reaper.makeRoom(acceptor::accept));
        acceptor.accept();
    }

    /** Serves a connection, which the factory makes for its handler. */
    public void addConnection(Function<Connection.Handler, Connection> factory) {
        EdgeConnection edge = new EdgeConnection(this);
        Connection connection = factory.apply(edge);
        edge.attach(connection);
        connection.resumeReading();
        reaper.evictExcess();
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    Backend backend() {
        return backend;
    }

    MonotonicClock clock() {
        return loop.clock();
    }

    /** The request in the message; empty if a header field is missing or invalid. */
    Optional<RequestMetadata> parseRequest(RequestHead head, String className, int classIndex) {
        return requestParser.parse(head, className, classIndex);
    }

    /** The header field with the load level, which each response carries; empty while there is no level. */
    String loadHeader() {
        double level = backend.backpressureLevel();
        if (level != encodedLoadLevel) {
            encodedLoadLevel = level;
            loadHeader = Double.isNaN(level) ? "" : String.format(Locale.ROOT, "Srv-Load: %.4f\r\n", level);
        }
        return loadHeader;
    }

    /** Whether each response ends its connection. */
    boolean isClosing() {
        return closing;
    }

    /** Accepts the backlog only from now on, and ends connections with their next response. */
    public void close() {
        closing = true;
        acceptor.closeAfterBacklog();
    }

    /** Shuts down the connections that no answer is owed on; what still comes on them is read and not run. */
    public void closeIdleConnections() {
        for (EdgeConnection.State state : STATES_WITHOUT_REQUEST) {
            connections.in(state).forEach(connection -> connection.shutDown(CloseReason.IDLE));
        }
    }

    /** Whether every request has been answered and the answers have been written. */
    public boolean hasFlushedAllResponses() {
        return count(EdgeConnection.State.RESPONDING) == 0 && count(EdgeConnection.State.IN_FLIGHT) == 0;
    }

    /** Whether no connection is open and, after {@link #close}, none can come. */
    public boolean hasNoConnections() {
        return (!closing || acceptor.isClosed()) && count() == 0;
    }

    /** Closes connections that are idle for longer. */
    public void setIdleTimeout(Duration timeout) {
        reaper.setIdleTimeout(timeout);
    }

    void stateChanged(EdgeConnection connection, EdgeConnection.State from, EdgeConnection.State to) {
        connections.move(connection, from, to);
    }

    void connectionClosed(EdgeConnection connection, EdgeConnection.State state) {
        connections.remove(connection, state);
        if (acceptor != null) {
            acceptor.connectionClosed();
        }
    }

    /** How many connections are open in the state. */
    int count(EdgeConnection.State state) {
        return connections.count(state);
    }

    /** How many connections are open. */
    int count() {
        return connections.count();
    }

    private void sweep() {
        connections.checkpoint();
        reaper.closeOverdue();
        if (acceptor != null) {
            reaper.evictExcess();
            // Connections that were busy when the table was full may be idle by now.
            acceptor.accept();
        }
    }
}
