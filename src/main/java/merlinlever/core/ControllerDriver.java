package merlinlever.core;

import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import merlinlever.Decisions;
import merlinlever.Outcome;
import merlinlever.RequestHandle;
import merlinlever.policy.OverloadController;

/**
 * Drives one {@link OverloadController}: maps its handles to the requests of the handler, keeps its next wake-up and
 * passes on what it decides. Not thread-safe.
 *
 * @param <T> how the handler names a request
 */
public final class ControllerDriver<T> {

    /** The handle of a request of which nothing is known any more; events for it have no effect. */
    public static final RequestHandle UNKNOWN_REQUEST = new RequestHandle() {
        @Override
        public void ended(Duration now, Outcome outcome) {}

        @Override
        public void reachedCall(Duration now) {}

        @Override
        public void callEnded(Duration now, Outcome outcome, Duration elapsed) {}

        @Override
        public void callerGone(Duration now) {}
    };

    private final OverloadController controller;
    private final DecisionHandler<T> handler;
    private final Map<String, Integer> priorityClassIndexes;
    private final Map<RequestHandle, T> requestsByHandle = new IdentityHashMap<>();
    private final Optional<ShadowModeCounter> shadowMode;
    /** Null while no wake-up is scheduled. */
    private Duration nextWakeUp;

    /**
     * Creates the controller.
     *
     * @param settings the settings by their internal names, see {@link SettingsTranslator}
     * @param seed the seed of the controller's random draws
     */
    public ControllerDriver(Map<String, String> settings, long seed, DecisionHandler<T> handler) {
        this.handler = handler;
        priorityClassIndexes = priorityClassIndexes(settings);
        controller = new OverloadController(settings, seed);
        shadowMode = ShadowModeCounter.of(settings);
    }

    /** In shadow mode, how often by kind the shadowed settings would have decided otherwise; else empty. */
    public Map<String, Long> shadowDifferences() {
        return shadowMode.map(ShadowModeCounter::differences).orElse(Map.of());
    }

    static Map<String, Integer> priorityClassIndexes(Map<String, String> settings) {
        Map<String, Integer> indexes = new HashMap<>();
        for (int i = 0; settings.containsKey(SettingNames.ofPriorityClass(i, "name")); i++) {
            indexes.put(settings.get(SettingNames.ofPriorityClass(i, "name")), i);
        }
        return indexes;
    }

    public OverloadController controller() {
        return controller;
    }

    /** The index of the priority class of that name, or -1. */
    public int priorityClassIndex(String name) {
        return priorityClassIndexes.getOrDefault(name, -1);
    }

    /** From now on the handler is given decisions about the handle under this name. */
    public RequestHandle register(RequestHandle handle, T request) {
        requestsByHandle.put(handle, request);
        return handle;
    }

    /** The wake-up that was scheduled last has fired. */
    public void wakeUpFired() {
        nextWakeUp = null;
    }

    /** Lets the controller decide on all events so far and hands its decisions to the handler. */
    public void decide(Duration now) {
        Decisions decisions = controller.settle(now);
        shadowMode.ifPresent(counter -> counter.count(decisions));
        if (!Double.isNaN(decisions.level)) {
            handler.updateBackpressureLevel(decisions.level);
        }
        if (decisions.healthy != null) {
            handler.updateHealth(decisions.healthy);
        }
        if (decisions.closeIdle != null) {
            handler.closeIdleConnections(decisions.closeIdle);
        }
        decisions.kept.forEach(kept -> handler.retain(requestsByHandle.get(kept.operation()), kept.span()));
        forEachRequest(decisions.brokenOff, handler::fail);
        forEachRequest(decisions.halted, handler::stop);
        decisions.pushedBack.forEach(rejection -> handler.reject(
                requestsByHandle.get(rejection.operation()), rejection.nowhereElse(), rejection.stayAway()));
        forEachRequest(decisions.forgotten, handler::evict);
        forEachRequest(decisions.started, handler::start);
        forEachRequest(decisions.shared, handler::shareOutcome);
        decisions.called.forEach(call -> handler.callDownstream(requestsByHandle.get(call.operation()), call.span()));
        forEachRequest(decisions.omitted, handler::skipCall);
        decisions.log.forEach(handler::log);
        if (decisions.nextLook != null && (nextWakeUp == null || decisions.nextLook.compareTo(nextWakeUp) < 0)) {
            nextWakeUp = decisions.nextLook;
            handler.scheduleWakeUp(nextWakeUp);
        }
        decisions.released.forEach(handle -> handler.release(requestsByHandle.remove(handle)));
    }

    private void forEachRequest(Iterable<RequestHandle> handles, Consumer<T> action) {
        for (RequestHandle handle : handles) {
            action.accept(requestsByHandle.get(handle));
        }
    }
}
