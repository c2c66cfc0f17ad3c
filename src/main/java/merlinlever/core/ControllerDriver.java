package merlinlever.core;

import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.Consumer;
import merlinlever.Decisions;
import merlinlever.Outcome;
import merlinlever.RequestHandle;
import merlinlever.policy.OverloadController;

/** Drives one decision module: knows its handles, sets its alarm and carries out what it settles. */
public final class ControllerDriver<T> {

    /** Stands for an operation of which nothing is known any more; what happens to it has no effect. */
    public static final RequestHandle UNKNOWN = new RequestHandle() {
        @Override
        public void runEnded(Duration now, Outcome how) {}

        @Override
        public void callNeeded(Duration now) {}

        @Override
        public void callEnded(Duration now, Outcome how, Duration took) {}

        @Override
        public void callerGone(Duration now) {}
    };

    private final OverloadController control;
    private final DecisionHandler<T> port;
    private final Map<String, Integer> tariffs;
    private final Map<RequestHandle, T> known = new IdentityHashMap<>();
    private Duration alarm;
    private final DeploymentProfile watch;

    public ControllerDriver(Map<String, String> given, long seed, DecisionHandler<T> port) {
        this.port = port;
        tariffs = indices(given, "tariffs");
        control = new OverloadController(given, seed);
        watch = DeploymentProfile.watching(given);
    }

    /** In the watch mode, how often by kind the watched settings would have decided otherwise; else empty. */
    public Map<String, Long> watched() {
        return watch == null ? Map.of() : watch.otherwise();
    }

    static Map<String, Integer> indices(Map<String, String> given, String list) {
        Map<String, Integer> indices = new HashMap<>();
        for (int i = 0; given.containsKey(list + "." + i + ".name"); i++) {
            indices.put(given.get(list + "." + i + ".name"), i);
        }
        return indices;
    }

    public OverloadController control() {
        return control;
    }

    /** The index of the tariff, or -1. */
    public int tariff(String name) {
        return tariffs.getOrDefault(name, -1);
    }

    /** From here on the port hears of the operation by this name. */
    public RequestHandle know(RequestHandle taken, T as) {
        known.put(taken, as);
        return taken;
    }

    /** The last alarm that was set has gone off. */
    public void alarmed() {
        alarm = null;
    }

    public void settle(Duration now) {
        Decisions settled = control.decide(now);
        if (watch != null) {
            watch.seen(settled);
        }
        if (!Double.isNaN(settled.backpressureLevel)) {
            port.level(settled.backpressureLevel);
        }
        if (settled.healthy != null) {
            port.health(settled.healthy);
        }
        if (settled.idleConnectionTimeout != null) {
            port.closeIdle(settled.idleConnectionTimeout);
        }
        settled.retained.forEach(kept -> port.keep(known.get(kept.request()), kept.duration()));
        each(settled.failed, port::breakOff);
        each(settled.stopped, port::halt);
        settled.rejected.forEach(p -> port.pushBack(known.get(p.request()), p.finalRejection(), p.retryAfter()));
        each(settled.evicted, port::forget);
        each(settled.started, port::start);
        each(settled.coalesced, port::share);
        settled.downstreamCalls.forEach(call -> port.call(known.get(call.request()), call.duration()));
        each(settled.skippedCalls, port::omit);
        settled.logLines.forEach(port::log);
        if (settled.nextDecisionAt != null && (alarm == null || settled.nextDecisionAt.compareTo(alarm) < 0)) {
            alarm = settled.nextDecisionAt;
            port.alarm(alarm);
        }
        settled.released.forEach(operation -> port.release(known.remove(operation)));
    }

    private void each(Iterable<RequestHandle> operations, Consumer<T> part) {
        for (RequestHandle operation : operations) {
            part.accept(known.get(operation));
        }
    }
}
