package merlinlever.backend.http;

import java.time.Duration;
import java.util.Optional;
import merlinlever.backend.http.EdgeConnection.State;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.EventLoop;

/**
 * Closes connections that exceed the time limit of their state, and evicts connections to make room for new ones. A
 * connection without a pending response is shut down gracefully and lingers: bytes that the edge node sends during the
 * shutdown are read, so that they do not cause a reset.
 */
final class EdgeConnectionReaper {

    /** Maximum time to receive a request or to write a response. */
    private static final Duration MAX_TRANSFER_TIME = Duration.ofSeconds(5);
    /** Maximum time until the first complete request; edge nodes give up on a new connection after 3 s. */
    private static final Duration MAX_FIRST_REQUEST_WAIT = Duration.ofMillis(2500);

    private static final Duration MAX_LINGER = Duration.ofSeconds(1);
    /** Minimum lingering time of a connection, even when the connection table is full. */
    private static final Duration MIN_LINGER = Duration.ofMillis(50);
    /** Minimum age of a connection without a complete request before eviction. */
    private static final Duration MIN_EVICTABLE_NEW_AGE = Duration.ofMillis(250);
    /** Minimum duration of an incomplete transfer before the connection may be evicted. */
    private static final Duration MIN_EVICTABLE_TRANSFER_TIME = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final EdgeConnectionTable connections;
    private int maxOpenConnections = Integer.MAX_VALUE;
    private Duration idleTimeout;
    private boolean acceptScheduled;

    /** Creates a reaper without a limit on the number of connections. */
    EdgeConnectionReaper(EventLoop loop, EdgeConnectionTable connections, Duration idleTimeout) {
        this.loop = loop;
        this.connections = connections;
        this.idleTimeout = idleTimeout;
    }

    /** Sets the maximum number of open connections, not counting lingering ones. */
    void setMaxOpenConnections(int max) {
        maxOpenConnections = max;
    }

    /** Sets the time after which an idle connection is shut down. */
    void setIdleTimeout(Duration timeout) {
        idleTimeout = timeout;
    }

    /** Closes or shuts down the connections that exceed the time limit of their state. */
    void closeOverdue() {
        shutDownOverdue(State.NEW, MAX_FIRST_REQUEST_WAIT, CloseReason.TIMED_OUT);
        shutDownOverdue(State.IDLE, idleTimeout, CloseReason.IDLE);
        shutDownOverdue(State.RECEIVING, MAX_TRANSFER_TIME, CloseReason.TIMED_OUT);
        closeOverdue(State.RESPONDING, MAX_TRANSFER_TIME);
        closeOverdue(State.LINGERING, MAX_LINGER);
    }

    private void shutDownOverdue(State state, Duration minAge, CloseReason reason) {
        if (connections.oldest(state, minAge).isEmpty()) {
            return;
        }
        // Runs after the input already queued in the loop, which may change the state of the connection.
        loop.execute(() -> {
            Optional<EdgeConnection> overdue = connections.oldest(state, minAge);
            while (overdue.isPresent()) {
                overdue.get().shutDown(reason);
                overdue = connections.oldest(state, minAge);
            }
        });
    }

    private void closeOverdue(State state, Duration minAge) {
        Optional<EdgeConnection> overdue = connections.oldest(state, minAge);
        while (overdue.isPresent()) {
            EdgeConnection connection = overdue.get();
            connection.close(state == State.LINGERING ? connection.closeReason() : CloseReason.TIMED_OUT);
            overdue = connections.oldest(state, minAge);
        }
    }

    /** Evicts connections ahead of demand, so that new ones need not wait until an evicted one has lingered. */
    void evictExcess() {
        boolean evicted = true;
        while (evicted && connections.count() - connections.count(State.LINGERING) > maxOpenConnections) {
            evicted = evictOne();
        }
    }

    /**
     * Makes room in a full table: closes a connection that has lingered long enough, or shuts another one down.
     *
     * @param accept accepts further connections; run later if a lingering connection cannot be closed yet
     */
    void makeRoom(Runnable accept) {
        evictExcess();
        Optional<EdgeConnection> lingering = connections.oldest(State.LINGERING, Duration.ZERO);
        if (lingering.isEmpty() && evictOne()) {
            lingering = connections.oldest(State.LINGERING, Duration.ZERO);
        }
        if (connections.oldest(State.LINGERING, MIN_LINGER).isPresent()) {
            EdgeConnection connection = lingering.orElseThrow();
            connection.close(connection.closeReason());
        } else if (lingering.isPresent() && !acceptScheduled) {
            acceptScheduled = true;
            loop.schedule(MIN_LINGER, () -> {
                acceptScheduled = false;
                accept.run();
            });
        }
    }

    /** Evicts, in this order: an unused connection, a slow request, an idle connection, or a slow response. */
    private boolean evictOne() {
        Optional<EdgeConnection> evictable = connections
                .oldest(State.NEW, MIN_EVICTABLE_NEW_AGE)
                .or(() -> connections.oldest(State.RECEIVING, MIN_EVICTABLE_TRANSFER_TIME))
                .or(() -> connections.oldest(State.IDLE, Duration.ZERO));
        if (evictable.isPresent()) {
            evictable.get().shutDown(CloseReason.IDLE);
            return true;
        }
        Optional<EdgeConnection> slowResponse = connections.oldest(State.RESPONDING, MIN_EVICTABLE_TRANSFER_TIME);
        slowResponse.ifPresent(connection -> connection.close(CloseReason.TIMED_OUT));
        return slowResponse.isPresent();
    }
}
