package merlinlever.backend;

import java.time.Duration;
import merlinlever.controller.ControllerEvent;
import merlinlever.controller.Outcome;
import merlinlever.driver.DecisionHandler;

/** Carries out the controller's decisions on the requests of one backend. */
final class DecisionExecutor implements DecisionHandler<TrackedRequest> {

    private final BackendDependencies dependencies;
    private final RequestLifecycle lifecycle;
    private final RequestComponents components;
    private final HealthChecks healthChecks;
    private final BatchState batch;
    private double backpressureLevel = Double.NaN;

    DecisionExecutor(
            BackendDependencies dependencies,
            RequestLifecycle lifecycle,
            RequestComponents components,
            HealthChecks healthChecks,
            BatchState batch) {
        this.dependencies = dependencies;
        this.lifecycle = lifecycle;
        this.components = components;
        this.healthChecks = healthChecks;
        this.batch = batch;
    }

    /** Returns the backpressure level to send with every response, or NaN while there is none. */
    double backpressureLevel() {
        return backpressureLevel;
    }

    @Override
    public void updateBackpressureLevel(double level) {
        backpressureLevel = level;
    }

    @Override
    public void updateHealth(boolean healthy) {
        healthChecks.updateHealth(healthy);
    }

    @Override
    public void closeIdleConnections(Duration idleTimeout) {
        dependencies.closeIdleConnections(idleTimeout);
    }

    @Override
    public void retain(TrackedRequest request, Duration retention) {
        components.idempotencyCache().retain(request, batch.now().plus(retention));
    }

    @Override
    public void fail(TrackedRequest request) {
        components.responses().respond(request, Outcome.ERROR, null);
        components.downstreamCalls().cancel(request);
        components.idempotencyCache().evictIfNeverRun(request);
    }

    @Override
    public void stop(TrackedRequest request) {
        if (request.isRunning()) {
            request.markStopRequested();
            dependencies.stop(request);
        }
    }

    @Override
    public void abandonRun(TrackedRequest request) {
        dependencies.log("agent-run-abandoned request=" + request.idText());
        lifecycle.runEnded(batch.now(), request.id(), Outcome.ERROR, null);
    }

    @Override
    public void reject(TrackedRequest request, boolean finalRejection, Duration retryAfter) {
        components.responses().reject(request, finalRejection, retryAfter);
        components.idempotencyCache().evictIfNeverRun(request);
    }

    @Override
    public void evict(TrackedRequest request) {
        components.idempotencyCache().evict(request);
    }

    @Override
    public void start(TrackedRequest request) {
        request.markLaunched();
        components.runQueue().runStarted();
        components.commands().launch(request, batch.now());
    }

    @Override
    public void shareOutcome(TrackedRequest request) {
        TrackedRequest original = components.idempotencyCache().findOriginal(request);
        if (original != null && original.isRunning()) {
            original.coalesce(request);
        } else if (components.responses().endWithOutcomeOf(original, request, batch.now())) {
            batch.requestDecision();
        }
    }

    @Override
    public void callDownstream(TrackedRequest request, Duration timeout) {
        components.downstreamCalls().startCall(request, batch.now(), timeout);
    }

    @Override
    public void skipCall(TrackedRequest request) {
        components.downstreamCalls().callSkipped(request);
        dependencies.continueWithoutCall(request);
    }

    @Override
    public void log(ControllerEvent event) {
        dependencies.log(event.logLine());
    }

    @Override
    public void scheduleWakeUp(Duration at) {
        dependencies.scheduleWakeUp(at);
    }

    @Override
    public void release(TrackedRequest request) {
        lifecycle.release(request);
    }
}
