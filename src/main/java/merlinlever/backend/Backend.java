package merlinlever.backend;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.controller.Outcome;
import merlinlever.controller.QuotaDemand;
import merlinlever.controller.QuotaGrant;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.driver.ControllerDriver;
import merlinlever.policy.ControllerMetrics;
import merlinlever.policy.OverloadController;

/**
 * A backend without its sockets: follows each request from its receipt to its one response, through the agent that runs
 * it and the downstream calls that the run makes. It decides nothing itself; all events go to an
 * {@link OverloadController}, whose decisions are carried out after each batch ({@link #decide}). All methods are
 * called on the loop's thread; times are those of its clock.
 */
public final class Backend implements DownstreamService.CompletionListener {

    private final long seed;
    private final BackendDependencies dependencies;
    private final BackendSettings settings;
    private final BatchState batch = new BatchState();
    private final RequestComponents components;
    private final RequestLifecycle lifecycle;
    private final HealthChecks healthChecks;
    private final DecisionExecutor decisionExecutor;
    private final PendingFleetState fleetState = new PendingFleetState();
    /** Null before the agent is up. */
    private ControllerDriver<TrackedRequest> driver;

    private boolean draining;

    /**
     * Creates a backend whose agent is not up yet; until then all requests are rejected.
     *
     * @param settings of the controller
     * @param seed the seed of the controller's random draws
     */
    public Backend(ControllerSettings settings, long seed, BackendDependencies dependencies) {
        this.seed = seed;
        this.dependencies = dependencies;
        this.settings = new BackendSettings(settings);
        components = new RequestComponents(
                new IdempotencyCache(),
                new ResponseTracker(),
                new DownstreamCallTracker(dependencies::downstream),
                new InDoubtCommands(dependencies),
                new RunQueueCorrection(this.settings.runQueueIndex()));
        lifecycle = new RequestLifecycle(this.settings, components, batch);
        healthChecks = new HealthChecks(dependencies::startDeepCheck);
        decisionExecutor = new DecisionExecutor(dependencies, lifecycle, components, healthChecks, batch);
        // Settings that the controller cannot use are to be found now, and not when the agent is up.
        new OverloadController(this.settings.forController(), seed);
    }

    // ---- state

    /** The index of the priority class of that name, or -1. */
    public int priorityClassIndex(String name) {
        return settings.priorityClassIndex(name);
    }

    /** The backpressure level to send with every response, or NaN while there is none. */
    public double backpressureLevel() {
        return decisionExecutor.backpressureLevel();
    }

    /** Whether the agent is up. */
    public boolean isStarted() {
        return driver != null;
    }

    /** Whether a graceful shutdown has begun. */
    public boolean isDraining() {
        return draining;
    }

    /** Requests that were received and are not yet answered. */
    public int unansweredRequests() {
        return components.responses().unanswered();
    }

    /** Requests that the controller or a duplicate may still name. */
    int trackedRequests() {
        return lifecycle.requests().size();
    }

    /** The controller's view of this server; empty before the agent is up. */
    public Optional<ControllerMetrics> metrics() {
        return driver == null
                ? Optional.empty()
                : Optional.of(driver.controller().metrics());
    }

    /** In shadow mode, how often by kind the shadowed settings would have decided otherwise; else empty. */
    public Map<String, Long> shadowDifferences() {
        return driver == null ? Map.of() : driver.shadowDifferences();
    }

    /** Whether the agent is up and the controller calls this server healthy. */
    public boolean isHealthy() {
        return healthChecks.isHealthy();
    }

    /**
     * Notifies the listener, at once or later, whether requests get served; listeners that wait together share one
     * check.
     */
    public void runDeepCheck(Consumer<Boolean> listener) {
        healthChecks.runDeepCheck(listener);
    }

    // ---- start, recovery and quotas

    /**
     * The agent is up: requests are accepted from now on.
     *
     * @param warmingUp whether the agent has only just started
     */
    public void agentStarted(Duration now, boolean warmingUp) {
        if (draining) {
            return;
        }
        driver = new ControllerDriver<>(settings.forController(warmingUp), seed, decisionExecutor);
        lifecycle.attach(driver);
        fleetState.attach(driver.controller(), now);
        batch.eventAt(now);
    }

    /** See {@link OverloadController#permitNonIdempotentStarts}; set again whenever it changes. */
    public void permitNonIdempotentStarts(Duration from, Duration until) {
        fleetState.permitNonIdempotentStarts(from, until);
    }

    /** See {@link OverloadController#setQuota}. */
    public void setQuota(int priorityClass, QuotaGrant grant) {
        fleetState.setQuota(priorityClass, grant);
    }

    /** See {@link OverloadController#quotaDemand}. */
    public QuotaDemand quotaDemand(Duration now, int priorityClass) {
        return fleetState.quotaDemand(now, priorityClass);
    }

    /** See {@link OverloadController#setWarmStartEstimate}. */
    public void setWarmStartEstimate(double capacity, double completions) {
        fleetState.setWarmStartEstimate(capacity, completions);
    }

    // ---- events of requests

    /**
     * A request has been read.
     *
     * @return the request, to be named if its caller disconnects; empty if it was answered on the spot
     */
    public Optional<TrackedRequest> receive(Duration now, RequestMetadata metadata, byte[] body, ResponseSink sink) {
        return lifecycle.receive(now, metadata, body, sink);
    }

    /** Nobody waits for the response any longer. */
    public void callerDisconnected(Duration now, TrackedRequest request) {
        lifecycle.callerDisconnected(now, request);
    }

    /** A run has ended; the result counts only with {@link Outcome#OK}. */
    public void runEnded(Duration now, long id, Outcome outcome, byte[] result) {
        lifecycle.runEnded(now, id, outcome, result);
    }

    /** A run needs the reply to a downstream call to continue. */
    public void callNeeded(Duration now, long id, byte[] body) {
        lifecycle.callNeeded(now, id, body);
    }

    @Override
    public void callEnded(Duration now, long id, Outcome outcome, byte[] reply) {
        lifecycle.callEnded(now, id, outcome, reply);
    }

    // ---- events of the process and of the agent

    /** The wake-up that was scheduled last has fired. */
    public void wakeUp(Duration now) {
        batch.eventAt(now);
        driver.wakeUpFired();
        if (dependencies.pollMetrics()) {
            components.runQueue().pollSent();
        }
    }

    /**
     * The answer to a poll of the agent's metrics, in the order of the setting {@code gauges}; the array is written to.
     */
    public void metricsReceived(Duration now, double[] metrics) {
        if (driver == null) {
            return;
        }
        batch.eventAt(now);
        components.runQueue().apply(metrics);
        driver.controller().updateGauges(now, metrics);
    }

    /** The deep check in flight has ended. */
    public void deepCheckCompleted(boolean passed) {
        healthChecks.deepCheckCompleted(passed);
    }

    /** Begins a graceful shutdown: the process is stopped at the given time. Only the first notice counts. */
    public void startDrain(Duration now, Duration stopAt) {
        if (draining) {
            return;
        }
        draining = true;
        if (driver != null) {
            batch.eventAt(now);
            driver.controller().startDrain(now, stopAt);
        }
    }

    /**
     * The link to the agent is lost, and was last known to work at the given time. Runs continue; commands since then
     * are in doubt.
     */
    public void agentLinkLost(Duration lastConfirmed) {
        components.commands().linkLost(lastConfirmed);
    }

    /** There is a new link to the agent: commands from now on reach it. */
    public void agentLinkRestored(Duration now) {
        batch.eventAt(now);
        components.commands().linkRestored(lifecycle.requests());
    }

    /** All events of the time without a link have been read: commands in doubt are sent again. */
    public void agentEventsCaughtUp(Duration now) {
        batch.eventAt(now);
        components.commands().resend(lifecycle.requests(), now);
    }

    /**
     * Events of the agent were lost for good: how the present runs ended is not known, and they are not started again.
     */
    public void agentEventsLost(Duration now) {
        lifecycle.agentEventsLost(now);
    }

    /**
     * To be called after each batch of events: decides and carries out, as long as that makes further decisions
     * necessary.
     */
    public void decide(Duration now) {
        while (batch.isDecisionNeeded() && driver != null) {
            batch.beginDecision(now);
            driver.decide(now);
            components.idempotencyCache().releaseExpired(now);
        }
    }
}
