package merlinlever.policy;

import java.time.Duration;
import merlinlever.controller.Decisions;
import merlinlever.controller.QuotaDemand;
import merlinlever.controller.QuotaGrant;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.RequestHandle;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.policy.Request.Phase;

/**
 * Decides which requests of one server are queued, started, rejected and failed (docs/design.md). An adapter
 * creates a controller for each incarnation of the server. The adapter passes each request to
 * {@link #submit}, reports the later events of the request to the returned handle, and calls {@link #decide}
 * after each batch of events, which returns the decisions and the time of the next call. All times are
 * relative to the start of the server. Controllers share no state, and none is thread-safe.
 *
 * <p>This class is the only entry to the package; the other classes make the decisions.
 */
public final class OverloadController {
    private final ServerState server;
    private final DecisionCycle decisionCycle;

    /** Creates a controller with the given settings and the seed of its random decisions. */
    public OverloadController(ControllerSettings settings, long seed) {
        server = new ServerState(settings, seed);
        decisionCycle = new DecisionCycle(server);
    }

    /** Submits a request that has been read; the controller decides on exactly one answer to the request. */
    public RequestHandle submit(Duration now, RequestAttributes attributes) {
        server.advanceClock(now);
        Request request = new Request(server, now, attributes);
        decisionCycle.handleArrival(request, attributes.original(), now);
        return request;
    }

    /** Starts the drain of the server, whose process will be stopped at the given time. */
    public void startDrain(Duration now, Duration stopAt) {
        server.advanceClock(now);
        server.drain().start(now, stopAt);
    }

    /**
     * Limits the starts of non-idempotent requests.
     *
     * @param arrivedFrom the earliest arrival of a request that may start
     * @param until the time from which no such request may start
     */
    public void permitNonIdempotentStarts(Duration arrivedFrom, Duration until) {
        server.idempotencyWindow().permitStarts(arrivedFrom, until);
    }

    /**
     * Sets the initial estimate of the queue's capacity, from an earlier incarnation or from peers.
     *
     * @param completions the weight of the estimate, as a number of completions
     */
    public void setWarmStartEstimate(double capacity, double completions) {
        server.capacity().setWarmStartEstimate(capacity, completions);
    }

    /**
     * Sets this server's quota of a fleet-wide limit.
     *
     * @param classIndex the index of the priority class whose runs are limited, or -1 for downstream calls
     */
    public void setQuota(int classIndex, QuotaGrant grant) {
        server.quota(classIndex).setGrant(grant);
    }

    /** Returns how much of a quota is in use, and how much would be in use with a larger quota. */
    public QuotaDemand quotaDemand(Duration now, int classIndex) {
        long waiting = classIndex < 0
                ? server.awaitingCallCount()
                : server.inFlight().stream()
                        .filter(request -> request.phase() == Phase.QUEUED)
                        .filter(request -> request.priorityClass().index() == classIndex)
                        .count();
        return server.quota(classIndex).demand(now, waiting);
    }

    /** Updates the gauges with new samples, in the order of the gauges in the settings. */
    public void updateGauges(Duration now, double[] gauges) {
        server.advanceClock(now);
        server.runQueue().update(gauges);
    }

    /** Returns a snapshot of the controller's state for monitoring. */
    public ControllerMetrics metrics() {
        return ControllerMetrics.of(server);
    }

    /** Makes all pending decisions; returns all decisions since the last call. */
    public Decisions decide(Duration now) {
        server.advanceClock(now);
        return decisionCycle.decide(now);
    }
}
