package merlinlever.backend;

import static merlinlever.backend.BatchedBackendFixture.FAILED;
import static merlinlever.backend.BatchedBackendFixture.SUCCEEDED;
import static merlinlever.backend.BatchedBackendFixture.UNANSWERED;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import merlinlever.controller.Outcome;
import org.junit.jupiter.api.Test;

/**
 * The end of a run together with its deadline, the disconnect of its caller, its downstream call and its duplicates.
 */
class CompletionRaceTest {

    /**
     * The outcome and the disconnect, in one batch and in either order: at most one response, and no stop for a run
     * that has ended.
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

    /** An outcome that is read in the batch of the deadline is the response; one that is read after it is not. */
    @Test
    void outcomeCountsIfReadInTheBatchOfTheDeadline() {
        for (boolean after : new boolean[] {false, true}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture();
            String id = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.advance(990);
            fixture.moveClock(10);
            if (after) {
                fixture.decide();
                fixture.backend.wakeUp(fixture.now());
                fixture.decide();
            }
            fixture.endRun(id, Outcome.OK, "done");
            fixture.decide();
            fixture.advance(50);
            assertEquals(after ? FAILED : SUCCEEDED, fixture.responses(id));
            assertEquals(after ? List.of("launch", "stop") : List.of("launch"), fixture.commands(id));
            assertEquals(0, fixture.backend.unansweredRequests());
        }
    }

    /**
     * An outcome in the last moment before the process stops: the response is either that outcome or a failure, never
     * both.
     */
    @Test
    void outcomeShortlyBeforeTheStopGivesOneResponse() {
        for (boolean after : new boolean[] {false, true}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture();
            String id = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.backend.startDrain(fixture.now(), fixture.now().plusMillis(600));
            fixture.decide();
            fixture.advance(570);
            assertEquals(UNANSWERED, fixture.responses(id));
            fixture.moveClock(15);
            if (after) {
                fixture.backend.wakeUp(fixture.now());
                fixture.decide();
            }
            fixture.endRun(id, Outcome.OK, "done");
            fixture.decide();
            assertEquals(after ? FAILED : SUCCEEDED, fixture.responses(id));
            assertEquals(0, fixture.backend.unansweredRequests());
        }
    }

    /**
     * A reply in the batch of the deadline goes to the run before that is stopped; after the deadline it goes nowhere.
     */
    @Test
    void replyInTheBatchOfTheDeadlineIsDeliveredBeforeTheStop() {
        for (boolean after : new boolean[] {false, true}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture();
            String id = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.requestCall(id);
            fixture.decide();
            fixture.advance(990);
            fixture.moveClock(10);
            if (!after) {
                fixture.endCall(id, Outcome.OK);
            }
            fixture.backend.wakeUp(fixture.now());
            fixture.decide();
            if (after) {
                fixture.endCall(id, Outcome.OK);
                fixture.decide();
            }
            assertEquals(FAILED, fixture.responses(id));
            assertEquals(
                    after ? List.of("launch", "call", "cancel") : List.of("launch", "call", "deliver", "stop"),
                    fixture.commands(id));
            fixture.endRun(id, Outcome.STOPPED, "");
            fixture.decide();
            assertEquals(0, fixture.backend.unansweredRequests());
        }
    }

    /**
     * A reply in the batch in which the caller disconnects: whichever comes first, the reply is delivered or the call
     * cancelled, once.
     */
    @Test
    void replyAndDisconnectInOneBatchDeliverOrCancel() {
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

    /** A run that reaches its call as it is stopped, or after its request was answered, makes no call. */
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

    /** A launch was sent twice: the agent's report that the second never began, after the outcome, changes nothing. */
    @Test
    void neverBegunAfterTheOutcomeIsIgnored() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String id = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.backend.agentLinkLost(fixture.now());
        fixture.backend.agentLinkRestored(fixture.now());
        fixture.backend.agentEventsCaughtUp(fixture.now());
        assertEquals(List.of("launch", "launch"), fixture.commands(id));
        fixture.endRun(id, Outcome.OK, "done");
        fixture.endRun(id, Outcome.NOT_STARTED, "");
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(id));
        String retry = fixture.receive("buy", "t", "a");
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(retry));
    }

    /**
     * The agent reports that a run whose caller waits never began: the request fails, is not rejected, and no duplicate
     * of it runs.
     */
    @Test
    void neverBegunFailsTheRequestAndItsDuplicates() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String id = fixture.receive("buy", "t", "a");
        fixture.decide();
        String duplicate = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.endRun(id, Outcome.NOT_STARTED, "");
        fixture.decide();
        String retry = fixture.receive("buy", "t", "a");
        fixture.decide();
        for (String each : List.of(id, duplicate, retry)) {
            assertEquals(FAILED, fixture.responses(each));
        }
        assertEquals(List.of(id), fixture.launched(id, duplicate, retry));
    }

    /**
     * A duplicate whose deadline falls in the batch in which its original ends: the outcome is read first and counts.
     */
    @Test
    void duplicateAtItsDeadlineGetsAnOutcomeOfTheSameBatch() {
        for (boolean after : new boolean[] {false, true}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture();
            String first = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.advance(100);
            fixture.callerTimeout = Duration.ofMillis(300);
            String duplicate = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.advance(290);
            fixture.moveClock(10);
            if (after) {
                fixture.backend.wakeUp(fixture.now());
                fixture.decide();
            }
            fixture.endRun(first, Outcome.OK, "done");
            fixture.decide();
            assertEquals(SUCCEEDED, fixture.responses(first));
            assertEquals(after ? FAILED : SUCCEEDED, fixture.responses(duplicate));
            assertEquals(0, fixture.backend.unansweredRequests());
        }
    }

    /** A run is not stopped at the deadline of its own request while a later duplicate waits for its outcome. */
    @Test
    void runWithALaterDuplicateOutlivesTheFirstDeadline() {
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

    /** A read that others share continues when its own caller disconnects; without others it is stopped. */
    @Test
    void sharedReadContinuesWithoutItsCaller() {
        BatchedBackendFixture fixture =
                new BatchedBackendFixture(settings -> settings.maxOutcomeAge(Duration.ofSeconds(1)));
        String first = fixture.receive("look", null, "s", "", fixture.now());
        fixture.decide();
        String other = fixture.receive("look", null, "s", "", fixture.now());
        fixture.decide();
        fixture.disconnectCaller(first);
        fixture.decide();
        assertEquals(List.of("launch"), fixture.commands(first));
        fixture.endRun(first, Outcome.OK, "done");
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(other));
        String alone = fixture.receive("look", null, "u", "", fixture.now());
        fixture.decide();
        fixture.disconnectCaller(alone);
        fixture.decide();
        assertEquals(List.of("launch", "stop"), fixture.commands(alone));
    }

    /** Duplicates of a run that is stopped for good fail with it, and those that come later are not run either. */
    @Test
    void duplicatesOfAStoppedRunFail() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String first = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.advance(1000);
        assertEquals(List.of("launch", "stop"), fixture.commands(first));
        String late = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.endRun(first, Outcome.STOPPED, "");
        String later = fixture.receive("buy", "t", "a");
        fixture.decide();
        assertEquals(FAILED, fixture.responses(late));
        assertEquals(FAILED, fixture.responses(later));
        assertEquals(List.of(first), fixture.launched(first, late, later));
    }

    /** A clock reading earlier than the one before: no request is answered twice or late because of it. */
    @Test
    void clockThatGoesBackForABatchChangesNoResponse() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String id = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.advance(500);
        Duration was = fixture.now();
        fixture.fixture.now = was.minusMillis(300);
        String back = fixture.receive("look", null, "b");
        fixture.decide();
        fixture.fixture.now = was;
        fixture.advance(500);
        assertEquals(FAILED, fixture.responses(id));
        fixture.endRun(back, Outcome.OK, "done");
        fixture.decide();
        assertEquals(1, fixture.responses(back).size());
    }
}
