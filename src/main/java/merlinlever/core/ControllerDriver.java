package merlinlever.core;

import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import merlinlever.ControllerEvent;
import merlinlever.Decision;
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
    private final Decision.Visitor visitor = new PortVisitor();
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
        settled.inOrder().forEach(decision -> decision.accept(visitor));
        if (alarm == null || settled.nextDecisionAt().compareTo(alarm) < 0) {
            alarm = settled.nextDecisionAt();
            port.alarm(alarm);
        }
    }

    /** Passes each decision on to the port, which knows the requests by its own names. */
    private final class PortVisitor implements Decision.Visitor {

        @Override
        public void sendBackpressure(double value) {
            port.level(value);
        }

        @Override
        public void reportHealth(boolean healthy) {
            port.health(healthy);
        }

        @Override
        public void closeIdleConnections(Duration idleTimeout) {
            port.closeIdle(idleTimeout);
        }

        @Override
        public void retain(RequestHandle request, Duration retention) {
            port.keep(known.get(request), retention);
        }

        @Override
        public void fail(RequestHandle request) {
            port.breakOff(known.get(request));
        }

        @Override
        public void stop(RequestHandle request) {
            port.halt(known.get(request));
        }

        @Override
        public void reject(RequestHandle request, boolean isFinal, Duration retryAfter) {
            port.pushBack(known.get(request), isFinal, retryAfter);
        }

        @Override
        public void evict(RequestHandle request) {
            port.forget(known.get(request));
        }

        @Override
        public void start(RequestHandle request) {
            port.start(known.get(request));
        }

        @Override
        public void shareOutcome(RequestHandle request) {
            port.share(known.get(request));
        }

        @Override
        public void callDownstream(RequestHandle request, Duration timeout) {
            port.call(known.get(request), timeout);
        }

        @Override
        public void skipCall(RequestHandle request) {
            port.omit(known.get(request));
        }

        @Override
        public void log(ControllerEvent event) {
            port.log(event);
        }

        @Override
        public void release(RequestHandle request) {
            port.release(known.remove(request));
        }
    }
}
