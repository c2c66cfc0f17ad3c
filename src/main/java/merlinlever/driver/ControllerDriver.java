package merlinlever.driver;

import java.time.Duration;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import merlinlever.controller.Decision;
import merlinlever.controller.Decisions;
import merlinlever.controller.Outcome;
import merlinlever.controller.RequestHandle;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.controller.settings.RawSettings;
import merlinlever.controller.settings.SettingsParser;
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
    private final IdentityHashMap<RequestHandle, T> requestsByHandle = new IdentityHashMap<>();
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
        priorityClassIndexes = priorityClassIndexes(settings);
        controller = new OverloadController(settings, seed);
        shadowMode = ShadowModeCounter.of(settings);
    }

    /** A controller whose settings are still text. */
    public ControllerDriver(Map<String, String> settings, long seed, DecisionHandler<T> handler) {
        this(SettingsParser.parse(RawSettings.of(settings)), seed, handler);
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
        requestsByHandle.put(handle, request);
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
        decisions.inOrder().forEach(this::carryOut);
        Duration nextDecisionAt = decisions.nextDecisionAt();
        if (nextWakeUp == null || nextDecisionAt.compareTo(nextWakeUp) < 0) {
            nextWakeUp = nextDecisionAt;
            handler.scheduleWakeUp(nextWakeUp);
        }
    }

    private void carryOut(Decision decision) {
        if (decision instanceof Decision.SendBackpressure backpressure) {
            handler.updateBackpressureLevel(backpressure.value());
        } else if (decision instanceof Decision.ReportHealth health) {
            handler.updateHealth(health.healthy());
        } else if (decision instanceof Decision.CloseIdleConnections close) {
            handler.closeIdleConnections(close.idleTimeout());
        } else if (decision instanceof Decision.Log log) {
            handler.log(log.event());
        } else {
            carryOutOnRequest(decision);
        }
    }

    private void carryOutOnRequest(Decision decision) {
        if (decision instanceof Decision.Retain retain) {
            handler.retain(requestOf(retain.request()), retain.retention());
        } else if (decision instanceof Decision.Fail fail) {
            handler.fail(requestOf(fail.request()));
        } else if (decision instanceof Decision.Stop stop) {
            handler.stop(requestOf(stop.request()));
        } else if (decision instanceof Decision.Reject reject) {
            handler.reject(requestOf(reject.request()), reject.isFinal(), reject.retryAfter());
        } else if (decision instanceof Decision.Evict evict) {
            handler.evict(requestOf(evict.request()));
        } else if (decision instanceof Decision.Start start) {
            handler.start(requestOf(start.request()));
        } else if (decision instanceof Decision.ShareOutcome share) {
            handler.shareOutcome(requestOf(share.request()));
        } else if (decision instanceof Decision.CallDownstream call) {
            handler.callDownstream(requestOf(call.request()), call.timeout());
        } else if (decision instanceof Decision.SkipCall skip) {
            handler.skipCall(requestOf(skip.request()));
        } else if (decision instanceof Decision.Release release) {
            handler.release(requestsByHandle.remove(release.request()));
        } else {
            throw new IllegalStateException("unhandled kind of decision: " + decision);
        }
    }

    private T requestOf(RequestHandle handle) {
        return requestsByHandle.get(handle);
    }
}
