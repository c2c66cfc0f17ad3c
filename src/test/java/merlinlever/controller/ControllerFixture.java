package merlinlever.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.common.Durations;
import merlinlever.controller.settings.BackpressureSignal;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.DeploymentProfile;
import merlinlever.controller.settings.DownstreamKind;
import merlinlever.controller.settings.Gauge;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.controller.settings.RequestSemantics;
import merlinlever.controller.settings.RunStopping;
import merlinlever.policy.OverloadController;

/** A controller under test with its settings, a clock and helper methods. */
final class ControllerFixture {

    /** Index of an idempotent class with a low weight. */
    static final int LOOKUP = 0;
    /** Index of a class that is idempotent by key. */
    static final int CHARGE = 1;
    /** Index of a non-idempotent class. */
    static final int ORDER = 2;
    /** Index of a class that is idempotent by key, and the only class that makes downstream calls. */
    static final int CALLING = 3;

    private static final int CORES = 8;

    private final ControllerSettings.Builder settings = ControllerSettings.builder();
    private DownstreamKind downstream = DownstreamKind.NONE;
    private RunStopping runStopping = RunStopping.DROP;
    private BackpressureSignal signal = BackpressureSignal.NONE;
    long seed = 7;
    Duration now = Duration.ZERO;
    DecidedBatch lastBatch;
    /** The last idle timeout that was decided, or null. */
    Duration idleConnectionTimeout;

    private OverloadController controller;

    ControllerFixture() {
        settings.cores(CORES)
                .memoryKb(100_000)
                .runMemoryFactor(4)
                .gauges(List.of(Gauge.CPU_BUSY, Gauge.RUN_QUEUE))
                .memoryPerKeyKb(100)
                .overloadFactor(4)
                .drainGrace(Duration.ofSeconds(2))
                .maxRetryAfter(Duration.ofSeconds(1))
                .addPriorityClass(priorityClass(LOOKUP, RequestSemantics.IDEMPOTENT, 1))
                .addPriorityClass(priorityClass(CHARGE, RequestSemantics.IDEMPOTENT_BY_KEY, 4))
                .addPriorityClass(priorityClass(ORDER, RequestSemantics.NON_IDEMPOTENT, 4))
                .addPriorityClass(priorityClass(CALLING, RequestSemantics.IDEMPOTENT_BY_KEY, 4));
    }

    private static PriorityClassSettings.Builder priorityClass(int index, RequestSemantics semantics, double weight) {
        return PriorityClassSettings.named("t" + index)
                .semantics(semantics)
                .weight(weight)
                .latencyObjective(Duration.ofSeconds(1))
                .clientTimeout(Duration.ofSeconds(3))
                .idempotencyWindow(Duration.ofSeconds(10))
                .makesCalls(index == CALLING);
    }

    /** Changes settings; allowed only before the first use of the controller. */
    ControllerFixture with(Consumer<ControllerSettings.Builder> change) {
        change.accept(settings);
        return this;
    }

    /** Sets the kind of downstream service; allowed only before the first use of the controller. */
    ControllerFixture withDownstream(DownstreamKind downstreamKind) {
        downstream = downstreamKind;
        return this;
    }

    /** Sets how runs can be stopped; allowed only before the first use of the controller. */
    ControllerFixture withRunStopping(RunStopping stoppingMode) {
        runStopping = stoppingMode;
        return this;
    }

    /** Sets the backpressure signal; allowed only before the first use of the controller. */
    ControllerFixture withSignal(BackpressureSignal backpressureSignal) {
        signal = backpressureSignal;
        return this;
    }

    OverloadController controller() {
        if (controller == null) {
            settings.deployment(new DeploymentProfile(downstream, runStopping, false, signal));
            controller = new OverloadController(settings.build(), seed);
        }
        return controller;
    }

    RequestHandle submit(int priorityClass) {
        return submit(priorityClass, 0, 10, null);
    }

    /** Submits a request; with an original, the request is a duplicate that is marked as a retry. */
    RequestHandle submit(int priorityClass, double readDelayMs, double memoryKb, RequestHandle original) {
        return submit(RequestAttributes.ofClass(priorityClass)
                .readDelay(Durations.ofMillis(readDelayMs))
                .memoryKb(memoryKb)
                .retry(original != null)
                .shareable(true)
                .original(Optional.ofNullable(original)));
    }

    /** Submits a request that is marked as a retry, without a known original. */
    RequestHandle submitRetry(int priorityClass) {
        return submit(RequestAttributes.ofClass(priorityClass)
                .memoryKb(10)
                .retry(true)
                .shareable(true));
    }

    RequestHandle submit(RequestAttributes.Builder attributes) {
        return controller().submit(now, attributes.build());
    }

    DecidedBatch decide() {
        lastBatch = new DecidedBatch(controller().decide(now));
        lastBatch.idleConnectionTimeout().ifPresent(timeout -> idleConnectionTimeout = timeout);
        return lastBatch;
    }

    DecidedBatch decideAfter(double ms) {
        now = now.plus(Durations.ofMillis(ms));
        return decide();
    }

    void updateGauges(double busy, double runQueue) {
        controller().updateGauges(now, new double[] {busy, runQueue});
    }

    /** Completes two lookups per round, so that the controller learns the capacity and the run time. */
    ControllerFixture warmUp(int rounds, double runMs) {
        for (int i = 0; i < rounds; i++) {
            List<RequestHandle> started = List.of(submit(LOOKUP), submit(LOOKUP));
            decide();
            now = now.plus(Durations.ofMillis(runMs));
            started.forEach(handle -> handle.runEnded(now, Outcome.OK));
            updateGauges(0, 0);
            decide();
        }
        return this;
    }

    /** Starts an order on every core; returns the handles of the orders. */
    List<RequestHandle> occupyAllCores() {
        List<RequestHandle> running = new ArrayList<>();
        for (int i = 0; i < CORES; i++) {
            running.add(submit(ORDER));
            decide();
        }
        updateGauges(1, CORES);
        return running;
    }

    /** Whether the last batch rejected the request. */
    boolean wasRejected(RequestHandle handle) {
        return lastBatch.rejected().stream().anyMatch(rejection -> rejection.request() == handle);
    }
}
