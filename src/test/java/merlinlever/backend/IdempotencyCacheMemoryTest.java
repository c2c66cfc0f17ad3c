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

/** The release of what is retained of a run, while duplicates of it arrive, disconnect or are read late. */
class IdempotencyCacheMemoryTest {

    /** No result is retained longer than it can be asked for, however long its run took. */
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

    /** A result is released also if another run has taken its place under the key. */
    @Test
    void resultOfARunThatWasReplacedIsReleased() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String first = fixture.receiveAndComplete();
        fixture.advance(5001);
        fixture.receiveAndComplete();
        fixture.advance(2100);
        assertNull(fixture.request(first).result());
        assertNull(fixture.request(first).body());
    }

    /** In a flood of callers that disconnect at once, the body is released with the request that never ran. */
    @Test
    void bodyOfARequestThatNeverRanIsReleasedWithItsCaller() {
        BatchedBackendFixture fixture = new BatchedBackendFixture().fillCores();
        String queued = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.disconnectCaller(queued);
        fixture.decide();
        assertNull(fixture.request(queued).body());
        assertEquals(4, fixture.backend.trackedRequests());
    }

    /** A caller that retries and disconnects many times during one run leaves no list behind. */
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

    /** A duplicate that arrived in the window but is read more than 2 s after its end fails, and does not run. */
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
     * The result is released in the batch in which a duplicate is read: before the release it shares, after it it
     * fails.
     */
    @Test
    void duplicateReadInTheBatchOfTheReleaseHasOneResponse() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        fixture.callerTimeout = Duration.ofSeconds(25);
        fixture.receiveAndComplete();
        fixture.advance(7000);
        fixture.moveClock(2);
        String before = fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(2100));
        fixture.decide();
        String after = fixture.receive("buy", "t", null, "a", fixture.now().minusMillis(2100));
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(before));
        assertEquals(FAILED, fixture.responses(after));
        assertEquals(List.of(), fixture.launched(before, after));
    }

    /** What a class with a long window leaves behind does not retain what a class with a short one has left. */
    @Test
    void shortWindowIsNotRetainedBehindALongOne() {
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
        assertEquals(1, fixture.backend.trackedRequests(), "the one with the long window");
    }
}
