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
 * Decides, inside one server, which requests are queued, started, rejected and failed (docs/design.md). An
 * adapter creates a controller for each incarnation of a server and reports what happens: each request by
 * {@link #submit}, its later events on the handle that this returns. After each batch of events
 * {@link #decide} returns what to do, and when to decide again. All times count from the start of the server.
 * Controllers share nothing; none is thread-safe.
 *
 * <p>This is the entry to the package; the decisions are made in the classes behind it.
 */
public final class OverloadController {
    private final ServerState server;
    private final DecisionCycle decisionCycle;

    /** A controller with its settings and the seed of its random draws. */
    public OverloadController(ControllerSettings settings, long seed) {
        server = new ServerState(settings, seed);
        decisionCycle = new DecisionCycle(server);
    }

    /** Submits a request that has been read; from now on it is owed exactly one final answer. */
    public RequestHandle submit(Duration now, RequestAttributes attributes) {
        server.advanceClock(now);
        Request request = new Request(server, now, attributes);
        decisionCycle.arrive(request, attributes.original(), now);
        return request;
    }

    /** The server is draining: its process is stopped at that time. */
    public void startDrain(Duration now, Duration stopAt) {
        server.advanceClock(now);
        server.drain.start(now, stopAt);
    }

    /** Requests that are not idempotent start only if they arrived from then on, and until the other time. */
    public void permitNonIdempotentStarts(Duration arrivedFrom, Duration until) {
        server.idempotencyWindow.arrivedFrom = arrivedFrom;
        server.idempotencyWindow.until = until;
    }

    /**
     * Sets where the estimate of the queue's capacity begins, from an earlier incarnation or from peers.
     *
     * @param completions how many completions the estimate weighs as much as
     */
    public void setWarmStartEstimate(double capacity, double completions) {
        server.capacity.setWarmStartEstimate(capacity, completions);
    }

    /**
     * Sets this server's quota of a limit of the whole fleet.
     *
     * @param classIndex the priority class whose runs are limited, or -1 for downstream calls
     */
    public void setQuota(int classIndex, QuotaGrant grant) {
        server.quota(classIndex).grant = grant;
    }

    /** How much of such a quota is in use now, and how much would be if it were larger. */
    public QuotaDemand quotaDemand(Duration now, int classIndex) {
        long waiting = classIndex < 0
                ? server.awaitingCallCount()
                : server.inFlight.stream()
                        .filter(request -> request.phase == Phase.QUEUED)
                        .filter(request -> request.priorityClass.index == classIndex)
                        .count();
        return server.quota(classIndex).demand(now, waiting);
    }

    /** New readings of the gauges, in the order of the settings. */
    public void updateGauges(Duration now, double[] gauges) {
        server.advanceClock(now);
        server.runQueue.update(gauges);
    }

    /** What the controller sees of its server; reading it changes nothing. */
    public ControllerMetrics metrics() {
        return ControllerMetrics.of(server);
    }

    /** Decides all that is open; returns it with what was decided since the last time. */
    public Decisions decide(Duration now) {
        server.advanceClock(now);
        return decisionCycle.decide(now);
    }
}
