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

/** Races of a drain notice with requests that are being read, are queued, are duplicates or time out. */
class DrainRaceTest {

    /** The grace period counts from the first of two drain notices; a request that arrives after it does not run. */
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
        String afterGracePeriod = fixture.receive("look", null, "a");
        fixture.decide();
        assertEquals(List.of(), fixture.launched(afterGracePeriod));
        assertEquals(REJECTED, fixture.responses(afterGracePeriod));
    }

    /**
     * A request that arrived in the grace period runs even if it starts later. A request that arrives at the end of the
     * period is rejected, even if it is a duplicate.
     */
    @Test
    void gracePeriodCountsFromArrivalNotFromStart() {
        BatchedBackendFixture fixture = new BatchedBackendFixture().fillCores();
        fixture.callerTimeout = Duration.ofSeconds(2);
        fixture.backend.startDrain(fixture.now(), fixture.now().plusMillis(3000));
        fixture.decide();
        fixture.advance(490);
        String inGracePeriod = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.moveClock(9);
        String shortlyBeforeEnd = fixture.receive("look", null, "b");
        fixture.moveClock(1);
        String atEnd = fixture.receive("buy", "u", "a");
        String duplicateAtEnd = fixture.receive("buy", "t", "a");
        fixture.decide();
        fixture.advance(50);
        fixture.freeCores();
        assertEquals(
                List.of(inGracePeriod, shortlyBeforeEnd),
                fixture.launched(inGracePeriod, shortlyBeforeEnd, atEnd, duplicateAtEnd));
        assertEquals(REJECTED, fixture.responses(atEnd));
        assertEquals(REJECTED, fixture.responses(duplicateAtEnd));
    }

    /** A retry after the grace period shares the outcome of a run that is in progress or has ended. */
    @Test
    void retryAfterTheGracePeriodSharesTheRun() {
        BatchedBackendFixture fixture = new BatchedBackendFixture();
        fixture.callerTimeout = Duration.ofSeconds(2);
        String ended = fixture.receive("buy", "t", "a");
        String running = fixture.receive("buy", "u", "a");
        fixture.decide();
        fixture.endRun(ended, Outcome.OK, "done");
        fixture.backend.startDrain(fixture.now(), fixture.now().plusMillis(3000));
        fixture.decide();
        fixture.advance(600);
        String retryOfEnded = fixture.receive("buy", "t", "a");
        String retryOfRunning = fixture.receive("buy", "u", "a");
        fixture.decide();
        fixture.endRun(running, Outcome.OK, "done");
        fixture.decide();
        assertEquals(SUCCEEDED, fixture.responses(retryOfEnded));
        assertEquals(SUCCEEDED, fixture.responses(retryOfRunning));
        assertEquals(List.of(ended, running), fixture.launched(ended, running, retryOfEnded, retryOfRunning));
    }

    /** If the agent comes up after a drain notice, the backend starts no request and rejects all requests. */
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

    /** Wake-ups are scheduled and handled while draining, and a wake-up after the stop time is harmless. */
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
