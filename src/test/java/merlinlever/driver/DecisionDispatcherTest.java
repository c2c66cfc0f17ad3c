package merlinlever.driver;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import merlinlever.controller.ControllerEvent;
import merlinlever.controller.Decision;
import merlinlever.controller.RequestHandle;
import org.junit.jupiter.api.Test;

class DecisionDispatcherTest {

    private static final RequestHandle HANDLE = ControllerDriver.UNKNOWN_REQUEST;
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final ControllerEvent EVENT = new ControllerEvent.DrainStarted(SECOND, 2, 3);

    private static final List<Decision> ONE_OF_EACH_KIND = List.of(
            new Decision.SendBackpressure(0.5),
            new Decision.ReportHealth(true),
            new Decision.CloseIdleConnections(SECOND),
            new Decision.Retain(HANDLE, SECOND),
            new Decision.Fail(HANDLE),
            new Decision.Stop(HANDLE),
            new Decision.AbandonRun(HANDLE),
            new Decision.Reject(HANDLE, true, SECOND),
            new Decision.Evict(HANDLE),
            new Decision.Start(HANDLE),
            new Decision.ShareOutcome(HANDLE),
            new Decision.CallDownstream(HANDLE, SECOND),
            new Decision.SkipCall(HANDLE),
            new Decision.Log(EVENT),
            new Decision.Release(HANDLE));

    private final List<String> calls = new ArrayList<>();

    @SuppressWarnings("unchecked")
    private final DecisionHandler<String> handler = (DecisionHandler<String>) Proxy.newProxyInstance(
            DecisionHandler.class.getClassLoader(), new Class<?>[] {DecisionHandler.class}, (proxy, method, values) -> {
                calls.add(method.getName()
                        + Arrays.stream(values).map(String::valueOf).collect(Collectors.joining(",", "(", ")")));
                return null;
            });

    @Test
    void everyKindOfDecisionCallsItsHandlerMethod() {
        DecisionDispatcher<String> dispatcher = new DecisionDispatcher<>(handler);
        dispatcher.register(HANDLE, "request");
        ONE_OF_EACH_KIND.forEach(dispatcher::dispatch);
        List<String> expected = List.of(
                "updateBackpressureLevel(0.5)",
                "updateHealth(true)",
                "closeIdleConnections(PT1S)",
                "retain(request,PT1S)",
                "fail(request)",
                "stop(request)",
                "abandonRun(request)",
                "reject(request,true,PT1S)",
                "evict(request)",
                "start(request)",
                "shareOutcome(request)",
                "callDownstream(request,PT1S)",
                "skipCall(request)",
                "log(" + EVENT + ")",
                "release(request)");
        assertEquals(expected, calls);
    }

    @Test
    void testDataContainsEveryKindOfDecision() {
        assertEquals(
                List.of(Decision.class.getPermittedSubclasses()),
                ONE_OF_EACH_KIND.stream().map(Object::getClass).toList());
    }

    @Test
    void releasedRequestIsDiscarded() {
        DecisionDispatcher<String> dispatcher = new DecisionDispatcher<>(handler);
        dispatcher.register(HANDLE, "request");
        dispatcher.dispatch(new Decision.Release(HANDLE));
        dispatcher.dispatch(new Decision.Release(HANDLE));
        assertEquals(List.of("release(request)", "release(null)"), calls);
    }
}
