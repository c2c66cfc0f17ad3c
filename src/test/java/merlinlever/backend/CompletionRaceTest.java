package merlinlever.backend;

import static merlinlever.backend.BatchedBackendFixture.FAILED;
import static merlinlever.backend.BatchedBackendFixture.SUCCEEDED;
import static merlinlever.backend.BatchedBackendFixture.UNANSWERED;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import merlinlever.controller.Outcome;
import org.junit.jupiter.api.Test;

/** Races of the end of a run with the deadline, the caller's disconnect, the downstream call and duplicates. */
class CompletionRaceTest {

    /**
     * An outcome and a disconnect in one batch, in either order, result in at most one response and in no stop command
     * for the ended run.
     */
    @Test
    void outcomeAndDisconnectInOneBatchGiveAtMostOneResponse() {
        for (String priorityClass : new String[] {"look", "buy"}) {
            for (boolean disconnectFirst : new boolean[] {false, true}) {
                BatchedBackendFixture fixture = new BatchedBackendFixture();
                String id = fixture.receive(priorityClass, priorityClass.equals("buy") ? "t" : null, "a");
                fixture.decide();
                if (disconnectFirst) {
                    fixture.disconnectCaller(id);
                }
                fixture.endRun(id, Outcome.OK, "done");
                if (!disconnectFirst) {
                    fixture.disconnectCaller(id);
                }
                fixture.decide();
                assertEquals(disconnectFirst ? List.of() : SUCCEEDED, fixture.responses(id));
                assertEquals(List.of("launch"), fixture.commands(id));
                assertEquals(0, fixture.backend.unansweredRequests());
            }
        }
    }

    /** An outcome read in the batch of the deadline is sent as response; an outcome read later is not. */
    @Test
    void outcomeIsSentIfReadInTheBatchOfTheDeadline() {
        for (boolean afterDeadline : new boolean[] {false, true}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture();
            String id = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.advance(990);
            fixture.moveClock(10);
            if (afterDeadline) {
                fixture.decide();
                fixture.backend.wakeUp(fixture.now());
                fixture.decide();
            }
            fixture.endRun(id, Outcome.OK, "done");
            fixture.decide();
            fixture.advance(50);
            assertEquals(afterDeadline ? FAILED : SUCCEEDED, fixture.responses(id));
            assertEquals(afterDeadline ? List.of("launch", "stop") : List.of("launch"), fixture.commands(id));
            assertEquals(0, fixture.backend.unansweredRequests());
        }
    }

    /** An outcome shortly before the process stops results in one response: either the result or a failure. */
    @Test
    void outcomeShortlyBeforeTheStopGivesOneResponse() {
        for (boolean afterLastDecision : new boolean[] {false, true}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture();
            String id = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.backend.startDrain(fixture.now(), fixture.now().plusMillis(600));
            fixture.decide();
            fixture.advance(570);
            assertEquals(UNANSWERED, fixture.responses(id));
            fixture.moveClock(15);
            if (afterLastDecision) {
                fixture.backend.wakeUp(fixture.now());
                fixture.decide();
            }
            fixture.endRun(id, Outcome.OK, "done");
            fixture.decide();
            assertEquals(afterLastDecision ? FAILED : SUCCEEDED, fixture.responses(id));
            assertEquals(0, fixture.backend.unansweredRequests());
        }
    }

    /** A reply in the batch of the deadline is delivered before the stop command; a later reply is dropped. */
    @Test
    void replyInTheBatchOfTheDeadlineIsDeliveredBeforeTheStop() {
        for (boolean afterDeadline : new boolean[] {false, true}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture();
            String id = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.requestCall(id);
            fixture.decide();
            fixture.advance(990);
            fixture.moveClock(10);
            if (!afterDeadline) {
                fixture.endCall(id, Outcome.OK);
            }
            fixture.backend.wakeUp(fixture.now());
            fixture.decide();
            if (afterDeadline) {
                fixture.endCall(id, Outcome.OK);
                fixture.decide();
            }
            assertEquals(FAILED, fixture.responses(id));
            assertEquals(
                    afterDeadline ? List.of("launch", "call", "cancel") : List.of("launch", "call", "deliver", "stop"),
                    fixture.commands(id));
            fixture.endRun(id, Outcome.STOPPED, "");
            fixture.decide();
            assertEquals(0, fixture.backend.unansweredRequests());
        }
    }

    /**
     * If a reply and the caller's disconnect are in one batch, the first of the two events decides whether the reply is
     * delivered or the call is cancelled.
     */
    @Test
    void replyAndDisconnectInOneBatchDeliverTheReplyOrCancelTheCall() {
        for (boolean disconnectFirst : new boolean[] {false, true}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture();
            String id = fixture.receive("look", null, "a");
            fixture.decide();
            fixture.requestCall(id);
            fixture.decide();
            if (disconnectFirst) {
                fixture.disconnectCaller(id);
            }
            fixture.endCall(id, Outcome.OK);
            if (!disconnectFirst) {
                fixture.disconnectCaller(id);
            }
            fixture.decide();
            assertEquals(
                    disconnectFirst
                            ? List.of("launch", "call", "cancel")
                            : List.of("launch", "call", "deliver", "stop"),
                    fixture.commands(id));
        }
    }

    /** A run that requests a call after a stop command was sent makes no call. */
    @Test
    void noCallIsMadeForAStoppedRun() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String id = fixture.receive("look", null, "a");
        fixture.decide();
        fixture.disconnectCaller(id);
        fixture.decide();
        fixture.requestCall(id);
        fixture.decide();
        fixture.advance(30);
        assertEquals(List.of("launch", "stop"), fixture.commands(id));
        fixture.endRun(id, Outcome.STOPPED, "");
        fixture.decide();
        assertEquals(UNANSWERED, fixture.responses(id));
        fixture.advance(42_000);
        assertEquals(0, fixture.backend.trackedRequests());
    }

    /** After a resent launch, the report that the second copy was not started does not change the outcome. */
    @Test
    void notStartedAfterTheOutcomeIsIgnored() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String id = fixture.receive("look", null, "a");
        String keyed = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.backend.agentLinkLost(fixture.now());
        fixture.backend.agentLinkRestored(fixture.now());
        fixture.backend.agentEventsCaughtUp(fixture.now());
        assertEquals(List.of("launch", "launch"), fixture.commands(id));
        assertEquals(List.of("launch"), fixture.commands(keyed));
        for (String launched : List.of(id, keyed)) {
            fixture.endRun(launched, Outcome.OK, "done");
            fixture.endRun(launched, Outcome.NOT_STARTED, "");
        }
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(id));
        assertEquals(SUCCEEDED, fixture.responses(keyed));
        String retry = fixture.receive("buy", "t", "a");
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(retry));
    }

    /** A launched request that the agent did not start fails instead of being rejected; its duplicates do not run. */
    @Test
    void notStartedFailsTheRequestAndItsDuplicates() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String id = fixture.receive("buy", "t", "a");
        fixture.decide();
        String duplicate = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.endRun(id, Outcome.NOT_STARTED, "");
        fixture.decide();
        String retry = fixture.receive("buy", "t", "a");
        fixture.decide();
        for (String requestId : List.of(id, duplicate, retry)) {
            assertEquals(FAILED, fixture.responses(requestId));
        }
        assertEquals(List.of(id), fixture.launched(id, duplicate, retry));
    }

    /** A duplicate whose deadline passes in the batch in which its original ends still gets the outcome. */
    @Test
    void duplicateAtItsDeadlineGetsAnOutcomeOfTheSameBatch() {
        for (boolean afterDeadline : new boolean[] {false, true}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture();
            String first = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.advance(100);
            fixture.callerTimeout = Duration.ofMillis(300);
            String duplicate = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.advance(290);
            fixture.moveClock(10);
            if (afterDeadline) {
                fixture.backend.wakeUp(fixture.now());
                fixture.decide();
            }
            fixture.endRun(first, Outcome.OK, "done");
            fixture.decide();
            assertEquals(SUCCEEDED, fixture.responses(first));
            assertEquals(afterDeadline ? FAILED : SUCCEEDED, fixture.responses(duplicate));
            assertEquals(0, fixture.backend.unansweredRequests());
        }
    }

    /** A run is not stopped at its own request's deadline while a later duplicate waits for the outcome. */
    @Test
    void runWithALaterDuplicateContinuesAfterTheFirstDeadline() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String first = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.advance(700);
        String later = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.advance(400);
        assertEquals(FAILED, fixture.responses(first));
        assertEquals(List.of("launch"), fixture.commands(first));
        fixture.endRun(first, Outcome.OK, "done");
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(later));
    }

    /** A read whose caller disconnects continues if duplicates share it, and is stopped otherwise. */
    @Test
    void sharedReadContinuesWithoutItsCaller() {
        BatchedBackendFixture fixture =
                new BatchedBackendFixture(settings -> settings.maxOutcomeAge(Duration.ofSeconds(1)));
        String first = fixture.receive("look", null, "s", "", fixture.now());
        fixture.decide();
        String duplicate = fixture.receive("look", null, "s", "", fixture.now());
        fixture.decide();
        fixture.disconnectCaller(first);
        fixture.decide();
        assertEquals(List.of("launch"), fixture.commands(first));
        fixture.endRun(first, Outcome.OK, "done");
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(duplicate));
        String withoutDuplicate = fixture.receive("look", null, "u", "", fixture.now());
        fixture.decide();
        fixture.disconnectCaller(withoutDuplicate);
        fixture.decide();
        assertEquals(List.of("launch", "stop"), fixture.commands(withoutDuplicate));
    }

    /** Duplicates that wait for a stopped run fail, and duplicates that arrive later fail without running. */
    @Test
    void duplicatesOfAStoppedRunFail() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String first = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.advance(1000);
        assertEquals(List.of("launch", "stop"), fixture.commands(first));
        String waiting = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.endRun(first, Outcome.STOPPED, "");
        String later = fixture.receive("buy", "t", "a");
        fixture.decide();
        assertEquals(FAILED, fixture.responses(waiting));
        assertEquals(FAILED, fixture.responses(later));
        assertEquals(List.of(first), fixture.launched(first, waiting, later));
    }

    /** A clock that goes back for one batch causes no late and no second response. */
    @Test
    void clockThatGoesBackForABatchChangesNoResponse() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String id = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.advance(500);
        Duration timeBefore = fixture.now();
        fixture.fixture.now = timeBefore.minusMillis(300);
        String receivedAtEarlierTime = fixture.receive("look", null, "b");
        fixture.decide();
        fixture.fixture.now = timeBefore;
        fixture.advance(500);
        assertEquals(FAILED, fixture.responses(id));
        fixture.endRun(receivedAtEarlierTime, Outcome.OK, "done");
        fixture.decide();
        assertEquals(1, fixture.responses(receivedAtEarlierTime).size());
    }
}
