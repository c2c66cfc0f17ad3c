package merlinlever.backend;

import static merlinlever.backend.BatchedBackendFixture.FAILED;
import static merlinlever.backend.BatchedBackendFixture.REJECTED;
import static merlinlever.backend.BatchedBackendFixture.SUCCEEDED;
import static merlinlever.backend.BatchedBackendFixture.UNANSWERED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import merlinlever.backend.RequestMetadata.RequestId;
import merlinlever.controller.Outcome;
import merlinlever.controller.settings.RequestSemantics;
import org.junit.jupiter.api.Test;

/**
 * Races of the duplicates of one request with each other, with the end of the idempotency window and with the release
 * of the result.
 */
class DuplicateRequestRaceTest {

    /** The window is measured between the arrival times and includes its end. */
    @Test
    void duplicateAtTheEndOfTheWindowSharesTheResultAndDuplicateAfterItRuns() {
        for (int ms : new int[] {4999, 5000, 5001}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture();
            fixture.receiveAndComplete();
            fixture.advance(ms);
            String retry = fixture.receive("buy", "t", "a");
            fixture.decide();
            assertEquals(ms <= 5000 ? List.of() : List.of(retry), fixture.launched(retry), ms + " ms");
            assertEquals(ms <= 5000 ? SUCCEEDED : List.of(), fixture.responses(retry), ms + " ms");
        }
    }

    /** The arrival time of a duplicate, not the time of reading, decides whether the duplicate is in the window. */
    @Test
    void duplicateThatArrivedInTheWindowSharesTheResultWhenReadAfterIt() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        fixture.receiveAndComplete();
        fixture.advance(5090);
        String arrivedInWindow =
                fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(91));
        String arrivedAfterWindow =
                fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(89));
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(arrivedInWindow));
        assertEquals(List.of(arrivedAfterWindow), fixture.launched(arrivedInWindow, arrivedAfterWindow));
    }

    /**
     * A request that arrived after the window and ended without running does not evict the earlier run, as a duplicate
     * that arrived within the window may still be unread.
     */
    @Test
    void duplicateOfTheWindowDoesNotRunAfterALaterRequestEndedWithoutRunning() {
        for (boolean rejected : new boolean[] {false, true}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture().fillCores();
            fixture.freeCores();
            String first = fixture.receiveAndComplete();
            fixture.advance(5001);
            fixture.fillCores();
            String afterWindow = fixture.receive("buy", "t", "a");
            fixture.decide();
            assertEquals(List.of(), fixture.launched(afterWindow));
            if (rejected) {
                fixture.advance(510);
                assertEquals(REJECTED, fixture.responses(afterWindow));
            } else {
                fixture.disconnectCaller(afterWindow);
                fixture.decide();
            }
            String duplicate =
                    fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(rejected ? 512 : 2));
            fixture.decide();
            fixture.freeCores();
            assertEquals(List.of(first), fixture.launched(first, afterWindow, duplicate));
            assertEquals(SUCCEEDED, fixture.responses(duplicate));
        }
    }

    /** A duplicate of the first window does not take the place of a later request that is still queued. */
    @Test
    void duplicateOfTheWindowDoesNotReplaceALaterQueuedRequest() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String first = fixture.receiveAndComplete();
        fixture.advance(5001);
        fixture.fillCores();
        String queued = fixture.receive("buy", "t", "a");
        fixture.decide();
        String duplicate = fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(2));
        fixture.disconnectCaller(queued);
        fixture.decide();
        fixture.freeCores();
        assertEquals(List.of(first), fixture.launched(first, queued, duplicate));
        assertEquals(SUCCEEDED, fixture.responses(duplicate));
    }

    /** A duplicate with an arrival time in the future is still in its window. */
    @Test
    void arrivalTimeInTheFutureCountsAsNow() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        fixture.receiveAndComplete();
        fixture.advance(3000);
        String retry = fixture.receive("buy", "t", null, "a", fixture.now().plusMillis(4500));
        fixture.decide();
        assertEquals(List.of(), fixture.launched(retry));
        assertEquals(SUCCEEDED, fixture.responses(retry));
    }

    /** An implausible arrival time must not enter the estimated read delay and cause rejections of other requests. */
    @Test
    void arrivalTimeLongAgoDoesNotRejectOtherRequests() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String implausible = fixture.receive("look", null, null, "x", Duration.ofDays(-18_000));
        fixture.decide();
        assertEquals(FAILED, fixture.responses(implausible));
        for (int i = 0; i < 12; i++) {
            String id = fixture.receive("look", null, "a" + i);
            fixture.decide();
            assertEquals(List.of(id), fixture.launched(id), "request " + i);
            fixture.endRun(id, Outcome.OK, "done");
        }
    }

    /**
     * The first of three duplicates in one batch is rejected immediately and the second takes its place. The third,
     * whose original is still the first, shares the outcome of the second.
     */
    @Test
    void oneOfThreeDuplicatesInOneBatchRuns() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        // After a request that was read immediately, a request with a long read delay is rejected when it is read.
        fixture.receive("look", null, "x");
        fixture.decide();
        String first = fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(600));
        String second = fixture.receive("buy", "t", "a");
        String third = fixture.receive("buy", "t", "a");
        fixture.decide();
        assertEquals(REJECTED, fixture.responses(first));
        assertEquals(List.of(second), fixture.launched(first, second, third));
        fixture.endRun(second, Outcome.OK, "done");
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(second));
        assertEquals(SUCCEEDED, fixture.responses(third));
    }

    /** The second of two duplicates in one batch waits for the outcome of the first. */
    @Test
    void oneOfTwoDuplicatesInOneBatchRuns() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String first = fixture.receive("buy", "t", "a");
        String second = fixture.receive("buy", "t", "a");
        fixture.decide();
        assertEquals(List.of(first), fixture.launched(first, second));
        fixture.endRun(first, Outcome.OK, "done");
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(second));
    }

    /**
     * The first request's caller disconnects and a waiting duplicate takes its place. A duplicate received in the same
     * batch, whose original is still the first request, does not run as well.
     */
    @Test
    void successorAndDuplicateOfTheSameBatchDoNotBothRun() {
        BatchedBackendFixture fixture = new BatchedBackendFixture().fillCores();
        String first = fixture.receive("buy", "t", "a");
        String successor = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.disconnectCaller(first);
        String next = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.freeCores();
        assertEquals(List.of(successor), fixture.launched(first, successor, next));
        fixture.endRun(successor, Outcome.OK, "done");
        fixture.decide();
        assertEquals(UNANSWERED, fixture.responses(first));
        assertEquals(SUCCEEDED, fixture.responses(successor));
        assertEquals(SUCCEEDED, fixture.responses(next));
    }

    /**
     * The callers of the first request and of its successor disconnect in one batch: the next duplicate runs, and the
     * other two requests are released.
     */
    @Test
    void successorWhoseCallerDisconnectsIsReplacedByTheNextDuplicate() {
        BatchedBackendFixture fixture = new BatchedBackendFixture().fillCores();
        String first = fixture.receive("buy", "t", "a");
        String successor = fixture.receive("buy", "t", "a");
        String next = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.disconnectCaller(first);
        fixture.disconnectCaller(successor);
        fixture.decide();
        fixture.freeCores();
        assertEquals(List.of(next), fixture.launched(first, successor, next));
        fixture.disconnectCaller(next);
        assertEquals(
                5,
                fixture.backend.trackedRequests(),
                "four requests that fill the cores, and the run without a caller");
        assertNull(fixture.request(successor).body());
    }

    /** Duplicates that arrive during a run share it even if the window ends before the run. */
    @Test
    void duplicateDuringARunLongerThanTheWindowSharesTheRun() {
        for (long windowMs : new long[] {50, 0}) {
            BatchedBackendFixture fixture = BatchedBackendFixture.withBuyWindow(windowMs);
            String first = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.advance(300);
            String readDuringRun = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.endRun(first, Outcome.OK, "done");
            fixture.decide();
            fixture.advance(20);
            String readAfterRun =
                    fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(25));
            fixture.decide();
            assertEquals(SUCCEEDED, fixture.responses(readDuringRun));
            assertEquals(SUCCEEDED, fixture.responses(readAfterRun));
            String arrivedAfterRun = fixture.receive("buy", "t", "a");
            fixture.decide();
            assertEquals(
                    List.of(first, arrivedAfterRun),
                    fixture.launched(first, readDuringRun, readAfterRun, arrivedAfterRun));
        }
    }

    /** A second request with an id in use fails immediately; the first is answered by its run. */
    @Test
    void secondRequestWithAnIdInUseFails() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String first = fixture.receive("buy", "t", "a");
        fixture.decide();
        assertEquals(
                Optional.empty(),
                fixture.receiveAs(
                        new RequestId(Long.parseLong(first, 16), "second"), "buy", "t", null, "a", fixture.now()));
        assertEquals(FAILED, fixture.responses("second"));
        assertEquals(1, fixture.backend.unansweredRequests());
        fixture.endRun(first, Outcome.OK, "done");
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(first));
        assertEquals(List.of("launch"), fixture.commands(first));
    }

    /**
     * The id of a request whose caller has disconnected is still in use in the same batch, so a second request with the
     * id fails. In the next batch the id is accepted.
     */
    @Test
    void idReusedAfterADisconnectFailsInTheSameBatchAndIsAcceptedInTheNext() {
        BatchedBackendFixture fixture = new BatchedBackendFixture().fillCores();
        String first = fixture.receive("look", null, "a");
        fixture.decide();
        fixture.disconnectCaller(first);
        assertEquals(
                Optional.empty(),
                fixture.receiveAs(
                        new RequestId(Long.parseLong(first, 16), "same batch"),
                        "look",
                        null,
                        null,
                        "a",
                        fixture.now()));
        fixture.decide();
        assertEquals(FAILED, fixture.responses("same batch"));
        fixture.receiveAs(
                new RequestId(Long.parseLong(first, 16), "next batch"), "look", null, null, "a", fixture.now());
        fixture.decide();
        fixture.freeCores();
        assertEquals(List.of("next batch"), fixture.launched(first, "same batch", "next batch"));
        assertEquals(UNANSWERED, fixture.responses(first));
    }

    /** A request that reuses the id of a released request ends as the agent reports, also if it was never started. */
    @Test
    void requestWithAReleasedIdEndsAsTheAgentReports() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String first = fixture.receiveAndComplete();
        fixture.advance(36_000);
        assertEquals(0, fixture.backend.trackedRequests());
        fixture.receiveAs(new RequestId(Long.parseLong(first, 16), first), "look", null, null, "b", fixture.now());
        fixture.decide();
        fixture.endRun(first, Outcome.NOT_STARTED, "");
        fixture.decide();
        assertEquals(FAILED, fixture.responses(first));
        fixture.endRun(first, Outcome.OK, "late");
        fixture.decide();
        assertEquals(0, fixture.backend.unansweredRequests());
    }

    /** Writes with the same subject share no result: each is run and answered separately. */
    @Test
    void writesWithTheSameSubjectDoNotShareResults() {
        BatchedBackendFixture fixture = new BatchedBackendFixture(settings -> settings.maxOutcomeAge(
                        Duration.ofSeconds(1))
                .changePriorityClass(BackendFixture.BUY, buy -> buy.semantics(RequestSemantics.NON_IDEMPOTENT)));
        String first = fixture.receive("buy", null, "s", "a", fixture.now());
        String second = fixture.receive("buy", null, "s", "b", fixture.now());
        fixture.decide();
        assertEquals(List.of(first, second), fixture.launched(first, second));
        fixture.endRun(first, Outcome.OK, "of a");
        fixture.endRun(second, Outcome.OK, "of b");
        fixture.decide();
        assertEquals(List.of("succeeded of a"), fixture.responses(first));
        assertEquals(List.of("succeeded of b"), fixture.responses(second));
    }

    /** Requests without idempotency keys are no duplicates, and a call with unknown outcome is not retried. */
    @Test
    void requestsWithoutIdempotencyKeyEachRunAndCallOnce() {
        BatchedBackendFixture fixture = new BatchedBackendFixture(settings -> settings.changePriorityClass(
                BackendFixture.BUY, buy -> buy.semantics(RequestSemantics.NON_IDEMPOTENT)));
        String first = fixture.receive("buy", null, "a");
        String second = fixture.receive("buy", null, "a");
        fixture.decide();
        fixture.requestCall(first);
        fixture.decide();
        fixture.endCall(first, Outcome.CONNECTION_LOST);
        fixture.decide();
        assertEquals(
                List.of("launch", "call"),
                fixture.commands(first),
                "a call that may have had side effects is not retried");
        assertEquals(FAILED, fixture.responses(first));
        assertEquals(List.of("launch"), fixture.commands(second));
    }
}
