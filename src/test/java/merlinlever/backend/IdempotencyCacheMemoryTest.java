package merlinlever.backend;

import static merlinlever.backend.BatchedBackendFixture.FAILED;
import static merlinlever.backend.BatchedBackendFixture.SUCCEEDED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import merlinlever.controller.Outcome;
import org.junit.jupiter.api.Test;

/** The release of retained bodies and results while duplicates arrive, disconnect or are read late. */
class IdempotencyCacheMemoryTest {

    /** The result of a run that took longer than the window is released once no duplicate can request it. */
    @Test
    void resultOfARunLongerThanItsWindowIsReleased() {
        BatchedBackendFixture fixture = new BatchedBackendFixture(settings ->
                settings.changePriorityClass(BackendFixture.BUY, buy -> buy.idempotencyWindow(Duration.ofMillis(50))
                        .clientTimeout(Duration.ofSeconds(9))));
        String first = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.advance(3000);
        fixture.endRun(first, Outcome.OK, "done");
        fixture.decide();
        fixture.advance(1900);
        assertTrue(fixture.request(first).result() != null);
        fixture.advance(200);
        assertNull(fixture.request(first).result());
        assertNull(fixture.request(first).body());
    }

    /** A result is released even if a later run has replaced it under the same key. */
    @Test
    void replacedResultIsReleased() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String first = fixture.receiveAndComplete();
        fixture.advance(5001);
        fixture.receiveAndComplete();
        fixture.advance(2100);
        assertNull(fixture.request(first).result());
        assertNull(fixture.request(first).body());
    }

    /** The body of a queued request is released when the caller disconnects, so disconnects cannot fill the memory. */
    @Test
    void bodyOfAQueuedRequestIsReleasedWhenItsCallerDisconnects() {
        BatchedBackendFixture fixture = new BatchedBackendFixture().fillCores();
        String queued = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.disconnectCaller(queued);
        fixture.decide();
        assertNull(fixture.request(queued).body());
        assertEquals(4, fixture.backend.trackedRequests());
    }

    /** A caller that retries and disconnects repeatedly during one run does not grow the list of duplicates. */
    @Test
    void disconnectedDuplicatesOfARunAreNotRetained() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String first = fixture.receive("buy", "t", "a");
        fixture.decide();
        for (int i = 0; i < 50; i++) {
            String retry = fixture.receive("buy", "t", "a");
            fixture.decide();
            fixture.disconnectCaller(retry);
            fixture.decide();
        }
        assertTrue(
                fixture.request(first).coalesced().size() <= 1,
                fixture.request(first).coalesced().size() + " retained");
        assertEquals(1, fixture.backend.trackedRequests());
    }

    /** A duplicate that arrived in the window but is read more than 2 s after the window fails without running. */
    @Test
    void duplicateReadAfterTheResultWasReleasedFails() {
        for (int lateMs : new int[] {1990, 2010, 20_000}) {
            BatchedBackendFixture fixture = new BatchedBackendFixture();
            fixture.callerTimeout = Duration.ofSeconds(25);
            fixture.receiveAndComplete();
            fixture.advance(5000 + lateMs);
            String retry = fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(lateMs + 1));
            fixture.decide();
            assertEquals(List.of(), fixture.launched(retry));
            assertEquals(lateMs < 2000 ? SUCCEEDED : FAILED, fixture.responses(retry), lateMs + " ms late");
        }
    }

    /**
     * A duplicate that is read in the batch that releases the result shares the result; a duplicate read in the next
     * batch fails.
     */
    @Test
    void duplicateReadInTheBatchOfTheReleaseSharesTheResult() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        fixture.callerTimeout = Duration.ofSeconds(25);
        fixture.receiveAndComplete();
        fixture.advance(7000);
        fixture.moveClock(2);
        String readInReleaseBatch =
                fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(2100));
        fixture.decide();
        String readAfterRelease =
                fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(2100));
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(readInReleaseBatch));
        assertEquals(FAILED, fixture.responses(readAfterRelease));
        assertEquals(List.of(), fixture.launched(readInReleaseBatch, readAfterRelease));
    }

    /** Requests of a class with a short window are released while earlier requests with a long window are retained. */
    @Test
    void requestWithAShortWindowIsReleasedBeforeAnEarlierOneWithALongWindow() {
        BatchedBackendFixture fixture = new BatchedBackendFixture(settings -> settings.changePriorityClass(
                        BackendFixture.LOOK, look -> look.idempotencyWindow(Duration.ofSeconds(1)))
                .changePriorityClass(BackendFixture.BUY, buy -> buy.idempotencyWindow(Duration.ofMinutes(10))));
        fixture.receiveAndComplete();
        for (int i = 0; i < 100; i++) {
            String lookup = fixture.receive("look", null, "a");
            fixture.decide();
            fixture.endRun(lookup, Outcome.OK, "done");
        }
        fixture.advance(31_100);
        assertEquals(1, fixture.backend.trackedRequests(), "only the request with the long window is tracked");
    }
}
