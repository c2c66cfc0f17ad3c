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
 * Drives one {@link OverloadController}: passes its decisions to a handler, with the handler's requests in place of the
 * controller's handles, and schedules its wake-ups. Not thread-safe.
 *
 * @param <T> the handler's representation of a request
 */
public final class ControllerDriver<T> {

    /** Handle of an unknown or discarded request; events of the request have no effect. */
    public static final RequestHandle UNKNOWN_REQUEST = new RequestHandle() {
        @Override
        public void runEnded(Duration now, Outcome outcome) {}

        @Override
        public void runInDoubt(Duration now) {}

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
     * Creates a driver with a new controller.
     *
     * @param seed the seed of the controller's random decisions
     */
    public ControllerDriver(ControllerSettings settings, long seed, DecisionHandler<T> handler) {
        this.handler = handler;
        dispatcher = new DecisionDispatcher<>(handler);
        priorityClassIndexes = priorityClassIndexes(settings);
        controller = new OverloadController(settings, seed);
        shadowMode = ShadowModeCounter.of(settings);
    }

    /** Returns the number of decisions by setting that the shadow profile would change; empty without shadow mode. */
    public Map<String, Long> shadowDifferences() {
        return shadowMode.map(ShadowModeCounter::differences).orElse(Map.of());
    }

    /** Returns the indexes of the priority classes by name. */
    public static Map<String, Integer> priorityClassIndexes(ControllerSettings settings) {
        Map<String, Integer> indexes = new HashMap<>();
        List<PriorityClassSettings> classes = settings.priorityClasses();
        for (int i = 0; i < classes.size(); i++) {
            indexes.put(classes.get(i).name(), i);
        }
        return indexes;
    }

    /** Returns the controller, for events that concern no single request. */
    public OverloadController controller() {
        return controller;
    }

    /** Returns the index of the priority class with the name, or -1. */
    public int priorityClassIndex(String name) {
        return priorityClassIndexes.getOrDefault(name, -1);
    }

    /** Maps the handle to the handler's request in all later decisions; returns the handle. */
    public RequestHandle register(RequestHandle handle, T request) {
        dispatcher.register(handle, request);
        return handle;
    }

    /** Reports that the wake-up scheduled last has fired. */
    public void wakeUpFired() {
        nextWakeUp = null;
    }

    /** Lets the controller decide on all reported events and passes the decisions to the handler. */
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
