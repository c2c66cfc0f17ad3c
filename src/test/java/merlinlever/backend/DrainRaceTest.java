package merlinlever.backend;

import static merlinlever.backend.BatchedBackendFixture.FAILED;
import static merlinlever.backend.BatchedBackendFixture.REJECTED;
import static merlinlever.backend.BatchedBackendFixture.SUCCEEDED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import merlinlever.controller.Outcome;
import org.junit.jupiter.api.Test;

/** The drain notice together with requests that are being read, queued, duplicated and timed. */
class DrainRaceTest {

    /** Of two drain notices the grace period counts from the first; a request after it does not run. */
    @Test
    void secondDrainNoticeDoesNotExtendTheGracePeriod() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        Duration stopAt = fixture.now().plusMillis(3000);
        fixture.backend.startDrain(fixture.now(), stopAt);
        fixture.decide();
        fixture.advance(400);
        fixture.backend.startDrain(fixture.now(), stopAt.plusMillis(400));
        fixture.decide();
        fixture.advance(101);
        String late = fixture.receive("look", null, "a");
        fixture.decide();
        assertEquals(List.of(), fixture.launched(late));
        assertEquals(REJECTED, fixture.responses(late));
    }

    /**
     * A request that arrived in the grace period runs even if it starts later; one that arrived at its end is rejected,
     * also as a duplicate.
     */
    @Test
    void gracePeriodCountsFromArrivalNotFromStart() {
        BatchedBackendFixture fixture = new BatchedBackendFixture().fillCores();
        fixture.callerTimeout = Duration.ofSeconds(2);
        fixture.backend.startDrain(fixture.now(), fixture.now().plusMillis(3000));
        fixture.decide();
        fixture.advance(490);
        String before = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.moveClock(9);
        String unread = fixture.receive("look", null, "b");
        fixture.moveClock(1);
        String after = fixture.receive("buy", "u", "a");
        String duplicate = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.advance(50);
        fixture.freeCores();
        assertEquals(List.of(before, unread), fixture.launched(before, unread, after, duplicate));
        assertEquals(REJECTED, fixture.responses(after));
        assertEquals(REJECTED, fixture.responses(duplicate));
    }

    /**
     * A retry after the grace period shares the result of a run that has ended and the outcome of one in flight, and
     * does not run.
     */
    @Test
    void retryAfterTheGracePeriodSharesTheRun() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        fixture.callerTimeout = Duration.ofSeconds(2);
        String ran = fixture.receive("buy", "t", "a");
        String running = fixture.receive("buy", "u", "a");
        fixture.decide();
        fixture.endRun(ran, Outcome.OK, "done");
        fixture.backend.startDrain(fixture.now(), fixture.now().plusMillis(3000));
        fixture.decide();
        fixture.advance(600);
        String after = fixture.receive("buy", "t", "a");
        String during = fixture.receive("buy", "u", "a");
        fixture.decide();
        fixture.endRun(running, Outcome.OK, "done");
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(after));
        assertEquals(SUCCEEDED, fixture.responses(during));
        assertEquals(List.of(ran, running), fixture.launched(ran, running, after, during));
    }

    /**
     * A drain notice before the agent is up, and its greeting after: no request is started, all are rejected, none is
     * left unanswered.
     */
    @Test
    void agentThatComesUpWhileDrainingStartsNothing() {
        Backend backend = new BackendFixture().backendBeforeAgent();
        backend.startDrain(Duration.ZERO, Duration.ofSeconds(3));
        backend.decide(Duration.ZERO);
        backend.agentStarted(Duration.ofMillis(5), true);
        backend.decide(Duration.ofMillis(5));
        assertFalse(backend.isStarted() || backend.isHealthy());
        List<String> responses = new ArrayList<>();
        assertEquals(
                Optional.empty(),
                backend.receive(Duration.ofMillis(6), null, null, new RecordingResponseSink(responses)));
        assertEquals(REJECTED, responses);
        assertEquals(0, backend.unansweredRequests());
    }

    /** Wake-ups are scheduled and handled while draining, up to the stop, and one after it does no harm. */
    @Test
    void wakeUpsContinueWhileDrainingAndAfterTheStop() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        String id = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.backend.startDrain(fixture.now(), fixture.now().plusMillis(200));
        fixture.decide();
        assertTrue(fixture.isWakeUpScheduled());
        fixture.advance(300);
        assertEquals(FAILED, fixture.responses(id));
        fixture.endRun(id, Outcome.STOPPED, "");
        fixture.decide();
        assertEquals(0, fixture.backend.unansweredRequests());
    }
}
