package merlinlever.backend.http;

import java.time.Duration;
import java.util.Optional;
import merlinlever.backend.http.EdgeConnection.State;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.EventLoop;

/**
 * Closes connections: those that exceed the time limit of their state, and others to make room for new ones. A
 * connection that no answer is owed on is shut down in good order and lingers, so that what the edge node has sent
 * meanwhile is read and not answered by a reset.
 */
final class EdgeConnectionReaper {

    /** A request or a response takes no longer. */
    private static final Duration MAX_TRANSFER_TIME = Duration.ofSeconds(5);
    /** Edge nodes give a new connection 3 s; one without a complete request after this time is none of theirs. */
    private static final Duration MAX_FIRST_REQUEST_WAIT = Duration.ofMillis(2500);

    private static final Duration MAX_LINGER = Duration.ofSeconds(1);
    /** Where the table is full, a connection that was shut down lingers at least this long. */
    private static final Duration MIN_LINGER = Duration.ofMillis(50);
    /** Where the table is full, a connection without a first request may be evicted after this time. */
    private static final Duration EVICTABLE_NEW_AFTER = Duration.ofMillis(250);
    /** Where the table is full, a connection in the middle of a transfer may be evicted after this time. */
    private static final Duration EVICTABLE_SLOW_AFTER = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final EdgeConnectionTable connections;
    private int maxOpenConnections = Integer.MAX_VALUE;
    private Duration idleTimeout;
    private boolean acceptScheduled;

    EdgeConnectionReaper(EventLoop loop, EdgeConnectionTable connections, Duration idleTimeout) {
        this.loop = loop;
        this.connections = connections;
        this.idleTimeout = idleTimeout;
    }

    /** Lingering connections do not count. */
    void setMaxOpenConnections(int max) {
        maxOpenConnections = max;
    }

    void setIdleTimeout(Duration timeout) {
        idleTimeout = timeout;
    }

    /** Closes what exceeds the time limit of its state. */
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
        // Bytes that have been read already and wait in the loop's queue come first: they may end the state.
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

    /** Keeps some connections free, so that the next ones need not wait until an evicted one has lingered. */
    void evictExcess() {
        boolean evicted = true;
        while (evicted && connections.count() - connections.count(State.LINGERING) > maxOpenConnections) {
            evicted = evictOne();
        }
    }

    /**
     * Makes room in a full table: closes a connection that has lingered long enough, or shuts one down.
     *
     * @param accept run later, once the one that was shut down may be closed
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

    /** First those that exceed the time that a message takes, then the one that has been idle for longest. */
    private boolean evictOne() {
        Optional<EdgeConnection> evictable = connections
                .oldest(State.NEW, EVICTABLE_NEW_AFTER)
                .or(() -> connections.oldest(State.RECEIVING, EVICTABLE_SLOW_AFTER))
                .or(() -> connections.oldest(State.IDLE, Duration.ZERO));
        if (evictable.isPresent()) {
            evictable.get().shutDown(CloseReason.IDLE);
            return true;
        }
        Optional<EdgeConnection> stuck = connections.oldest(State.RESPONDING, EVICTABLE_SLOW_AFTER);
        stuck.ifPresent(connection -> connection.close(CloseReason.TIMED_OUT));
        return stuck.isPresent();
    }
}
