package merlinlever.policy;

import java.time.Duration;
import merlinlever.common.Durations;
import merlinlever.controller.settings.SafetySettings;

/** Whether the server is draining, and what may still be started before its process is stopped. */
final class DrainState {
    private final ServerState server;
    private final Duration grace;
    /** Null unless the server drains, like {@link #stopAt}. */
    private Duration startedAt;

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

    /** Rule 3: whether the request arrived too late to be started. */
    boolean isPastGrace(Request request) {
        return startedAt != null && Durations.isReached(request.arrivedAt, startedAt.plus(grace));
    }

    /** Whether the process is stopped within one decision interval of that time, or before it. */
    boolean stopsBy(Duration time) {
        return stopAt != null && Durations.isReached(time.plus(DecisionCycle.INTERVAL), stopAt);
    }

    /** When to decide next, if nothing but the stop calls for it before the regular time. */
    Duration nextDecisionAt(Duration now, Duration regular) {
        if (stopAt == null || Durations.isReached(now, stopAt)) {
            return regular;
        }
        Duration beforeStop = stopAt.minus(DecisionCycle.INTERVAL);
        return Durations.earlier(regular, Durations.later(beforeStop, now.plusMillis(1)));
    }
}
