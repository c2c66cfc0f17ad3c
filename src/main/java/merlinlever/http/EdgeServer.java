package merlinlever.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import merlinlever.core.Backend;
import merlinlever.core.RequestMetadata;
import merlinlever.core.SettingsTranslator;
import merlinlever.net.CloseReason;
import merlinlever.net.Connection;
import merlinlever.net.ConnectionAcceptor;
import merlinlever.net.EventLoop;
import merlinlever.net.MonotonicClock;

/** The side that edge nodes connect to: the listener and all its connections, by what they are about and how long. */
public final class EdgeServer {

    static final String REQUEST_PATH_PREFIX = "/svc/";
    static final String HEALTH_CHECK_PATH = "/status/live";

    /** What may be shut with nobody waiting for an answer. */
    private static final List<EdgeConnection.State> RESTING =
            List.of(EdgeConnection.State.NEW, EdgeConnection.State.IDLE, EdgeConnection.State.RECEIVING);

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);
    private static final Duration MAX_TRANSFER_TIME = Duration.ofSeconds(5);
    /** Whoever connects is to hear something within 3 s; who has said nothing whole so long after it is no edge node. */
    private static final Duration MAX_FIRST_REQUEST_WAIT = Duration.ofMillis(2500);

    private static final Duration MAX_LINGER = Duration.ofSeconds(1);
    /** Out of room: what was shut has at least so long for what crosses that, and these states are shut after so long. */
    private static final Duration MIN_LINGER = Duration.ofMillis(50);

    private static final Duration EVICTABLE_NEW_AFTER = Duration.ofMillis(250);
    private static final Duration EVICTABLE_SLOW_AFTER = Duration.ofSeconds(1);
    /** So many connections, one part of them, are kept free for whoever comes next. */
    private static final int FREE_FRACTION_DIVISOR = 8;

    private static final int MIN_FREE_CONNECTIONS = 4;
    /** A stall, of the process or the machine, counts as no more than this: nothing was read meanwhile. */
    private static final Duration MAX_COUNTED_PAUSE = Duration.ofMillis(500);
    /** Edge nodes close what is idle for the stated time; only what they forget is closed by that alone. */
    private static final int IDLE_TIMEOUT_FACTOR = 2;

    private final EventLoop loop;
    private final Backend backend;
    private final RequestMetadataParser requestParser;
    private final Map<EdgeConnection.State, LinkedHashMap<EdgeConnection, Duration>> enteredStateAt =
            new EnumMap<>(EdgeConnection.State.class);
    private ConnectionAcceptor acceptor;
    private Duration idleTimeout;
    private Duration activeTimeAtSweep = Duration.ZERO;
    private Duration sweptAt;
    private int maxOpenConnections = Integer.MAX_VALUE;
    private boolean closing, evictionScheduled;
    private double encodedLoadLevel = Double.NaN;
    private String loadHeader = "";

    public EdgeServer(EventLoop loop, Backend backend, Map<String, String> given) {
        this.loop = loop;
        this.backend = backend;
        requestParser = new RequestMetadataParser(given);
        for (EdgeConnection.State state : EdgeConnection.State.values()) {
            enteredStateAt.put(state, new LinkedHashMap<>());
        }
        idleTimeout = Duration.ofMillis(IDLE_TIMEOUT_FACTOR * (long) SettingsTranslator.number(given, "server.idle", 30_000));
        sweptAt = loop.clock().uptime();
        loop.runNowAndEvery(SWEEP_INTERVAL, this::sweep);
    }

    public void listen(InetSocketAddress address, int mostConnections) throws IOException {
        maxOpenConnections = mostConnections - Math.min(Math.max(MIN_FREE_CONNECTIONS, mostConnections / FREE_FRACTION_DIVISOR), mostConnections / 2);
        acceptor = new ConnectionAcceptor(
                loop,
                address,
                mostConnections,
                channel -> addConnection(user ->
                        Connection.accepted(loop, channel, user, EdgeConnection.READ_BUFFER_BYTES, EdgeConnection.MAX_QUEUED_BYTES)),
                this::evictForNextConnection);
        acceptor.accept();
    }

    /** Takes a connection, which is made round its user. */
    public void addConnection(Function<Connection.Handler, Connection> maker) {
        EdgeConnection edge = new EdgeConnection(this);
        Connection made = maker.apply(edge);
        edge.attach(made);
        made.resumeReading();
        evictExcessConnections();
    }

    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    Backend backend() {
        return backend;
    }

    MonotonicClock clock() {
        return loop.clock();
    }

    /** The operation that the message holds, or null. */
    RequestMetadata parseRequest(RequestHead head, String tariff, int index) {
        return requestParser.parse(head, tariff, index, loop.clock());
    }

    /** The field that goes with every answer, or nothing. */
    String loadHeader() {
        double now = backend.backpressureLevel();
        if (now != encodedLoadLevel) {
            encodedLoadLevel = now;
            loadHeader = Double.isNaN(now) ? "" : String.format(Locale.ROOT, "Srv-Load: %.4f\r\n", now);
        }
        return loadHeader;
    }

    /** Whether each answer asks for the end of its connection. */
    boolean isClosing() {
        return closing;
    }

    /** Nothing is accepted any more but who waits already, and connections end with their next answer. */
    public void close() {
        closing = true;
        acceptor.closeAfterBacklog();
    }

    /** Connections with no message in hand end; what still comes on them is read and not run. */
    public void closeIdleConnections() {
        for (EdgeConnection.State state : RESTING) {
            List.copyOf(enteredStateAt.get(state).keySet()).forEach(edge -> edge.shutDown(CloseReason.IDLE));
        }
    }

    /** Whether every answer that was given has been written. */
    public boolean hasFlushedAllResponses() {
        return count(EdgeConnection.State.RESPONDING) == 0 && count(EdgeConnection.State.IN_FLIGHT) == 0;
    }

    /** Whether no connection is open and, once it closes, none can come. */
    public boolean hasNoConnections() {
        return (!closing || acceptor.isClosed()) && count() == 0;
    }

    public void setIdleTimeout(Duration after) {
        idleTimeout = after;
    }

    void stateChanged(EdgeConnection edge, EdgeConnection.State from, EdgeConnection.State to) {
        enteredStateAt.get(from).remove(edge);
        enteredStateAt.get(to).put(edge, activeTime());
    }

    void connectionClosed(EdgeConnection edge, EdgeConnection.State from) {
        enteredStateAt.get(from).remove(edge);
        if (acceptor != null) {
            acceptor.connectionClosed();
        }
    }

    /** How many connections are open in the state. */
    int count(EdgeConnection.State state) {
        return enteredStateAt.get(state).size();
    }

    /** How many are open in all. */
    int count() {
        return enteredStateAt.values().stream().mapToInt(Map::size).sum();
    }

    /** The time that this side has been at work. */
    private Duration activeTime() {
        Duration span = loop.clock().uptime().minus(sweptAt);
        return activeTimeAtSweep.plus(span.compareTo(MAX_COUNTED_PAUSE) > 0 ? MAX_COUNTED_PAUSE : span);
    }

    /** Out of room: what was shut long enough ago goes; else something is shut, and its turn comes. */
    private void evictForNextConnection() {
        evictExcessConnections();
        EdgeConnection shut = oldest(EdgeConnection.State.LINGERING, Duration.ZERO);
        if (shut == null && evictOne()) {
            shut = oldest(EdgeConnection.State.LINGERING, Duration.ZERO);
        }
        if (oldest(EdgeConnection.State.LINGERING, MIN_LINGER) != null) {
            shut.connection().close(shut.closeReason());
        } else if (shut != null && !evictionScheduled) {
            evictionScheduled = true;
            loop.schedule(MIN_LINGER, () -> {
                evictionScheduled = false;
                acceptor.accept();
            });
        }
    }

    /** Some room stays free, so that who comes next need not wait until what is shut has gone. */
    private void evictExcessConnections() {
        boolean more = true;
        while (more && count() - count(EdgeConnection.State.LINGERING) > maxOpenConnections) {
            more = evictOne();
        }
    }

    /** Those first that have brought nothing whole for longer than a message takes; then the idlest. */
    private boolean evictOne() {
        EdgeConnection one = oldest(EdgeConnection.State.NEW, EVICTABLE_NEW_AFTER);
        one = one != null ? one : oldest(EdgeConnection.State.RECEIVING, EVICTABLE_SLOW_AFTER);
        one = one != null ? one : oldest(EdgeConnection.State.IDLE, Duration.ZERO);
        if (one != null) {
            one.shutDown(CloseReason.IDLE);
            return true;
        }
        one = oldest(EdgeConnection.State.RESPONDING, EVICTABLE_SLOW_AFTER);
        if (one != null) {
            one.connection().close(CloseReason.TIMED_OUT);
        }
        return one != null;
    }

    /** The one that is in the state for longest, if that is so long, or null. */
    private EdgeConnection oldest(EdgeConnection.State state, Duration least) {
        Iterator<Map.Entry<EdgeConnection, Duration>> all =
                enteredStateAt.get(state).entrySet().iterator();
        Map.Entry<EdgeConnection, Duration> first = all.hasNext() ? all.next() : null;
        return first == null || first.getValue().plus(least).compareTo(activeTime()) > 0 ? null : first.getKey();
    }

    private void sweep() {
        activeTimeAtSweep = activeTime();
        sweptAt = loop.clock().uptime();
        shutOlderThan(EdgeConnection.State.NEW, MAX_FIRST_REQUEST_WAIT, CloseReason.TIMED_OUT);
        shutOlderThan(EdgeConnection.State.IDLE, idleTimeout, CloseReason.IDLE);
        shutOlderThan(EdgeConnection.State.RECEIVING, MAX_TRANSFER_TIME, CloseReason.TIMED_OUT);
        closeOlderThan(EdgeConnection.State.RESPONDING, MAX_TRANSFER_TIME);
        closeOlderThan(EdgeConnection.State.LINGERING, MAX_LINGER);
        if (acceptor != null) {
            evictExcessConnections();
            // What was busy when room was asked for may rest by now.
            acceptor.accept();
        }
    }

    private void shutOlderThan(EdgeConnection.State state, Duration older, CloseReason how) {
        if (oldest(state, older) != null) {
            // Behind what has been read already and waits for its turn.
            loop.execute(() -> {
                for (EdgeConnection edge = oldest(state, older); edge != null; edge = oldest(state, older)) {
                    edge.shutDown(how);
                }
            });
        }
    }

    private void closeOlderThan(EdgeConnection.State state, Duration older) {
        for (EdgeConnection edge = oldest(state, older); edge != null; edge = oldest(state, older)) {
            edge.connection().close(state == EdgeConnection.State.LINGERING ? edge.closeReason() : CloseReason.TIMED_OUT);
        }
    }
}
