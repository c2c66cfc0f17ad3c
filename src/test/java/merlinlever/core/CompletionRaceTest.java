package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import merlinlever.Outcome;
import net.jqwik.api.Example;

/** Where the end of a run crosses its deadline, its caller, its call, and its sharers. */
class CompletionRaceTest {

    private static final List<String> DONE = List.of("satisfied done");
    private static final List<String> BROKEN_OFF = List.of("broken off");

    /** The outcome and the caller that goes, in one batch and either order: one answer at the most, and no run is stopped that is over. */
    @Example
    void anOutcomeAndACallerThatGoesInOneBatch() {
        for (String tariff : new String[] {"look", "buy"}) {
            for (boolean goneFirst : new boolean[] {false, true}) {
                BatchedBackendFixture batches = new BatchedBackendFixture();
                String name = batches.read(tariff, tariff.equals("buy") ? "t" : null, "a");
                batches.settle();
                if (goneFirst) {
                    batches.gone(name);
                }
                batches.ended(name, Outcome.OK, "done");
                if (!goneFirst) {
                    batches.gone(name);
                }
                batches.settle();
                assertEquals(goneFirst ? List.of() : DONE, batches.heard(name));
                assertEquals(List.of("launch"), batches.asked(name));
                assertEquals(0, batches.backend.inHand());
            }
        }
    }

    /** The outcome that is read in the batch of the deadline is the answer; one that is read after it is none. */
    @Example
    void anOutcomeInTheBatchOfTheDeadline() {
        for (boolean after : new boolean[] {false, true}) {
            BatchedBackendFixture batches = new BatchedBackendFixture();
            String name = batches.read("buy", "t", "a");
            batches.settle();
            batches.pass(990);
            batches.around.now = batches.now().plusMillis(10);
            if (after) {
                batches.settle();
                batches.backend.alarmed(batches.now());
                batches.settle();
            }
            batches.ended(name, Outcome.OK, "done");
            batches.settle();
            batches.pass(50);
            assertEquals(after ? BROKEN_OFF : DONE, batches.heard(name));
            assertEquals(after ? List.of("launch", "freeze") : List.of("launch"), batches.asked(name));
            assertEquals(0, batches.backend.inHand());
        }
    }

    /** The outcome in the last moment before the stop: it is the answer, or the breaking off is, and never both. */
    @Example
    void anOutcomeInTheLastMomentBeforeTheStop() {
        for (boolean after : new boolean[] {false, true}) {
            BatchedBackendFixture batches = new BatchedBackendFixture();
            String name = batches.read("buy", "t", "a");
            batches.settle();
            batches.backend.leave(batches.now(), batches.now().plusMillis(600));
            batches.settle();
            batches.pass(570);
            assertEquals(List.of(), batches.heard(name));
            batches.around.now = batches.now().plusMillis(15);
            if (after) {
                batches.backend.alarmed(batches.now());
                batches.settle();
            }
            batches.ended(name, Outcome.OK, "done");
            batches.settle();
            assertEquals(after ? BROKEN_OFF : DONE, batches.heard(name));
            assertEquals(0, batches.backend.inHand());
        }
    }

    /** A reply in the batch of the deadline goes to the run before it is stopped; after the deadline it goes nowhere. */
    @Example
    void aReplyInTheBatchOfTheDeadline() {
        for (boolean after : new boolean[] {false, true}) {
            BatchedBackendFixture batches = new BatchedBackendFixture();
            String name = batches.read("buy", "t", "a");
            batches.settle();
            batches.needsCall(name);
            batches.settle();
            batches.pass(990);
            batches.around.now = batches.now().plusMillis(10);
            if (!after) {
                batches.replied(name, Outcome.OK);
            }
            batches.backend.alarmed(batches.now());
            batches.settle();
            if (after) {
                batches.replied(name, Outcome.OK);
                batches.settle();
            }
            assertEquals(BROKEN_OFF, batches.heard(name));
            assertEquals(
                    after ? List.of("launch", "call", "give up") : List.of("launch", "call", "deliver", "freeze"),
                    batches.asked(name));
            batches.ended(name, Outcome.STOPPED, "");
            batches.settle();
            assertEquals(0, batches.backend.inHand());
        }
    }

    /** A reply in the batch in which the caller goes: delivered or given up, by which was first, and the run is told once. */
    @Example
    void aReplyInTheBatchInWhichItsCallerGoes() {
        for (boolean goneFirst : new boolean[] {false, true}) {
            BatchedBackendFixture batches = new BatchedBackendFixture();
            String name = batches.read("look", null, "a");
            batches.settle();
            batches.needsCall(name);
            batches.settle();
            if (goneFirst) {
                batches.gone(name);
            }
            batches.replied(name, Outcome.OK);
            if (!goneFirst) {
                batches.gone(name);
            }
            batches.settle();
            assertEquals(
                    goneFirst ? List.of("launch", "call", "give up") : List.of("launch", "call", "deliver", "freeze"),
                    batches.asked(name));
        }
    }

    /** A run that reaches its call as it is stopped, or after it was answered, makes none. */
    @Example
    void aRunThatReachesItsCallAsItIsStoppedMakesNone() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String name = batches.read("look", null, "a");
        batches.settle();
        batches.gone(name);
        batches.settle();
        batches.needsCall(name);
        batches.settle();
        batches.pass(30);
        assertEquals(List.of("launch", "freeze"), batches.asked(name));
        batches.ended(name, Outcome.STOPPED, "");
        batches.settle();
        assertEquals(List.of(), batches.heard(name));
        batches.pass(42_000);
        assertEquals(0, batches.backend.known());
    }

    /** A launch that was sent twice: the agent's word that nothing was begun, after the outcome, changes nothing. */
    @Example
    void wordThatNothingWasBegunAfterTheOutcomeOfALaunchSentTwice() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String name = batches.read("buy", "t", "a");
        batches.settle();
        batches.backend.linkLost(batches.now());
        batches.backend.linkBack(batches.now());
        batches.backend.caughtUp(batches.now());
        assertEquals(List.of("launch", "launch"), batches.asked(name));
        batches.ended(name, Outcome.OK, "done");
        batches.ended(name, Outcome.NOT_STARTED, "");
        batches.settle();
        assertEquals(DONE, batches.heard(name));
        String again = batches.read("buy", "t", "a");
        batches.settle();
        assertEquals(DONE, batches.heard(again));
    }

    /** Word that nothing was begun, of one whose caller is there: broken off, not pushed back, and no try of it runs. */
    @Example
    void wordThatNothingWasBegunOfOneThatIsOwedAnAnswer() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String name = batches.read("buy", "t", "a");
        batches.settle();
        String sharer = batches.read("buy", "t", "a");
        batches.settle();
        batches.ended(name, Outcome.NOT_STARTED, "");
        batches.settle();
        String again = batches.read("buy", "t", "a");
        batches.settle();
        for (String each : List.of(name, sharer, again)) {
            assertEquals(BROKEN_OFF, batches.heard(each));
        }
        assertEquals(List.of(name), batches.launched(name, sharer, again));
    }

    /** A follower whose deadline is reached in the batch in which its original ends: the outcome is read first and counts. */
    @Example
    void aSharerWhoseDeadlineIsReachedAsTheRunEnds() {
        for (boolean after : new boolean[] {false, true}) {
            BatchedBackendFixture batches = new BatchedBackendFixture();
            String first = batches.read("buy", "t", "a");
            batches.settle();
            batches.pass(100);
            batches.wait = Duration.ofMillis(300);
            String sharer = batches.read("buy", "t", "a");
            batches.settle();
            batches.pass(290);
            batches.around.now = batches.now().plusMillis(10);
            if (after) {
                batches.backend.alarmed(batches.now());
                batches.settle();
            }
            batches.ended(first, Outcome.OK, "done");
            batches.settle();
            assertEquals(DONE, batches.heard(first));
            assertEquals(after ? BROKEN_OFF : DONE, batches.heard(sharer));
            assertEquals(0, batches.backend.inHand());
        }
    }

    /** Guards the request: a later try shares the run, so the run is not stopped as the deadline of the first is reached. */
    @Example
    void aRunThatALaterTrySharesIsNotStoppedAtTheDeadlineOfTheFirst() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String first = batches.read("buy", "t", "a");
        batches.settle();
        batches.pass(700);
        String later = batches.read("buy", "t", "a");
        batches.settle();
        batches.pass(400);
        assertEquals(BROKEN_OFF, batches.heard(first));
        assertEquals(List.of("launch"), batches.asked(first));
        batches.ended(first, Outcome.OK, "done");
        batches.settle();
        assertEquals(DONE, batches.heard(later));
    }

    /** The same for a read that others share, whose own caller goes; with the last of them gone it is stopped as before. */
    @Example
    void aReadThatOthersShareRunsOnWithoutItsCaller() {
        BatchedBackendFixture batches =
                new BatchedBackendFixture(BatchedBackendFixture.with("server.fresh-for", "1000"));
        String first = batches.read("look", null, "s", "", batches.now());
        batches.settle();
        String other = batches.read("look", null, "s", "", batches.now());
        batches.settle();
        batches.gone(first);
        batches.settle();
        assertEquals(List.of("launch"), batches.asked(first));
        batches.ended(first, Outcome.OK, "done");
        batches.settle();
        assertEquals(DONE, batches.heard(other));
        String alone = batches.read("look", null, "u", "", batches.now());
        batches.settle();
        batches.gone(alone);
        batches.settle();
        assertEquals(List.of("launch", "freeze"), batches.asked(alone));
    }

    /** Shares a run that is stopped for good: broken off with it, and a try that comes then is not run either. */
    @Example
    void whoSharesARunThatWasStoppedIsBrokenOff() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String first = batches.read("buy", "t", "a");
        batches.settle();
        batches.pass(1000);
        assertEquals(List.of("launch", "freeze"), batches.asked(first));
        String late = batches.read("buy", "t", "a");
        batches.settle();
        batches.ended(first, Outcome.STOPPED, "");
        String later = batches.read("buy", "t", "a");
        batches.settle();
        assertEquals(BROKEN_OFF, batches.heard(late));
        assertEquals(BROKEN_OFF, batches.heard(later));
        assertEquals(List.of(first), batches.launched(first, late, later));
    }

    /** A clock that was read earlier than the one before: nothing is answered twice, or late, by it. */
    @Example
    void aClockThatStandsBackForABatchChangesNoAnswer() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String name = batches.read("buy", "t", "a");
        batches.settle();
        batches.pass(500);
        Duration was = batches.now();
        batches.around.now = was.minusMillis(300);
        String back = batches.read("look", null, "b");
        batches.settle();
        batches.around.now = was;
        batches.pass(500);
        assertEquals(BROKEN_OFF, batches.heard(name));
        batches.ended(back, Outcome.OK, "done");
        batches.settle();
        assertEquals(1, batches.heard(back).size());
    }
}
