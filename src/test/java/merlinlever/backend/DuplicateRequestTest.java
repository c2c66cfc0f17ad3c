package merlinlever.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import merlinlever.backend.RequestMetadata.RequestId;
import merlinlever.backend.RequestMetadata.Timing;
import merlinlever.controller.Outcome;
import org.junit.jupiter.api.Test;

/** Duplicates of a request: who shares its run, who fails, and what is retained. */
class DuplicateRequestTest {

    /** Rule 2: every duplicate in the window of a request with an idempotency key gets the outcome of the one run. */
    @Test
    void duplicatesShareTheRunWhileItLastsAndAfterIt() {
        BackendFixture fixture = new BackendFixture();
        String first = fixture.receive("buy", "t", "a");
        String during = fixture.receive("buy", "t", "a");
        fixture.endRun(first, Outcome.OK, "done");
        String after = fixture.receive("buy", "t", "a");
        fixture.advance(4900);
        String late = fixture.receive("buy", "t", "a");
        for (String id : List.of(first, during, after, late)) {
            assertEquals("succeeded done", fixture.response(id));
        }
        assertEquals(List.of("launch " + first), fixture.commands);
        fixture.advance(200);
        String next = fixture.receive("buy", "t", "a");
        assertEquals(1, fixture.count("launch " + next));
    }

    /** The caller of the first disconnected; its run continues for the one that retries. */
    @Test
    void duplicateGetsTheOutcomeOfARunWhoseCallerDisconnected() {
        BackendFixture fixture = new BackendFixture();
        String first = fixture.receive("buy", "t", "a");
        fixture.disconnectCaller(first);
        fixture.decide();
        String retry = fixture.receive("buy", "t", "a");
        fixture.endRun(first, Outcome.OK, "done");
        assertEquals("succeeded done", fixture.response(retry));
        assertTrue(fixture.responsesById.get(first).isEmpty());
    }

    @Test
    void duplicateOfAFailedRequestFailsAndIsNotRun() {
        BackendFixture fixture = new BackendFixture();
        String first = fixture.receive("buy", "t", "a");
        fixture.endRun(first, Outcome.ERROR, "");
        String retry = fixture.receive("buy", "t", "a");
        assertEquals("failed", fixture.response(retry));
        assertEquals(1, fixture.commands.size());
    }

    /** An idempotency key that comes with another body stands for no request whose outcome could be shared. */
    @Test
    void idempotencyKeyWithAnotherBodyFailsAndLeavesTheFirstAlone() {
        BackendFixture fixture = new BackendFixture();
        String first = fixture.receive("buy", "t", "a");
        String other = fixture.receive("buy", "t", "b");
        assertEquals("failed", fixture.response(other));
        fixture.endRun(first, Outcome.OK, "done");
        assertEquals("succeeded done", fixture.response(first));
        assertEquals("succeeded done", fixture.response(fixture.receive("buy", "t", "a")));
    }

    /**
     * The process's own limit: with more keys than are planned for, new requests are rejected, and no key is dropped.
     */
    @Test
    void keysBeyondTheLimitOfTheProcessAreRejectedAndNoneIsEvicted() {
        BackendFixture fixture = new BackendFixture(settings -> settings.memoryPerKeyKb(0));
        int succeeded = 0;
        String id = fixture.receive("buy", "t0", "a");
        for (int i = 0; fixture.count("launch " + id) == 1 && i < 4200; i++) {
            fixture.endRun(id, Outcome.OK, "r" + i);
            succeeded++;
            id = fixture.receive("buy", "t" + succeeded, "a");
        }
        assertTrue(succeeded > 3000 && succeeded < 4000, "" + succeeded);
        fixture.advance(600);
        assertEquals("rejected", fixture.response(id));
        assertEquals("succeeded r0", fixture.response(fixture.receive("buy", "t0", "a")));
    }

    /** In a flood of rejections nothing is retained of the rejected requests; only runs are remembered. */
    @Test
    void rejectedRequestsAreNotRetained() {
        BackendFixture fixture = new BackendFixture();
        fixture.receive("look", null, "a");
        fixture.backend.startDrain(fixture.now, fixture.now.plusMillis(10));
        for (int i = 0; i < 1000; i++) {
            fixture.receive("buy", "t" + i, "a");
        }
        assertEquals(1, fixture.backend.trackedRequests());
    }

    @Test
    void readsOfASubjectShareAFreshResultWhereThatIsAllowed() {
        BackendFixture fixture = new BackendFixture(settings -> settings.maxOutcomeAge(Duration.ofSeconds(1)));
        for (int round = 0; round < 2; round++) {
            List<String> responses = new ArrayList<>();
            long firstId = fixture.lastId + 1;
            for (int i = 0; i < 3; i++) {
                RequestId id = new RequestId(++fixture.lastId, "w");
                Timing timing = new Timing(fixture.now, Optional.empty());
                RequestMetadata metadata = fixture.metadata(id, "look", timing, null, "s");
                fixture.backend.receive(fixture.now, metadata, new byte[0], new RecordingResponseSink(responses));
                fixture.decide();
                if (i == 1) {
                    fixture.endRun(Long.toHexString(firstId), Outcome.OK, "fresh");
                }
            }
            assertEquals(List.of("succeeded fresh", "succeeded fresh", "succeeded fresh"), responses);
            assertEquals(round + 1, fixture.count("launch w"));
            fixture.advance(1100);
        }
    }
}
