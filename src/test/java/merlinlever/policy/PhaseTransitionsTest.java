package merlinlever.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import merlinlever.controller.ControllerEvent;
import merlinlever.controller.Decision;
import merlinlever.controller.RequestAttributes;
import merlinlever.controller.settings.ControllerSettings;
import merlinlever.controller.settings.PriorityClassSettings;
import merlinlever.policy.Request.Phase;
import org.junit.jupiter.api.Test;

/** Tests which phase transitions of a request are legal, and that an illegal one is reported. */
class PhaseTransitionsTest {

    private final PhaseTransitions transitions = new PhaseTransitions();

    @Test
    void everyUnfinishedPhaseCanFinishAndNoPhaseFollowsItself() {
        for (Phase phase : Phase.values()) {
            assertEquals(phase != Phase.FINISHED, transitions.isLegal(phase, Phase.FINISHED), "" + phase);
            assertFalse(transitions.isLegal(phase, phase), "" + phase);
            assertFalse(transitions.isLegal(Phase.FINISHED, phase), "" + phase);
        }
    }

    @Test
    void onlyQueuedRequestsStartAndOnlyStartedRequestsCall() {
        assertTrue(transitions.isLegal(Phase.QUEUED, Phase.RUNNING));
        assertFalse(transitions.isLegal(Phase.QUEUED, Phase.IN_CALL));
        assertFalse(transitions.isLegal(Phase.AWAITING_ORIGINAL, Phase.RUNNING));
        assertFalse(transitions.isLegal(Phase.RUNNING, Phase.IN_CALL));
        assertFalse(transitions.isLegal(Phase.SHARING_OUTCOME, Phase.QUEUED));
    }

    @Test
    void illegalTransitionFailsWithAssertionsEnabled() {
        ControllerSettings settings = ControllerSettings.builder()
                .addPriorityClass(PriorityClassSettings.named("look"))
                .build();
        ServerState server = new ServerState(settings, 1);
        Request request =
                new Request(server, Duration.ZERO, RequestAttributes.ofClass(0).build());
        server.add(request);
        assertThrows(AssertionError.class, () -> server.moveTo(request, Phase.IN_CALL));
    }

    @Test
    void illegalTransitionIsLoggedOnce() {
        ControllerSettings settings = ControllerSettings.builder()
                .addPriorityClass(PriorityClassSettings.named("look"))
                .build();
        ServerState server = new ServerState(settings, 1);
        server.logIllegalPhaseChange(Phase.QUEUED, Phase.IN_CALL);
        server.logIllegalPhaseChange(Phase.QUEUED, Phase.IN_CALL);
        ControllerEvent event = new ControllerEvent.IllegalPhaseChange("QUEUED", "IN_CALL");
        assertEquals(
                List.of(event),
                server.takeDecisions(Duration.ZERO).of(Decision.Log.class).stream()
                        .map(Decision.Log::event)
                        .toList());
        assertEquals("illegal-phase-change from=QUEUED to=IN_CALL", event.logLine());
    }
}
