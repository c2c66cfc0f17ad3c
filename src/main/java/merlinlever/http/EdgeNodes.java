package merlinlever.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import merlinlever.core.Backend;
import merlinlever.core.Stated;
import merlinlever.net.Clock;
import merlinlever.net.Connection;
import merlinlever.net.Ended;
import merlinlever.net.Listener;
import merlinlever.net.Loop;

/** The side that edge nodes connect to: the listener and all its connections, by what they are about and how long. */
public final class EdgeNodes {

    static final String OPERATIONS = "/svc/";
    static final String HEALTH = "/status/live";

    private static final Duration SWEEP = Duration.ofMillis(100);
    private static final Duration SLOWEST = Duration.ofSeconds(5);
    /** Whoever connects is to hear something within 3 s; who has said nothing whole so long after it is no edge node. */
    private static final Duration FIRST = Duration.ofMillis(2500);
    private static final Duration LINGER = Duration.ofSeconds(1);
    /** Edge nodes close what is idle for the stated time; only what they forget is closed by that alone. */
    private static final int FORGOTTEN = 2;

    private final Loop loop;
    private final Backend backend;
    private final Fields fields;
    private final Map<EdgeConnection.State, LinkedHashMap<EdgeConnection, Duration>> since =
            new EnumMap<>(EdgeConnection.State.class);
    private Listener listener;
    private Duration closeIdle;
    private boolean closing;
    private double said = Double.NaN;
    private String level = "";

    public EdgeNodes(Loop loop, Backend backend, Map<String, String> given) {
        this.loop = loop;
        this.backend = backend;
        fields = new Fields(given);
        for (EdgeConnection.State state : EdgeConnection.State.values()) {
            since.put(state, new LinkedHashMap<>());
        }
        closeIdle = Duration.ofMillis(FORGOTTEN * (long) Stated.number(given, "server.idle", 30_000));
        loop.every(SWEEP, this::sweep);
    }

    public void listen(InetSocketAddress address, int mostConnections) throws IOException {
        listener = new Listener(loop, address, mostConnections, channel -> take(user -> Connection.accepted(loop, channel,
                user, EdgeConnection.BUFFER, EdgeConnection.MOST_QUEUED)), this::closeIdlest);
        listener.accept();
    }

    /** Takes a connection, which is made round its user. */
    public void take(Function<Connection.User, Connection> maker) {
        EdgeConnection edge = new EdgeConnection(this);
        Connection made = maker.apply(edge);
        edge.on(made);
        made.readOn();
    }

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    Backend backend() {
        return backend;
    }

    Clock clock() {
        return loop.clock();
    }

    /** The operation that the message holds, or null. */
    Backend.Asked asked(Head head, String tariff, int index, byte[] body) {
        return fields.asked(head, tariff, index, body, loop.clock());
    }

    /** The field that goes with every answer, or nothing. */
    String level() {
        double now = backend.level();
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

    /** Nothing is accepted any more, and connections end with their next answer. */
    public void close() {
        closing = true;
        listener.close();
    }

    /** Whether every answer that was given has been written. */
    public boolean allWritten() {
        return since.get(EdgeConnection.State.ANSWERING).isEmpty() && since.get(EdgeConnection.State.IN_HAND).isEmpty();
    }

    /** Whether no connection is open. */
    public boolean none() {
        return since.values().stream().allMatch(LinkedHashMap::isEmpty);
    }

    public void closeIdle(Duration after) {
        closeIdle = after;
    }

    void moved(EdgeConnection edge, EdgeConnection.State from, EdgeConnection.State to) {
        since.get(from).remove(edge);
        since.get(to).put(edge, loop.clock().uptime());
    }

    void gone(EdgeConnection edge, EdgeConnection.State from) {
        since.get(from).remove(edge);
        if (listener != null) {
            listener.gone();
        }
    }

    private void closeIdlest() {
        Map.Entry<EdgeConnection, Duration> idle = oldest(EdgeConnection.State.IDLE);
        Map.Entry<EdgeConnection, Duration> unused = oldest(EdgeConnection.State.NEW);
        if (idle == null || unused != null && unused.getValue().compareTo(idle.getValue()) < 0) {
            idle = unused;
        }
        if (idle != null) {
            idle.getKey().connection().end(Ended.IDLE);
        }
    }

    private Map.Entry<EdgeConnection, Duration> oldest(EdgeConnection.State state) {
        Iterator<Map.Entry<EdgeConnection, Duration>> all = since.get(state).entrySet().iterator();
        return all.hasNext() ? all.next() : null;
    }

    private void sweep() {
        endAll(EdgeConnection.State.NEW, FIRST, Ended.SLOW);
        endAll(EdgeConnection.State.IDLE, closeIdle, Ended.IDLE);
        endAll(EdgeConnection.State.RECEIVING, SLOWEST, Ended.SLOW);
        endAll(EdgeConnection.State.ANSWERING, SLOWEST, Ended.SLOW);
        endAll(EdgeConnection.State.LINGERING, LINGER, Ended.DONE);
    }

    private void endAll(EdgeConnection.State state, Duration older, Ended how) {
        Duration now = loop.clock().uptime();
        LinkedHashMap<EdgeConnection, Duration> some = since.get(state);
        while (!some.isEmpty()) {
            Map.Entry<EdgeConnection, Duration> oldest = some.entrySet().iterator().next();
            if (oldest.getValue().plus(older).compareTo(now) > 0) {
                return;
            }
            some.remove(oldest.getKey());
            oldest.getKey().connection().end(how);
        }
    }
}
