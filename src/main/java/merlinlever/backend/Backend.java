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
 * The core of a backend, without its sockets. Tracks each request from its receipt to its single response, including
 * the run on the agent and the downstream calls of the run. All events are passed to an {@link OverloadController},
 * whose decisions are carried out after each batch of events ({@link #decide}). All methods are called on the event
 * loop's thread; all times are readings of the event loop's clock.
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
    /** Null until the agent is up. */
    private ControllerDriver<TrackedRequest> driver;

    private boolean draining;

    /**
     * Creates a backend whose agent is not up yet. All requests are rejected until {@link #agentStarted}.
     *
     * @param settings the controller's settings
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
                new InDoubtCommands(dependencies, this.settings),
                new RunQueueCorrection(this.settings.runQueueIndex()));
        lifecycle = new RequestLifecycle(this.settings, components, batch);
        healthChecks = new HealthChecks(dependencies::startDeepCheck);
        decisionExecutor = new DecisionExecutor(dependencies, lifecycle, components, healthChecks, batch);
        // Validates the settings at construction rather than when the agent comes up.
        new OverloadController(this.settings.forController(), seed);
    }

    // ---- state

    /** Returns the index of the priority class with the name, or -1 if there is none. */
    public int priorityClassIndex(String name) {
        return settings.priorityClassIndex(name);
    }

    /** Returns the backpressure level to send with every response, or NaN while there is none. */
    public double backpressureLevel() {
        return decisionExecutor.backpressureLevel();
    }

    /** Returns whether the agent is up. */
    public boolean isStarted() {
        return driver != null;
    }

    /** Returns whether a graceful shutdown has begun. */
    public boolean isDraining() {
        return draining;
    }

    /** Returns the number of requests that were received and are not yet answered. */
    public int unansweredRequests() {
        return components.responses().unanswered();
    }

    /** Returns the number of requests that the controller or a duplicate may still refer to. */
    int trackedRequests() {
        return lifecycle.requests().size();
    }

    /** Returns the controller's metrics of this server; empty until the agent is up. */
    public Optional<ControllerMetrics> metrics() {
        return driver == null
                ? Optional.empty()
                : Optional.of(driver.controller().metrics());
    }

    /**
     * Returns, in shadow mode, how often decisions under the shadow settings differed, by kind of decision; empty
     * outside shadow mode.
     */
    public Map<String, Long> shadowDifferences() {
        return driver == null ? Map.of() : driver.shadowDifferences();
    }

    /** Returns whether the agent is up and the controller reports this server as healthy. */
    public boolean isHealthy() {
        return healthChecks.isHealthy();
    }

    /**
     * Checks whether the server can serve requests, and notifies the listener of the result, possibly before this
     * method returns. Concurrent callers share one check.
     */
    public void runDeepCheck(Consumer<Boolean> listener) {
        healthChecks.runDeepCheck(listener);
    }

    // ---- start, recovery and quotas

    /**
     * Notes that the agent is up and begins to accept requests.
     *
     * @param warmingUp whether the agent process has just started
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

    /** See {@link OverloadController#permitNonIdempotentStarts}. Called again whenever the permitted period changes. */
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
     * Handles a request that was read from a connection.
     *
     * @return the tracked request, to be passed to {@link #callerDisconnected} if the caller disconnects; empty if the
     *     request was answered immediately
     */
    public Optional<TrackedRequest> receive(Duration now, RequestMetadata metadata, byte[] body, ResponseSink sink) {
        return lifecycle.receive(now, metadata, body, sink);
    }

    /** Handles the disconnect of the request's caller: no response is sent any more. */
    public void callerDisconnected(Duration now, TrackedRequest request) {
        lifecycle.callerDisconnected(now, request);
    }

    /** Handles the end of a run. The result is ignored unless the outcome is {@link Outcome#OK}. */
    public void runEnded(Duration now, long id, Outcome outcome, byte[] result) {
        lifecycle.runEnded(now, id, outcome, result);
    }

    /** Handles a run's request for a downstream call; the run continues after the reply. */
    public void callNeeded(Duration now, long id, byte[] body) {
        lifecycle.callNeeded(now, id, body);
    }

    @Override
    public void callEnded(Duration now, long id, Outcome outcome, byte[] reply) {
        lifecycle.callEnded(now, id, outcome, reply);
    }

    // ---- events of the process and of the agent

    /** Handles the wake-up that was scheduled last. */
    public void wakeUp(Duration now) {
        batch.eventAt(now);
        driver.wakeUpFired();
        if (dependencies.pollMetrics()) {
            components.runQueue().pollSent();
        }
    }

    /**
     * Handles the response to a poll of the agent's metrics.
     *
     * @param metrics values in the order of the setting {@code gauges}; the array is modified
     */
    public void metricsReceived(Duration now, double[] metrics) {
        if (driver == null) {
            return;
        }
        batch.eventAt(now);
        components.runQueue().apply(metrics);
        driver.controller().updateGauges(now, metrics);
    }

    /** Handles the end of the deep check in flight. */
    public void deepCheckCompleted(boolean passed) {
        healthChecks.deepCheckCompleted(passed);
    }

    /** Begins a graceful shutdown of a process that is stopped at the given time. Later calls have no effect. */
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
     * Handles the loss of the link to the agent. Runs continue. Commands sent since shortly before the link was last
     * confirmed to work may not have been delivered.
     */
    public void agentLinkLost(Duration lastConfirmed) {
        components.commands().linkLost(lastConfirmed);
    }

    /** Handles a new link to the agent, which carries the commands that follow. */
    public void agentLinkRestored(Duration now) {
        batch.eventAt(now);
        components.commands().linkRestored(lifecycle.requests());
    }

    /** Handles commands in doubt, once all agent events of the time without a link have been read. */
    public void agentEventsCaughtUp(Duration now) {
        batch.eventAt(now);
        components.commands().eventsCaughtUp(lifecycle.requests(), now);
    }

    /**
     * Handles the permanent loss of agent events. The outcomes of the current runs are unknown, so these runs fail and
     * are not started again.
     */
    public void agentEventsLost(Duration now) {
        lifecycle.agentEventsLost(now);
    }

    /**
     * Makes and carries out the controller's decisions, repeatedly if carrying them out requires further decisions.
     * Called after each batch of events.
     */
    public void decide(Duration now) {
        while (batch.isDecisionNeeded() && driver != null) {
            batch.beginDecision(now);
            driver.decide(now);
            components.idempotencyCache().releaseExpired(now);
        }
    }
}
