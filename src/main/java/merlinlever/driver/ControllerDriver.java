package merlinlever.driver;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import merlinlever.controller.Decisions;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestHandle;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.policy.OverloadController;

/**
 * Drives one {@link OverloadController}: hands its decisions to the handler, in terms of the handler's own requests, and
 * keeps its next wake-up. Not thread-safe.
 *
 * @param <T> how the handler names a request
 */
public final class ControllerDriver<T> {

    /** The handle of a request of which nothing is known any more; events for it have no effect. */
    public static final RequestHandle UNKNOWN_REQUEST = new RequestHandle() {
        @Override
        public void runEnded(Duration now, Outcome outcome) {}

        @Override
        public void callNeeded(Duration now) {}

        @Override
        public void callEnded(Duration now, Outcome outcome, Duration elapsed) {}

        @Override
        public void callerGone(Duration now) {}
    };

    private final OverloadController controller;
    private final DecisionHandler<T> handler;
    private final Map<String, Integer> priorityClassIndexes;
    private final DecisionDispatcher<T> dispatcher;
    private final Optional<ShadowModeCounter> shadowMode;
    /** Null while no wake-up is scheduled. */
    private Duration nextWakeUp;

    /**
     * Creates the controller.
     *
     * @param seed the seed of the controller's random draws
     */
    public ControllerDriver(ControllerSettings settings, long seed, DecisionHandler<T> handler) {
        this.handler = handler;
        dispatcher = new DecisionDispatcher<>(handler);
        priorityClassIndexes = priorityClassIndexes(settings);
        controller = new OverloadController(settings, seed);
        shadowMode = ShadowModeCounter.of(settings);
    }

    /** In shadow mode, how often by kind the shadowed settings would have decided otherwise; else empty. */
    public Map<String, Long> shadowDifferences() {
        return shadowMode.map(ShadowModeCounter::differences).orElse(Map.of());
    }

    /** The index of each priority class by its name. */
    public static Map<String, Integer> priorityClassIndexes(ControllerSettings settings) {
        Map<String, Integer> indexes = new HashMap<>();
        List<PriorityClassSettings> classes = settings.priorityClasses();
        for (int i = 0; i < classes.size(); i++) {
            indexes.put(classes.get(i).name(), i);
        }
        return indexes;
    }

    /** The controller, for events that need no handle. */
    public OverloadController controller() {
        return controller;
    }

    /** The index of the priority class of that name, or -1. */
    public int priorityClassIndex(String name) {
        return priorityClassIndexes.getOrDefault(name, -1);
    }

    /** From now on the handler is given decisions about the handle under this name. */
    public RequestHandle register(RequestHandle handle, T request) {
        dispatcher.register(handle, request);
        return handle;
    }

    /** The wake-up that was scheduled last has fired. */
    public void wakeUpFired() {
        nextWakeUp = null;
    }

    /** Lets the controller decide on all events so far and hands its decisions to the handler. */
    public void decide(Duration now) {
        Decisions decisions = controller.decide(now);
        shadowMode.ifPresent(counter -> counter.count(decisions));
        decisions.inExecutionOrder().forEach(dispatcher::dispatch);
        Duration nextDecisionAt = decisions.nextDecisionAt();
        if (nextWakeUp == null || nextDecisionAt.compareTo(nextWakeUp) < 0) {
            nextWakeUp = nextDecisionAt;
            handler.scheduleWakeUp(nextWakeUp);
        }
    }
}
