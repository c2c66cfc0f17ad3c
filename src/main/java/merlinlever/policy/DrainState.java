package merlinlever.policy;

import java.time.Duration;
import merlinlever.common.Durations;
import merlinlever.controller.settings.SafetySettings;

/** State of the server's drain: decides which requests may still be started before the process is stopped. */
final class DrainState {
    private final ServerState server;
    private final Duration grace;
    /** Null before the drain. */
    private Duration startedAt;
    /** Null before the drain. */
    private Duration stopAt;

    DrainState(ServerState server, SafetySettings settings) {
        this.server = server;
        grace = settings.drainGrace();
    }

    void start(Duration now, Duration processStopAt) {
        startedAt = now;
        stopAt = processStopAt;
        server.logDrain(stopAt.minus(now));
    }

    boolean hasStarted() {
        return startedAt != null;
    }

    /** Whether the request arrived after the grace period and must not be started (safety rule 3). */
    boolean isPastGrace(Request request) {
        return startedAt != null && Durations.isReached(request.arrivedAt(), startedAt.plus(grace));
    }

    /** Whether the process is stopped before the time, or at most one decision interval after it. */
    boolean stopsBy(Duration time) {
        return stopAt != null && Durations.isReached(time.plus(DecisionCycle.INTERVAL), stopAt);
    }

    /** Returns the time of the next decision: the regular time, or an earlier one shortly before the stop. */
    Duration nextDecisionAt(Duration now, Duration regularDecisionAt) {
        if (stopAt == null || Durations.isReached(now, stopAt)) {
            return regularDecisionAt;
        }
        Duration beforeStop = stopAt.minus(DecisionCycle.INTERVAL);
        return Durations.earlier(regularDecisionAt, Durations.later(beforeStop, now.plusMillis(1)));
    }
}
