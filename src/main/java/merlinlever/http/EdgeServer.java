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

    static final String OPERATIONS = "/svc/";
    static final String HEALTH = "/status/live";

    /** What may be shut with nobody waiting for an answer. */
    private static final List<EdgeConnection.State> RESTING =
            List.of(EdgeConnection.State.NEW, EdgeConnection.State.IDLE, EdgeConnection.State.RECEIVING);

    private static final Duration SWEEP = Duration.ofMillis(100);
    private static final Duration SLOWEST = Duration.ofSeconds(5);
    /** Whoever connects is to hear something within 3 s; who has said nothing whole so long after it is no edge node. */
    private static final Duration FIRST = Duration.ofMillis(2500);

    private static final Duration LINGER = Duration.ofSeconds(1);
    /** Out of room: what was shut has at least so long for what crosses that, and these states are shut after so long. */
    private static final Duration CROSSING = Duration.ofMillis(50);

    private static final Duration SILENT = Duration.ofMillis(250);
    private static final Duration SLOW = Duration.ofSeconds(1);
    /** So many connections, one part of them, are kept free for whoever comes next. */
    private static final int FREE_PART = 8;

    private static final int LEAST_FREE = 4;
    /** A stall, of the process or the machine, counts as no more than this: nothing was read meanwhile. */
    private static final Duration LONGEST_STALL = Duration.ofMillis(500);
    /** Edge nodes close what is idle for the stated time; only what they forget is closed by that alone. */
    private static final int FORGOTTEN = 2;

    private final EventLoop loop;
    private final Backend backend;
    private final RequestMetadataParser fields;
    private final Map<EdgeConnection.State, LinkedHashMap<EdgeConnection, Duration>> since =
            new EnumMap<>(EdgeConnection.State.class);
    private ConnectionAcceptor listener;
    private Duration closeIdle;
    private Duration awake = Duration.ZERO;
    private Duration sweptAt;
    private int mostKept = Integer.MAX_VALUE;
    private boolean closing, awaitsRoom;
    private double said = Double.NaN;
    private String level = "";

    public EdgeServer(EventLoop loop, Backend backend, Map<String, String> given) {
        this.loop = loop;
        this.backend = backend;
        fields = new RequestMetadataParser(given);
        for (EdgeConnection.State state : EdgeConnection.State.values()) {
            since.put(state, new LinkedHashMap<>());
        }
        closeIdle = Duration.ofMillis(FORGOTTEN * (long) SettingsTranslator.number(given, "server.idle", 30_000));
        sweptAt = loop.clock().uptime();
        loop.every(SWEEP, this::sweep);
    }

    public void listen(InetSocketAddress address, int mostConnections) throws IOException {
        mostKept = mostConnections - Math.min(Math.max(LEAST_FREE, mostConnections / FREE_PART), mostConnections / 2);
        listener = new ConnectionAcceptor(
                loop,
                address,
                mostConnections,
                channel -> take(user ->
                        Connection.accepted(loop, channel, user, EdgeConnection.BUFFER, EdgeConnection.MOST_QUEUED)),
                this::makeRoom);
        listener.accept();
    }

    /** Takes a connection, which is made round its user. */
    public void take(Function<Connection.Handler, Connection> maker) {
        EdgeConnection edge = new EdgeConnection(this);
        Connection made = maker.apply(edge);
        edge.on(made);
        made.readOn();
        keepRoom();
    }

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    Backend backend() {
        return backend;
    }

    MonotonicClock clock() {
        return loop.clock();
    }

    /** The operation that the message holds, or null. */
    RequestMetadata asked(RequestHead head, String tariff, int index) {
        return fields.asked(head, tariff, index, loop.clock());
    }

    /** The field that goes with every answer, or nothing. */
    String level() {
        double now = backend.backpressureLevel();
        if (now != said) {
            said = now;
            level = Double.isNaN(now) ? "" : String.format(Locale.ROOT, "Srv-Load: %.4f\r\n", now);
        }
        return level;
    }

    /** Whether each answer asks for the end of its connection. */
    boolean closing() {
        return closing;
    }

    /** Nothing is accepted any more but who waits already, and connections end with their next answer. */
    public void close() {
        closing = true;
        listener.closeBehindTheLast();
    }

    /** Connections with no message in hand end; what still comes on them is read and not run. */
    public void shutResting() {
        for (EdgeConnection.State state : RESTING) {
            List.copyOf(since.get(state).keySet()).forEach(edge -> edge.shut(CloseReason.IDLE));
        }
    }

    /** Whether every answer that was given has been written. */
    public boolean allWritten() {
        return count(EdgeConnection.State.ANSWERING) == 0 && count(EdgeConnection.State.IN_HAND) == 0;
    }

    /** Whether no connection is open and, once it closes, none can come. */
    public boolean none() {
        return (!closing || listener.closed()) && count() == 0;
    }

    public void closeIdle(Duration after) {
        closeIdle = after;
    }

    void moved(EdgeConnection edge, EdgeConnection.State from, EdgeConnection.State to) {
        since.get(from).remove(edge);
        since.get(to).put(edge, awake());
    }

    void gone(EdgeConnection edge, EdgeConnection.State from) {
        since.get(from).remove(edge);
        if (listener != null) {
            listener.gone();
        }
    }

    /** How many connections are open in the state. */
    int count(EdgeConnection.State state) {
        return since.get(state).size();
    }

    /** How many are open in all. */
    int count() {
        return since.values().stream().mapToInt(Map::size).sum();
    }

    /** The time that this side has been at work. */
    private Duration awake() {
        Duration span = loop.clock().uptime().minus(sweptAt);
        return awake.plus(span.compareTo(LONGEST_STALL) > 0 ? LONGEST_STALL : span);
    }

    /** Out of room: what was shut long enough ago goes; else something is shut, and its turn comes. */
    private void makeRoom() {
        keepRoom();
        EdgeConnection shut = oldest(EdgeConnection.State.LINGERING, Duration.ZERO);
        if (shut == null && shutOne()) {
            shut = oldest(EdgeConnection.State.LINGERING, Duration.ZERO);
        }
        if (oldest(EdgeConnection.State.LINGERING, CROSSING) != null) {
            shut.connection().end(shut.how());
        } else if (shut != null && !awaitsRoom) {
            awaitsRoom = true;
            loop.in(CROSSING, () -> {
                awaitsRoom = false;
                listener.accept();
            });
        }
    }

    /** Some room stays free, so that who comes next need not wait until what is shut has gone. */
    private void keepRoom() {
        boolean more = true;
        while (more && count() - count(EdgeConnection.State.LINGERING) > mostKept) {
            more = shutOne();
        }
    }

    /** Those first that have brought nothing whole for longer than a message takes; then the idlest. */
    private boolean shutOne() {
        EdgeConnection one = oldest(EdgeConnection.State.NEW, SILENT);
        one = one != null ? one : oldest(EdgeConnection.State.RECEIVING, SLOW);
        one = one != null ? one : oldest(EdgeConnection.State.IDLE, Duration.ZERO);
        if (one != null) {
            one.shut(CloseReason.IDLE);
            return true;
        }
        one = oldest(EdgeConnection.State.ANSWERING, SLOW);
        if (one != null) {
            one.connection().end(CloseReason.SLOW);
        }
        return one != null;
    }

    /** The one that is in the state for longest, if that is so long, or null. */
    private EdgeConnection oldest(EdgeConnection.State state, Duration least) {
        Iterator<Map.Entry<EdgeConnection, Duration>> all =
                since.get(state).entrySet().iterator();
        Map.Entry<EdgeConnection, Duration> first = all.hasNext() ? all.next() : null;
        return first == null || first.getValue().plus(least).compareTo(awake()) > 0 ? null : first.getKey();
    }

    private void sweep() {
        awake = awake();
        sweptAt = loop.clock().uptime();
        shutAll(EdgeConnection.State.NEW, FIRST, CloseReason.SLOW);
        shutAll(EdgeConnection.State.IDLE, closeIdle, CloseReason.IDLE);
        shutAll(EdgeConnection.State.RECEIVING, SLOWEST, CloseReason.SLOW);
        endAll(EdgeConnection.State.ANSWERING, SLOWEST);
        endAll(EdgeConnection.State.LINGERING, LINGER);
        if (listener != null) {
            keepRoom();
            // What was busy when room was asked for may rest by now.
            listener.accept();
        }
    }

    private void shutAll(EdgeConnection.State state, Duration older, CloseReason how) {
        if (oldest(state, older) != null) {
            // Behind what has been read already and waits for its turn.
            loop.execute(() -> {
                for (EdgeConnection edge = oldest(state, older); edge != null; edge = oldest(state, older)) {
                    edge.shut(how);
                }
            });
        }
    }

    private void endAll(EdgeConnection.State state, Duration older) {
        for (EdgeConnection edge = oldest(state, older); edge != null; edge = oldest(state, older)) {
            edge.connection().end(state == EdgeConnection.State.LINGERING ? edge.how() : CloseReason.SLOW);
        }
    }
}
