package merlinlever.backend.http;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import merlinlever.common.net.MonotonicClock;

/**
 * The open connections by state, each with the time at which the connection entered the state. All times are active
 * time, in which a pause of the process or the machine counts as at most {@link #MAX_COUNTED_PAUSE}, because no input
 * is read during a pause.
 */
final class EdgeConnectionTable {

    private static final Duration MAX_COUNTED_PAUSE = Duration.ofMillis(500);

    private final MonotonicClock clock;
    /** For each state, the connections in the order in which they entered the state, with the time of entry. */
    private final Map<EdgeConnection.State, LinkedHashMap<EdgeConnection, Duration>> enteredAt =
            new EnumMap<>(EdgeConnection.State.class);

    private Duration activeTimeAtCheckpoint = Duration.ZERO;
    private Duration checkpoint;

    EdgeConnectionTable(MonotonicClock clock) {
        this.clock = clock;
        for (EdgeConnection.State state : EdgeConnection.State.values()) {
            enteredAt.put(state, new LinkedHashMap<>());
        }
        checkpoint = clock.uptime();
    }

    /** Updates the active time. Must be called more often than {@link #MAX_COUNTED_PAUSE}; a longer gap is a pause. */
    void checkpoint() {
        activeTimeAtCheckpoint = activeTime();
        checkpoint = clock.uptime();
    }

    private Duration activeTime() {
        Duration elapsed = clock.uptime().minus(checkpoint);
        return activeTimeAtCheckpoint.plus(elapsed.compareTo(MAX_COUNTED_PAUSE) > 0 ? MAX_COUNTED_PAUSE : elapsed);
    }

    /** Adds a connection, or moves a connection from one state to another. */
    void move(EdgeConnection connection, EdgeConnection.State from, EdgeConnection.State to) {
        enteredAt.get(from).remove(connection);
        enteredAt.get(to).put(connection, activeTime());
    }

    /** Removes a connection. */
    void remove(EdgeConnection connection, EdgeConnection.State state) {
        enteredAt.get(state).remove(connection);
    }

    /** Returns the number of connections in the state. */
    int count(EdgeConnection.State state) {
        return enteredAt.get(state).size();
    }

    /** Returns the number of open connections. */
    int count() {
        int count = 0;
        for (LinkedHashMap<EdgeConnection, Duration> connections : enteredAt.values()) {
            count += connections.size();
        }
        return count;
    }

    /** Returns a copy of the connections in the state, in the order in which they entered the state. */
    List<EdgeConnection> connectionsIn(EdgeConnection.State state) {
        return List.copyOf(enteredAt.get(state).keySet());
    }

    /** Returns the connection that entered the state first, if it has been in the state for at least {@code minAge}. */
    Optional<EdgeConnection> oldest(EdgeConnection.State state, Duration minAge) {
        Iterator<Map.Entry<EdgeConnection, Duration>> entries =
                enteredAt.get(state).entrySet().iterator();
        if (!entries.hasNext()) {
            return Optional.empty();
        }
        Map.Entry<EdgeConnection, Duration> oldest = entries.next();
        boolean isOldEnough = oldest.getValue().plus(minAge).compareTo(activeTime()) <= 0;
        return isOldEnough ? Optional.of(oldest.getKey()) : Optional.empty();
    }
}
