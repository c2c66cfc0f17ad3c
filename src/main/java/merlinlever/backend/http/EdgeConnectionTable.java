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
 * All open connections by state, each with the time at which it entered the state. Time is active time: it counts a
 * pause of the process or the machine as {@link #MAX_COUNTED_PAUSE} at most, as nothing was read during it.
 */
final class EdgeConnectionTable {

    private static final Duration MAX_COUNTED_PAUSE = Duration.ofMillis(500);

    private final MonotonicClock clock;
    /** In each state in the order of entry, so that the first has been in it for longest. */
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

    /** To be called regularly: a longer time between two calls, or since the last one, is a pause. */
    void checkpoint() {
        activeTimeAtCheckpoint = activeTime();
        checkpoint = clock.uptime();
    }

    private Duration activeTime() {
        Duration elapsed = clock.uptime().minus(checkpoint);
        return activeTimeAtCheckpoint.plus(elapsed.compareTo(MAX_COUNTED_PAUSE) > 0 ? MAX_COUNTED_PAUSE : elapsed);
    }

    /** Adds the connection, or moves it between states. */
    void move(EdgeConnection connection, EdgeConnection.State from, EdgeConnection.State to) {
        enteredAt.get(from).remove(connection);
        enteredAt.get(to).put(connection, activeTime());
    }

    void remove(EdgeConnection connection, EdgeConnection.State state) {
        enteredAt.get(state).remove(connection);
    }

    /** How many connections are in the state. */
    int count(EdgeConnection.State state) {
        return enteredAt.get(state).size();
    }

    /** How many connections are open. */
    int count() {
        int count = 0;
        for (LinkedHashMap<EdgeConnection, Duration> connections : enteredAt.values()) {
            count += connections.size();
        }
        return count;
    }

    /** A copy of the connections in the state, the longest in it first. */
    List<EdgeConnection> in(EdgeConnection.State state) {
        return List.copyOf(enteredAt.get(state).keySet());
    }

    /** The connection that has been in the state for longest, if that is at least the duration. */
    Optional<EdgeConnection> oldest(EdgeConnection.State state, Duration minAge) {
        Iterator<Map.Entry<EdgeConnection, Duration>> entries =
                enteredAt.get(state).entrySet().iterator();
        if (!entries.hasNext()) {
            return Optional.empty();
        }
        Map.Entry<EdgeConnection, Duration> first = entries.next();
        boolean isOldEnough = first.getValue().plus(minAge).compareTo(activeTime()) <= 0;
        return isOldEnough ? Optional.of(first.getKey()) : Optional.empty();
    }
}
