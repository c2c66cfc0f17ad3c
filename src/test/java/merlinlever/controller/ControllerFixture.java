package merlinlever.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import merlinlever.common.Durations;
import merlinlever.policy.OverloadController;

/** A controller with its settings and a clock, and short ways to drive it. */
final class ControllerFixture {

    /** Idempotent, of little weight. */
    static final int LOOKUP = 0;
    /** Idempotent by key. */
    static final int CHARGE = 1;
    /** Not idempotent. */
    static final int ORDER = 2;
    /** Idempotent by key, and the only class that makes downstream calls. */
    static final int CALLING = 3;

    private static final int CORES = 8;

    final Map<String, String> settings = new HashMap<>();
    long seed = 7;
    Duration now = Duration.ZERO;
    DecidedBatch lastBatch;
    /** As decided last, or null. */
    Duration idleConnectionTimeout;

    private OverloadController controller;

    ControllerFixture() {
        with("server.cores", CORES);
        with("server.memory-kb", 100_000);
        with("server.run-factor", 4);
        with("server.halt", "drop");
        with("server.gauges", "busy,run-queue");
        with("server.calls-by-tariff", "false,false,false,true");
        with("server.kb-per-fingerprint", 100);
        with("rules.crowd-factor", 4);
        with("rules.drain-grace", 2000);
        with("limits.stay-away", true);
        with("limits.longest-stay-away", 1000);
        priorityClass(LOOKUP, "retriable", 1);
        priorityClass(CHARGE, "fingerprinted", 4);
        priorityClass(ORDER, "binding", 4);
        priorityClass(CALLING, "fingerprinted", 4);
    }

    private void priorityClass(int index, String kind, double weight) {
        String prefix = "tariffs." + index + ".";
        with(prefix + "name", "t" + index);
        with(prefix + "kind", kind);
        with(prefix + "value", weight);
        with(prefix + "soft-limit", 1000);
        with(prefix + "client-timeout", 3000);
        with(prefix + "window", 10_000);
    }

    /** Sets a setting; only before the controller is first used. */
    ControllerFixture with(String name, Object value) {
        settings.put(name, String.valueOf(value));
        return this;
    }

    OverloadController controller() {
        if (controller == null) {
            controller = new OverloadController(settings, seed);
        }
        return controller;
    }

    RequestHandle submit(int priorityClass) {
        return submit(priorityClass, 0, 10, null);
    }

    /** A duplicate of the original, marked as a retry, unless that is null. */
    RequestHandle submit(int priorityClass, double readDelayMs, double memoryKb, RequestHandle original) {
        return submit(RequestAttributes.ofClass(priorityClass)
                .readDelay(Durations.ofMillis(readDelayMs))
                .memoryKb(memoryKb)
                .retry(original != null)
                .shareable(true)
                .original(Optional.ofNullable(original)));
    }

    /** A request that is marked as a retry, of an original that is not known. */
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

    /** Runs two lookups to their end, over and over, so that the controller learns what the server can do. */
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

    /** Runs an order on every core; returns their handles. */
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
