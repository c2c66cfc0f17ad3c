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
 * Duplicates of one request together with each other, with the end of their window and with the release of its result.
 */
class DuplicateRequestRaceTest {

    /** The window counts from arrival to arrival, and its last moment belongs to it. */
    @Test
    void duplicateAtTheEndOfTheWindowSharesAndOneAfterItRuns() {
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

    /** Whether a duplicate belongs to the window is judged by its arrival and not by when it was read. */
    @Test
    void duplicateOfTheWindowThatIsReadAfterItShares() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        fixture.receiveAndComplete();
        fixture.advance(5090);
        String retry = fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(91));
        String later = fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(89));
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(retry));
        assertEquals(List.of(later), fixture.launched(retry, later));
    }

    /**
     * A request after the window that ended without running does not evict the run before it, as a duplicate of that
     * one's window may still be unread.
     */
    @Test
    void duplicateOfTheWindowDoesNotRunAfterALaterOneEndedUnrun() {
        for (boolean rejected : new boolean[] {false, true}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture().fillCores();
            fixture.freeCores();
            String first = fixture.receiveAndComplete();
            fixture.advance(5001);
            fixture.fillCores();
            String later = fixture.receive("buy", "t", "a");
            fixture.decide();
            assertEquals(List.of(), fixture.launched(later));
            if (rejected) {
                fixture.advance(510);
                assertEquals(REJECTED, fixture.responses(later));
            } else {
                fixture.disconnectCaller(later);
                fixture.decide();
            }
            String retry = fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(rejected ? 512 : 2));
            fixture.decide();
            fixture.freeCores();
            assertEquals(List.of(first), fixture.launched(first, later, retry));
            assertEquals(SUCCEEDED, fixture.responses(retry));
        }
    }

    /** The same where the later request is still queued: a duplicate of the first window does not succeed it. */
    @Test
    void duplicateOfTheWindowDoesNotReplaceALaterQueuedOne() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String first = fixture.receiveAndComplete();
        fixture.advance(5001);
        fixture.fillCores();
        String later = fixture.receive("buy", "t", "a");
        fixture.decide();
        String retry = fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(2));
        fixture.disconnectCaller(later);
        fixture.decide();
        fixture.freeCores();
        assertEquals(List.of(first), fixture.launched(first, later, retry));
        assertEquals(SUCCEEDED, fixture.responses(retry));
    }

    /** An arrival time in the future takes no duplicate out of its window. */
    @Test
    void arrivalInTheFutureCountsAsNow() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        fixture.receiveAndComplete();
        fixture.advance(3000);
        String retry = fixture.receive("buy", "t", null, "a", fixture.now().plusMillis(4500));
        fixture.decide();
        assertEquals(List.of(), fixture.launched(retry));
        assertEquals(SUCCEEDED, fixture.responses(retry));
    }

    /** An arrival time years ago does not count as time that requests wait to be read, and rejects nobody else. */
    @Test
    void arrivalLongAgoRejectsNobodyElse() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String old = fixture.receive("look", null, null, "x", Duration.ofDays(-18_000));
        fixture.decide();
        assertEquals(FAILED, fixture.responses(old));
        for (int i = 0; i < 12; i++) {
            String id = fixture.receive("look", null, "a" + i);
            fixture.decide();
            assertEquals(List.of(id), fixture.launched(id), "number " + i);
            fixture.endRun(id, Outcome.OK, "done");
        }
    }

    /**
     * Of three duplicates in one batch the first is rejected at once, the second takes its place, and the third, which
     * still names the first, shares.
     */
    @Test
    void oneOfThreeDuplicatesInOneBatchRuns() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        // Next to one that was read at once, one that is read so late is turned away as it is read.
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

    /** Of two duplicates in one batch the second waits for the first. */
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
     * The caller of the first disconnects, a waiting duplicate takes its place, and another one of the same batch still
     * names the first: one runs.
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
     * The callers of the first and of its successor disconnect in one batch: the next in line runs, and nothing of the
     * others is retained.
     */
    @Test
    void successorWhoseCallerDisconnectsPassesItsPlaceOn() {
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
        assertEquals(5, fixture.backend.trackedRequests(), "four that run and the one that ran on");
        assertNull(fixture.request(successor).body());
    }

    /** A window that is over before the run ends: the run is found until it has ended. */
    @Test
    void duplicateAfterAWindowShorterThanTheRunShares() {
        for (long windowMs : new long[] {50, 0}) {
            BatchedBackendFixture fixture = BatchedBackendFixture.withBuyWindow(windowMs);
            String first = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.advance(300);
            String during = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.endRun(first, Outcome.OK, "done");
            fixture.decide();
            fixture.advance(20);
            String unread = fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(25));
            fixture.decide();
            assertEquals(SUCCEEDED, fixture.responses(during));
            assertEquals(SUCCEEDED, fixture.responses(unread));
            String after = fixture.receive("buy", "t", "a");
            fixture.decide();
            assertEquals(List.of(first, after), fixture.launched(first, during, unread, after));
        }
    }

    /** The same id on two connections: the second request fails at once, the first is answered by its run. */
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
     * The id of a request whose caller disconnects, on a new connection: it fails in the same batch, as ids are new
     * with every attempt, and is accepted later.
     */
    @Test
    void idReusedAsItsCallerDisconnectsIsAnsweredOnceEach() {
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

    /** The id of a released request, which the agent still knows: what the agent reports of it counts. */
    @Test
    void idReusedAfterItsReleaseIsAnsweredAsTheAgentReports() {
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

    /** A subject that comes with a write stands for no result to share: each request is run and answered by itself. */
    @Test
    void writesOfOneSubjectDoNotShareResults() {
        BatchedBackendFixture fixture = new BatchedBackendFixture(settings -> settings.maxOutcomeAge(
                        Duration.ofSeconds(1))
                .changePriorityClass(BackendFixture.BUY, buy -> buy.semantics(RequestSemantics.NON_IDEMPOTENT)));
        String one = fixture.receive("buy", null, "s", "a", fixture.now());
        String two = fixture.receive("buy", null, "s", "b", fixture.now());
        fixture.decide();
        assertEquals(List.of(one, two), fixture.launched(one, two));
        fixture.endRun(one, Outcome.OK, "of a");
        fixture.endRun(two, Outcome.OK, "of b");
        fixture.decide();
        assertEquals(List.of("succeeded of a"), fixture.responses(one));
        assertEquals(List.of("succeeded of b"), fixture.responses(two));
    }

    /**
     * In a class without idempotency keys no two requests are duplicates, and a call that may have had its effect is
     * not made again.
     */
    @Test
    void requestsWithoutIdempotencyKeyRunAndCallOnceEach() {
        BatchedBackendFixture fixture = new BatchedBackendFixture(settings -> settings.changePriorityClass(
                BackendFixture.BUY, buy -> buy.semantics(RequestSemantics.NON_IDEMPOTENT)));
        String one = fixture.receive("buy", null, "a");
        String two = fixture.receive("buy", null, "a");
        fixture.decide();
        fixture.requestCall(one);
        fixture.decide();
        fixture.endCall(one, Outcome.CONNECTION_LOST);
        fixture.decide();
        assertEquals(
                List.of("launch", "call"),
                fixture.commands(one),
                "a call that may have had its effect is not made retry");
        assertEquals(FAILED, fixture.responses(one));
        assertEquals(List.of("launch"), fixture.commands(two));
    }
}
