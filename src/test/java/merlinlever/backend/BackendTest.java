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

/** Requests from receipt to response, with a simulated clock and recording dependencies. */
class BackendTest {

    @Test
    void requestWithDownstreamCallIsAnsweredOnceWithTheRunsResult() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receive("look", null, "a");
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        fixture.endRun(id, Outcome.OK, "result");
        fixture.endRun(id, Outcome.OK, "again");
        assertEquals("succeeded result", fixture.response(id));
        assertEquals(List.of("launch " + id, "call " + id, "deliver " + id), fixture.commands);
    }

    /** The polled metrics do not include runs that were started after the poll was sent. */
    @Test
    void runsStartedAfterThePollAreAddedToThePolledRunQueue() {
        BackendFixture fixture = new BackendFixture();
        fixture.receive("look", null, "a");
        fixture.backend.wakeUp(fixture.now);
        fixture.receive("look", null, "b");
        fixture.receive("look", null, "c");
        // One polled run, the two runs started since and one further run fill the four cores.
        fixture.backend.metricsReceived(fixture.now, new double[] {0, 1});
        fixture.receive("look", null, "d");
        fixture.receive("look", null, "e");
        assertEquals(4, fixture.commands.size());
    }

    @Test
    void callIsCancelledWhenTheCallerDisconnectsOrTheDeadlinePasses() {
        BackendFixture fixture = new BackendFixture();
        String disconnected = fixture.receive("look", null, "a");
        String timedOut = fixture.receive("look", null, "b");
        fixture.requestCall(disconnected);
        fixture.requestCall(timedOut);
        fixture.disconnectCaller(disconnected);
        fixture.advance(1100);
        assertEquals(1, fixture.count("cancel " + disconnected));
        assertEquals(1, fixture.count("cancel " + timedOut));
        assertEquals("failed", fixture.response(timedOut));
        fixture.endCall(timedOut, Outcome.OK);
        assertEquals(0, fixture.count("deliver " + timedOut));
    }

    /** An unreachable downstream service may report the outcome of a call before the method {@code call} returns. */
    @Test
    void callMayEndBeforeTheCallMethodReturns() {
        BackendFixture fixture = new BackendFixture();
        List<String> calls = new ArrayList<>();
        for (Outcome outcome : List.of(Outcome.OK, Outcome.UNREACHABLE, Outcome.REJECTED)) {
            fixture.downstream = new DownstreamService() {
                @Override
                public void call(TrackedRequest request, byte[] body, Duration timeout) {
                    assertTrue(body.length == 1 && timeout.toMillis() == 1000, "body and remaining time of the call");
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
            assertEquals(
                    outcome == Outcome.UNREACHABLE ? 2 : 1,
                    calls.size(),
                    "retried only if the service was unreachable");
            if (outcome != Outcome.OK) {
                assertEquals("failed", fixture.response(id));
            }
            calls.clear();
        }
    }

    @Test
    void drainAnswersEveryRequestBeforeTheStopAndRejectsNewOnesAfterTheGracePeriod() {
        BackendFixture fixture = new BackendFixture();
        String running = fixture.receive("buy", "t", "a");
        fixture.backend.startDrain(fixture.now, fixture.now.plusMillis(900));
        fixture.decide();
        fixture.advance(600);
        String afterGracePeriod = fixture.receive("look", null, "b");
        assertEquals("rejected", fixture.response(afterGracePeriod));
        fixture.advance(290);
        assertEquals("failed", fixture.response(running));
        assertEquals(0, fixture.backend.unansweredRequests());
        assertEquals(List.of("launch " + running, "stop " + running), fixture.commands);
    }

    @Test
    void concurrentDeepChecksShareOneCheckThatSurvivesALostLink() {
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
    void backendIsUnhealthyAndRejectsRequestsUntilTheAgentIsUp() {
        Backend backend = new BackendFixture().backendBeforeAgent();
        List<Boolean> results = new ArrayList<>();
        backend.runDeepCheck(results::add);
        assertFalse(backend.isHealthy() || results.get(0));
        assertEquals(1, results.size());
        List<String> responses = new ArrayList<>();
        assertEquals(
                Optional.empty(), backend.receive(Duration.ZERO, null, null, new RecordingResponseSink(responses)));
        assertEquals(REJECTED, responses);
    }
}
