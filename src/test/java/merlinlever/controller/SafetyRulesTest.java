package merlinlever.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import merlinlever.common.Durations;
import merlinlever.policy.RejectionReason;
import org.junit.jupiter.api.Test;

/** Tests the safety rules, and the handling of stalls, failed calls, restarts and late requests. */
class SafetyRulesTest {

    private ControllerFixture fixture = new ControllerFixture();

    @Test
    void failsAndStopsARunAtItsDeadline() {
        RequestHandle charge = fixture.submit(ControllerFixture.CHARGE);
        assertEquals(List.of(charge), fixture.decide().started());
        assertTrue(fixture.decideAfter(2990).failed().isEmpty());
        DecidedBatch due = fixture.decideAfter(10);
        assertEquals(List.of(charge), due.failed());
        assertEquals(List.of(charge), due.stopped());
        charge.runEnded(fixture.now, Outcome.STOPPED);
        assertTrue(
                fixture.decideAfter(10).started().isEmpty(), "a request that may have taken effect is not run again");
    }

    @Test
    void rejectsARequestThatWaitsTooLongInTheQueue() {
        fixture.occupyAllCores();
        RequestHandle waiting = fixture.submit(ControllerFixture.LOOKUP);
        assertTrue(fixture.decide().started().isEmpty());
        fixture.decideAfter(900);
        assertFalse(fixture.wasRejected(waiting));
        fixture.decideAfter(100);
        assertTrue(fixture.wasRejected(waiting));
    }

    @Test
    void duplicateOfARequestWithAKeySharesTheOutcome() {
        RequestHandle first = fixture.submit(ControllerFixture.CHARGE);
        assertEquals(first, fixture.decide().retained().get(0).request());
        RequestHandle second = fixture.submit(ControllerFixture.CHARGE, 0, 10, first);
        DecidedBatch batch = fixture.decide();
        assertEquals(List.of(second), batch.sharingOutcome());
        assertTrue(batch.started().isEmpty());
        first.runEnded(fixture.now, Outcome.OK);
        fixture.decideAfter(5000);
        RequestHandle third = fixture.submit(ControllerFixture.CHARGE, 0, 10, first);
        assertEquals(List.of(third), fixture.decide().sharingOutcome());
    }

    @Test
    void duplicateOfAStoppedChargeFails() {
        RequestHandle first = fixture.submit(ControllerFixture.CHARGE);
        fixture.decide();
        fixture.decideAfter(3000);
        first.runEnded(fixture.now, Outcome.STOPPED);
        RequestHandle second = fixture.submit(ControllerFixture.CHARGE, 0, 10, first);
        assertEquals(List.of(second), fixture.decide().failed());
    }

    @Test
    void duplicateOfAnUnknownChargeFailsAndOneOfAnUnknownLookupRuns() {
        RequestHandle unknown = new ControllerFixture().submit(ControllerFixture.CHARGE);
        RequestHandle charge = fixture.submit(ControllerFixture.CHARGE, 0, 10, foreign(unknown));
        assertEquals(List.of(charge), fixture.decide().failed());
        RequestHandle lookup = fixture.submit(ControllerFixture.LOOKUP, 0, 10, foreign(unknown));
        assertEquals(List.of(lookup), fixture.decide().started());
    }

    /** Returns a handle that the controller under test did not issue. */
    private static RequestHandle foreign(RequestHandle handle) {
        return new RequestHandle() {
            @Override
            public void runEnded(Duration now, Outcome outcome) {
                handle.runEnded(now, outcome);
            }

            @Override
            public void runInDoubt(Duration now) {}

            @Override
            public void callNeeded(Duration now) {
                handle.callNeeded(now);
            }

            @Override
            public void callEnded(Duration now, Outcome outcome, Duration elapsed) {
                handle.callEnded(now, outcome, elapsed);
            }

            @Override
            public void callerGone(Duration now) {
                handle.callerGone(now);
            }
        };
    }

    @Test
    void duplicateReplacesAQueuedOriginalWhoseCallerIsGone() {
        fixture.occupyAllCores();
        RequestHandle first = fixture.submit(ControllerFixture.CHARGE);
        RequestHandle second = fixture.submit(ControllerFixture.CHARGE, 0, 10, first);
        assertTrue(fixture.decide().sharingOutcome().isEmpty());
        first.callerGone(fixture.now);
        assertEquals(
                second,
                fixture.decide().retained().get(0).request(),
                "the duplicate is retained in place of the original");
        fixture.updateGauges(0, 0);
        assertEquals(List.of(second), fixture.decide().started());
    }

    @Test
    void retriesACallOnlyIfItNeverReachedTheServiceAndOnlyOnce() {
        for (Outcome outcome : List.of(Outcome.ERROR, Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.REJECTED)) {
            RequestHandle charge = submitAndEndCall(outcome, ControllerFixture.CALLING);
            assertEquals(List.of(charge), fixture.decideAfter(200).failed(), outcome + " is not retried");
            charge.runEnded(fixture.now, Outcome.STOPPED);
        }
        RequestHandle charge = submitAndEndCall(Outcome.UNREACHABLE, ControllerFixture.CALLING);
        assertEquals(charge, fixture.decideAfter(200).calls().get(0).request(), "the call never reached the service");
        charge.callEnded(fixture.now, Outcome.UNREACHABLE, Duration.ZERO);
        assertEquals(List.of(charge), fixture.decide().failed(), "retried only once");
    }

    /** An idempotent request must not fail because of a single corrupt reply or lost connection. */
    @Test
    void retriesACallOfAnIdempotentRequestAfterALostConnectionOnce() {
        RequestHandle lookup = submitAndEndCall(Outcome.CONNECTION_LOST, ControllerFixture.LOOKUP);
        assertEquals(lookup, fixture.decideAfter(200).calls().get(0).request(), "a second call has no side effect");
        lookup.callEnded(fixture.now, Outcome.CONNECTION_LOST, Duration.ZERO);
        assertEquals(List.of(lookup), fixture.decide().failed(), "retried only once");
        lookup.runEnded(fixture.now, Outcome.STOPPED);
        for (Outcome outcome : List.of(Outcome.ERROR, Outcome.TIMED_OUT, Outcome.REJECTED)) {
            RequestHandle other = submitAndEndCall(outcome, ControllerFixture.LOOKUP);
            assertEquals(
                    List.of(other),
                    fixture.decideAfter(200).failed(),
                    outcome + " may be caused by an overloaded service");
            other.runEnded(fixture.now, Outcome.STOPPED);
        }
    }

    /** Submits a request whose downstream call ends with the outcome. */
    private RequestHandle submitAndEndCall(Outcome outcome, int priorityClass) {
        RequestHandle handle = fixture.submit(priorityClass);
        fixture.decide();
        handle.callNeeded(fixture.now);
        assertEquals(handle, fixture.decide().calls().get(0).request());
        handle.callEnded(fixture.now, outcome, Duration.ZERO);
        return handle;
    }

    @Test
    void startsNoArrivalAfterTheDrainGraceAndAnswersAllRequestsBeforeTheStop() {
        RequestHandle running = fixture.submit(ControllerFixture.CHARGE);
        assertEquals(List.of(running), fixture.decide().started());
        fixture.controller().startDrain(fixture.now, Durations.ofMillis(2600));
        assertEquals(Optional.of(false), fixture.decide().health());
        RequestHandle within = fixture.submit(ControllerFixture.LOOKUP);
        assertEquals(List.of(within), fixture.decideAfter(0).started());
        fixture.decideAfter(2000);
        RequestHandle late = fixture.submit(ControllerFixture.LOOKUP);
        assertTrue(fixture.decide().started().isEmpty());
        assertTrue(fixture.wasRejected(late));
        DecidedBatch beforeStop = fixture.decideAfter(585);
        assertTrue(beforeStop.failed().contains(running));
    }

    @Test
    void duplicateAfterTheDrainGraceDoesNotReplaceItsOriginal() {
        fixture.occupyAllCores();
        RequestHandle first = fixture.submit(ControllerFixture.CHARGE);
        fixture.controller().startDrain(fixture.now, Durations.ofMillis(4000));
        fixture.decide();
        fixture.now = Durations.ofMillis(2010);
        RequestHandle late = fixture.submit(ControllerFixture.CHARGE, 0, 10, first);
        first.callerGone(fixture.now);
        fixture.updateGauges(0, 0);
        assertFalse(fixture.decide().started().contains(late));
        assertTrue(fixture.wasRejected(late));
    }

    @Test
    void rejectsARequestWithoutMemoryToRetainIt() {
        fixture.with(settings -> settings.memoryKb(1000).memoryPerKeyKb(500));
        RequestHandle first = fixture.submit(ControllerFixture.CHARGE);
        assertEquals(List.of(first), fixture.decide().started());
        RequestHandle second = fixture.submit(ControllerFixture.CHARGE);
        fixture.decide();
        assertTrue(fixture.wasRejected(second), "no memory to retain a second request");
    }

    @Test
    void startsARunOnlyIfItsMemoryIsAvailable() {
        fixture.with(settings -> settings.memoryKb(1200));
        RequestHandle first = fixture.submit(ControllerFixture.ORDER, 0, 200, null);
        fixture.submit(ControllerFixture.ORDER, 0, 200, null);
        assertEquals(List.of(first), fixture.decide().started());
    }

    @Test
    void limitsStartedRequestsWhileAllRunsWaitForCalls() {
        fixture.with(settings -> settings.cold(true).coldSpeed(0.2).warmUpTime(Duration.ofSeconds(18)));
        int started = 0;
        for (int i = 0; i < 40; i++) {
            RequestHandle handle = fixture.submit(ControllerFixture.CALLING);
            started += fixture.decide().started().size();
            handle.callNeeded(fixture.now);
            fixture.decide();
            fixture.updateGauges(0, 0);
        }
        assertEquals(10, started, "cold server: 8 cores x (1 + 3 x 0.2) x 0.75, rounded up");
    }

    @Test
    void reportsAStallAndRejectsWaitingRequests() {
        fixture.occupyAllCores();
        fixture.decideAfter(900);
        RequestHandle waiting = fixture.submit(ControllerFixture.CHARGE);
        assertEquals(List.of(), fixture.decide().events());
        DecidedBatch stalled = fixture.decideAfter(150);
        assertEquals(List.of(new ControllerEvent.StallChanged(true, 8, 1, Duration.ofMillis(1050))), stalled.events());
        assertEquals(
                "runs-stalled running=8 queued=1 silent_ms=1050",
                stalled.events().get(0).logLine());
        assertEquals(Optional.of(false), stalled.health());
        assertTrue(fixture.wasRejected(waiting));
        assertEquals(Duration.ofSeconds(1), stalled.rejected().get(0).retryAfter());
    }

    @Test
    void readsShareARecentOutcomeButNotAFailedOne() {
        fixture.with(settings -> settings.maxOutcomeAge(Duration.ofSeconds(1)));
        RequestHandle first = fixture.submit(ControllerFixture.LOOKUP);
        fixture.decide();
        RequestHandle second = fixture.submit(ControllerFixture.LOOKUP, 0, 10, first);
        assertEquals(List.of(second), fixture.decide().sharingOutcome());
        first.runEnded(fixture.now, Outcome.ERROR);
        RequestHandle third = fixture.submit(ControllerFixture.LOOKUP, 0, 10, first);
        fixture.decide();
        DecidedBatch batch = fixture.lastBatch;
        assertTrue(batch.sharingOutcome().contains(third) || batch.started().contains(third));
    }

    /** A slow server rejects waiting requests early; another server may serve them if the cost hint leaves time. */
    @Test
    void requestTooLateForASlowServerMayBeRetriedElsewhere() {
        for (int hintMs : new int[] {0, 100, 900}) {
            fixture = new ControllerFixture().warmUp(10, 800);
            fixture.occupyAllCores();
            Optional<Duration> costHint = hintMs == 0 ? Optional.empty() : Optional.of(Duration.ofMillis(hintMs));
            RequestHandle waiting = fixture.submit(RequestAttributes.ofClass(ControllerFixture.LOOKUP)
                    .memoryKb(10)
                    .costHint(costHint)
                    .shareable(true));
            for (int i = 0; i < 60 && !fixture.wasRejected(waiting); i++) {
                fixture.decideAfter(10);
            }
            assertEquals(hintMs != 100, fixture.lastBatch.rejected().get(0).isFinal(), "hint " + hintMs);
            // One request is queued and ten complete within the objective of 1 s: Retry-After is about 100 ms.
            double retryAfterMs =
                    Durations.toMillis(fixture.lastBatch.rejected().get(0).retryAfter());
            assertTrue(retryAfterMs > 50 && retryAfterMs < 500, "retry after " + retryAfterMs + " ms");
        }
    }

    /** The crash of a downstream server ends all its calls, which must count as a single sign of overload. */
    @Test
    void callsThatFailTogetherDecreaseTheConcurrencyLimitOnce() {
        for (boolean simultaneous : new boolean[] {true, false}) {
            fixture = new ControllerFixture().with(settings -> settings.overloadFactor(20));
            fixture.decideAfter(1000);
            List<RequestHandle> calling = startCalls(10);
            for (RequestHandle handle : calling) {
                fixture.decideAfter(simultaneous ? 0 : 100);
                handle.callEnded(fixture.now, Outcome.REJECTED, Durations.ofMillis(simultaneous ? 50 : 0));
            }
            fixture.decide();
            calling.forEach(handle -> handle.runEnded(fixture.now, Outcome.STOPPED));
            // The initial limit of 32 is multiplied by 0.8 once, or ten times.
            assertEquals(
                    simultaneous ? 25 : 3,
                    startCalls(40).size(),
                    simultaneous ? "decreased once" : "decreased each time");
        }
    }

    /** Submits the given number of requests; returns those that could make their calls. */
    private List<RequestHandle> startCalls(int count) {
        List<RequestHandle> calling = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            RequestHandle handle = fixture.submit(ControllerFixture.CALLING);
            if (fixture.decide().started().contains(handle)) {
                handle.callNeeded(fixture.now);
                fixture.updateGauges(0, 0);
                if (!fixture.decide().calls().isEmpty()) {
                    calling.add(handle);
                }
            }
        }
        return calling;
    }

    @Test
    void rejectsNonIdempotentRequestsAfterARestartUntilPermitted() {
        fixture.controller().permitNonIdempotentStarts(Duration.ofMillis(700), Duration.ofHours(1));
        RequestHandle charge = fixture.submit(ControllerFixture.CHARGE);
        RequestHandle order = fixture.submit(ControllerFixture.ORDER);
        RequestHandle lookup = fixture.submit(ControllerFixture.LOOKUP);
        DecidedBatch batch = fixture.decide();
        assertTrue(fixture.wasRejected(charge) && fixture.wasRejected(order));
        assertEquals(List.of(lookup), batch.started());
        assertEquals(
                Duration.ofMillis(700), batch.rejected().get(0).retryAfter(), "the time until starts are permitted");
        Map<RejectionReason, Long> rejected =
                fixture.controller().metrics().requests().rejected();
        assertEquals(2, rejected.get(RejectionReason.IDEMPOTENCY_UNKNOWN));
        fixture.decideAfter(700);
        // A request that arrived before the permitted time, but is read later, may have run before the restart.
        RequestHandle late = fixture.submit(ControllerFixture.CHARGE, 50, 10, null);
        assertFalse(fixture.decide().started().contains(late));
        assertTrue(fixture.wasRejected(late));
        RequestHandle fresh = fixture.submit(ControllerFixture.CHARGE);
        assertEquals(List.of(fresh), fixture.decide().started());
    }

    @Test
    void startsNoNonIdempotentRequestAfterThePermittedTime() {
        List<RequestHandle> running = fixture.occupyAllCores();
        RequestHandle charge = fixture.submit(ControllerFixture.CHARGE);
        assertTrue(fixture.decide().started().isEmpty());
        fixture.controller().permitNonIdempotentStarts(Duration.ZERO, fixture.now.plusMillis(100));
        fixture.decideAfter(100);
        running.forEach(handle -> handle.runEnded(fixture.now, Outcome.OK));
        fixture.updateGauges(0, 0);
        RequestHandle lookup = fixture.submit(ControllerFixture.LOOKUP);
        RequestHandle next = fixture.submit(ControllerFixture.CHARGE);
        List<RequestHandle> started = fixture.decide().started();
        assertEquals(List.of(lookup), started, "no non-idempotent request starts after the permitted time");
        assertTrue(fixture.wasRejected(next));
        fixture.controller().permitNonIdempotentStarts(Duration.ZERO, fixture.now.plusMillis(500));
        assertEquals(List.of(charge), fixture.decideAfter(10).started(), "the permitted time is extended");
    }

    @Test
    void completedRunsOutweighTheWarmStartEstimate() {
        fixture.controller().setWarmStartEstimate(40, 8);
        assertEquals(40, fixture.controller().metrics().queueCapacity(), 1e-9);
        fixture.warmUp(40, 100);
        double learned = fixture.controller().metrics().queueCapacity();
        assertTrue(learned > 60, "8 cores at 100 ms for an objective of 1 s: " + learned);
        fixture.controller().setWarmStartEstimate(5, 8);
        assertEquals(
                learned, fixture.controller().metrics().queueCapacity(), 1e-9, "the learned estimate is not replaced");
    }
}
