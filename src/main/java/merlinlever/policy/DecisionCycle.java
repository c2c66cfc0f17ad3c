package merlinlever.policy;

import java.time.Duration;
import java.util.Optional;
import merlinlever.controller.Decisions;
import merlinlever.controller.RequestHandle;

/** Runs the parts of the controller in a fixed order, and decides when the next cycle is due. */
final class DecisionCycle {
    /** Time between decisions while requests are in flight. */
    static final Duration INTERVAL = Duration.ofMillis(10);

    private static final Duration IDLE_INTERVAL = Duration.ofMillis(500);

    private final ServerState server;

    DecisionCycle(ServerState server) {
        this.server = server;
    }

    void handleArrival(Request request, Optional<RequestHandle> original, Duration now) {
        if (server.inFlight().isEmpty()) {
            server.stallDetector().recordProgress(now);
        }
        server.add(request);
        if (original.isEmpty() || !server.duplicates().coalesce(request, original.get(), now)) {
            server.admissionControl().decideOnArrival(request, now);
        }
    }

    Decisions decide(Duration now) {
        server.stallDetector().check(now);
        server.inFlight().forEach(request -> server.completions().enforceDeadlines(request, now));
        server.inFlight().removeIf(request -> !request.isInFlight());
        server.removeOutdatedShares();
        server.retained().expire(now);
        server.downstreamCalls().startCalls(now);
        server.dispatcher().startQueued(now);
        server.backpressure().update(now);
        Duration interval = server.inFlight().isEmpty() ? IDLE_INTERVAL : INTERVAL;
        return server.takeDecisions(server.drain().nextDecisionAt(now, now.plus(interval)));
    }
}
