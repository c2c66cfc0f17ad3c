package merlinlever.backend;

import static merlinlever.backend.BatchedBackendFixture.REJECTED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import merlinlever.controller.Outcome;
import org.junit.jupiter.api.Test;

/** The life of a request, with a clock and dependencies of the test's own. */
class BackendTest {

    @Test
    void runWithACallIsAnsweredOnceWithItsResult() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receive("look", null, "a");
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        fixture.endRun(id, Outcome.OK, "result");
        fixture.endRun(id, Outcome.OK, "again");
        assertEquals("succeeded result", fixture.response(id));
        assertEquals(List.of("launch " + id, "call " + id, "deliver " + id), fixture.commands);
    }

    /** The metrics are a round trip old: they do not count what was started after the poll. */
    @Test
    void runsStartedAfterThePollAreAddedToItsAnswer() {
        BackendFixture fixture = new BackendFixture();
        fixture.receive("look", null, "a");
        fixture.backend.wakeUp(fixture.now);
        fixture.receive("look", null, "b");
        fixture.receive("look", null, "c");
        // Polled with one run on the cores; with the two that followed and one more the four cores are full.
        fixture.backend.metricsReceived(fixture.now, new double[] {0, 1});
        fixture.receive("look", null, "d");
        fixture.receive("look", null, "e");
        assertEquals(4, fixture.commands.size());
    }

    @Test
    void callIsCancelledWhenItsCallerDisconnectsOrTimesOut() {
        BackendFixture fixture = new BackendFixture();
        String disconnected = fixture.receive("look", null, "a");
        String late = fixture.receive("look", null, "b");
        fixture.requestCall(disconnected);
        fixture.requestCall(late);
        fixture.disconnectCaller(disconnected);
        fixture.advance(1100);
        assertEquals(1, fixture.count("cancel " + disconnected));
        assertEquals(1, fixture.count("cancel " + late));
        assertEquals("failed", fixture.response(late));
        fixture.endCall(late, Outcome.OK);
        assertEquals(0, fixture.count("deliver " + late));
    }

    /**
     * A downstream service that is unreachable may report so while it is called; its outcome is all that it reports.
     */
    @Test
    void callMayEndWhileItIsMade() {
        BackendFixture fixture = new BackendFixture();
        List<String> calls = new ArrayList<>();
        for (Outcome outcome : List.of(Outcome.OK, Outcome.UNREACHABLE, Outcome.REJECTED)) {
            fixture.downstream = new DownstreamService() {
                @Override
                public void call(TrackedRequest request, byte[] body, Duration timeout) {
                    assertTrue(body.length == 1 && timeout.toMillis() == 1000, "the body and the time that is left");
                    calls.add(outcome + " " + request.idText());
                    fixture.backend.callEnded(fixture.now, request.id(), outcome, BackendFixture.REPLY.clone());
                }

                @Override
                public void cancel(TrackedRequest request) {
                    calls.add("cancelled " + request.idText());
                }
            };
            String id = fixture.receive("look", null, "a");
            fixture.requestCall(id);
            assertEquals(
                    outcome == Outcome.OK ? 1 : 0, fixture.count("deliver " + id), outcome + ": " + fixture.commands);
            assertEquals(outcome == Outcome.UNREACHABLE ? 2 : 1, calls.size(), "retried only if it never got through");
            if (outcome != Outcome.OK) {
                assertEquals("failed", fixture.response(id));
            }
            calls.clear();
        }
    }

    @Test
    void everyRequestIsAnsweredBeforeTheStopAndNoneRunsAfterTheGracePeriod() {
        BackendFixture fixture = new BackendFixture();
        String running = fixture.receive("buy", "t", "a");
        fixture.backend.startDrain(fixture.now, fixture.now.plusMillis(900));
        fixture.decide();
        fixture.advance(600);
        String late = fixture.receive("look", null, "b");
        assertEquals("rejected", fixture.response(late));
        fixture.advance(290);
        assertEquals("failed", fixture.response(running));
        assertEquals(0, fixture.backend.unansweredRequests());
        assertEquals(List.of("launch " + running, "stop " + running), fixture.commands);
    }

    @Test
    void deepChecksShareOneRunThatSurvivesALostLink() {
        BackendFixture fixture = new BackendFixture();
        List<Boolean> results = new ArrayList<>();
        fixture.backend.runDeepCheck(results::add);
        fixture.backend.runDeepCheck(results::add);
        assertEquals(1, fixture.count("deep-check"));
        fixture.backend.deepCheckCompleted(true);
        assertEquals(List.of(true, true), results);
        fixture.backend.runDeepCheck(results::add);
        fixture.backend.agentLinkLost(fixture.now);
        fixture.backend.agentLinkRestored(fixture.now);
        fixture.backend.agentEventsCaughtUp(fixture.now);
        assertEquals(List.of(true, true), results);
        fixture.backend.deepCheckCompleted(false);
        assertEquals(List.of(true, true, false), results);
    }

    @Test
    void beforeTheAgentIsUpRequestsAreRejectedAndHealthIsBad() {
        Backend backend = new BackendFixture().backendBeforeAgent();
        List<Boolean> checked = new ArrayList<>();
        backend.runDeepCheck(checked::add);
        assertFalse(backend.isHealthy() || checked.get(0));
        assertEquals(1, checked.size());
        List<String> responses = new ArrayList<>();
        assertEquals(
                Optional.empty(), backend.receive(Duration.ZERO, null, null, new RecordingResponseSink(responses)));
        assertEquals(REJECTED, responses);
    }
}
