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

/** The HTTP server for edge nodes. Accepts connections, and limits their number, age and idle time. */
public final class EdgeServer {

    static final String REQUEST_PATH_PREFIX = "/svc/";
    static final String HEALTH_CHECK_PATH = "/status/live";

    /** The states in which a connection can be shut down because no response is pending. */
    private static final List<EdgeConnection.State> STATES_WITHOUT_REQUEST =
            List.of(EdgeConnection.State.NEW, EdgeConnection.State.IDLE, EdgeConnection.State.RECEIVING);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);
    /** The connection limit is divided by this number to get the number of connections kept free for new ones. */
    private static final int FREE_FRACTION_DIVISOR = 8;

    private static final int MIN_FREE_CONNECTIONS = 4;
    /** Factor applied to the configured idle time, after which the edge nodes close idle connections themselves. */
    private static final int IDLE_TIMEOUT_FACTOR = 2;

    private final EventLoop loop;
    private final Backend backend;
    private final RequestMetadataParser requestParser;
    private final EdgeConnectionTable connections;
    private final EdgeConnectionReaper reaper;
    /** Null before {@link #listen}, and if connections are only added with {@link #addConnection}. */
    private ConnectionAcceptor acceptor;

    private boolean closing;
    private double encodedLoadLevel = Double.NaN;
    private String loadHeader = "";

    /** @param settings the settings of the backend's controller */
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
     * Starts to accept connections at the address.
     *
     * @throws IOException if the server cannot listen at the address
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

    /** Serves a connection that the factory creates with the given handler. */
    public void addConnection(Function<Connection.Handler, Connection> factory) {
        EdgeConnection edgeConnection = new EdgeConnection(this);
        Connection connection = factory.apply(edgeConnection);
        edgeConnection.attach(connection);
        connection.resumeReading();
        reaper.evictExcess();
    }

    /** Returns the address that the server listens at. */
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    Backend backend() {
        return backend;
    }

    MonotonicClock clock() {
        return loop.clock();
    }

    /** Returns the metadata of the request, or empty if a header field is missing or invalid. */
    Optional<RequestMetadata> parseRequest(RequestHead head, String className, int classIndex) {
        return requestParser.parse(head, className, classIndex);
    }

    /** Returns the header line with the load level, sent in each response, or an empty string if there is no level. */
    String loadHeader() {
        double level = backend.backpressureLevel();
        if (level != encodedLoadLevel) {
            encodedLoadLevel = level;
            loadHeader = Double.isNaN(level) ? "" : String.format(Locale.ROOT, "Srv-Load: %.4f\r\n", level);
        }
        return loadHeader;
    }

    /** Returns whether each connection is closed after its next response. */
    boolean isClosing() {
        return closing;
    }

    /** Accepts only the connections in the backlog from now on, and closes each connection after its next response. */
    public void close() {
        closing = true;
        acceptor.closeAfterBacklog();
    }

    /** Shuts down the connections without a pending response; requests received on them later are not run. */
    public void closeIdleConnections() {
        for (EdgeConnection.State state : STATES_WITHOUT_REQUEST) {
            connections.connectionsIn(state).forEach(connection -> connection.shutDown(CloseReason.IDLE));
        }
    }

    /** Returns whether every request has been answered and all responses have been written. */
    public boolean hasFlushedAllResponses() {
        return count(EdgeConnection.State.RESPONDING) == 0 && count(EdgeConnection.State.IN_FLIGHT) == 0;
    }

    /** Returns whether no connection is open and, after {@link #close}, no further connection can be accepted. */
    public boolean hasNoConnections() {
        return (!closing || acceptor.isClosed()) && count() == 0;
    }

    /** Sets the time after which idle connections are shut down. */
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

    /** Returns the number of connections in the state. */
    int count(EdgeConnection.State state) {
        return connections.count(state);
    }

    /** Returns the number of open connections. */
    int count() {
        return connections.count();
    }

    private void sweep() {
        connections.checkpoint();
        reaper.closeOverdue();
        if (acceptor != null) {
            reaper.evictExcess();
            // Connections that were busy when the table was full may have become idle.
            acceptor.accept();
        }
    }
}
