package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.time.Duration;
import java.util.List;
import merlinlever.Outcome;
import net.jqwik.api.Example;

/** Where the tries of one request cross with each other, with the end of their window and with what is let go of. */
class DuplicateRequestRaceTest {

    /** Guards the edge of the window: it counts from one arrival to the other, and its last moment belongs to it. */
    @Example
    void aTryAtTheLastMomentOfTheWindowSharesAndOneAfterItRuns() {
        for (int ms : new int[] {4999, 5000, 5001}) {
            BatchedBackendFixture batches = new BatchedBackendFixture();
            batches.ran();
            batches.pass(ms);
            String again = batches.read("buy", "t", "a");
            batches.settle();
            assertEquals(ms <= 5000 ? List.of() : List.of(again), batches.launched(again), ms + " ms");
            assertEquals(ms <= 5000 ? BatchedBackendFixture.DONE : List.of(), batches.heard(again), ms + " ms");
        }
    }

    /** Guards that the window is judged by when a try came and not by when it was read. */
    @Example
    void aTryOfTheWindowThatIsReadAfterItShares() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        batches.ran();
        batches.pass(5090);
        String again = batches.read("buy", "t", null, "a", batches.now().minusMillis(91));
        String later = batches.read("buy", "t", null, "a", batches.now().minusMillis(89));
        batches.settle();
        assertEquals(BatchedBackendFixture.DONE, batches.heard(again));
        assertEquals(List.of(later), batches.launched(again, later));
    }

    /**
     * Guards against a second run: a try that came after the window and ended unrun must not take the one that ran with
     * it, as another try of that one's window may still be unread.
     */
    @Example
    void aTryOfTheWindowIsNotRunAfterALaterTryEndedUnrun() {
        for (boolean pushedBack : new boolean[] {false, true}) {
            BatchedBackendFixture batches = new BatchedBackendFixture().busy();
            batches.free();
            String first = batches.ran();
            batches.pass(5001);
            batches.busy();
            String later = batches.read("buy", "t", "a");
            batches.settle();
            assertEquals(List.of(), batches.launched(later));
            if (pushedBack) {
                batches.pass(510);
                assertEquals(List.of("pushed back"), batches.heard(later));
            } else {
                batches.gone(later);
                batches.settle();
            }
            String again = batches.read("buy", "t", null, "a", batches.now().minusMillis(pushedBack ? 512 : 2));
            batches.settle();
            batches.free();
            assertEquals(List.of(first), batches.launched(first, later, again));
            assertEquals(BatchedBackendFixture.DONE, batches.heard(again));
        }
    }

    /** The same where the later try is still held: whoever came in the window is not its heir. */
    @Example
    void aTryOfTheWindowDoesNotWaitBehindALaterOneWhosePlaceItCouldTake() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String first = batches.ran();
        batches.pass(5001);
        batches.busy();
        String later = batches.read("buy", "t", "a");
        batches.settle();
        String again = batches.read("buy", "t", null, "a", batches.now().minusMillis(2));
        batches.gone(later);
        batches.settle();
        batches.free();
        assertEquals(List.of(first), batches.launched(first, later, again));
        assertEquals(BatchedBackendFixture.DONE, batches.heard(again));
    }

    /** Guards against a second run: a time ahead of ours is no way out of the window. */
    @Example
    void aTryThatIsDatedAheadIsReadNow() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        batches.ran();
        batches.pass(3000);
        String again = batches.read("buy", "t", null, "a", batches.now().plusMillis(4500));
        batches.settle();
        assertEquals(List.of(), batches.launched(again));
        assertEquals(BatchedBackendFixture.DONE, batches.heard(again));
    }

    /** Guards the others: a date of years ago is no news of how long requests wait unread, and turns nobody away. */
    @Example
    void aTimeLongPastTurnsNobodyElseAway() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String old = batches.read("look", null, null, "x", Duration.ofDays(-18_000));
        batches.settle();
        assertEquals(List.of("broken off"), batches.heard(old));
        for (int i = 0; i < 12; i++) {
            String name = batches.read("look", null, "a" + i);
            batches.settle();
            assertEquals(List.of(name), batches.launched(name), "number " + i);
            batches.ended(name, Outcome.OK, "done");
        }
    }

    /**
     * Guards against two runs of three tries that were read in one batch: the first is turned away at once, the second
     * takes its place, and the third names the first still.
     */
    @Example
    void ofThreeTriesInOneBatchOneRuns() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        // Next to one that was read at once, one that is read so late is turned away as it is read.
        batches.read("look", null, "x");
        batches.settle();
        String first = batches.read("buy", "t", null, "a", batches.now().minusMillis(600));
        String second = batches.read("buy", "t", "a");
        String third = batches.read("buy", "t", "a");
        batches.settle();
        assertEquals(List.of("pushed back"), batches.heard(first));
        assertEquals(List.of(second), batches.launched(first, second, third));
        batches.ended(second, Outcome.OK, "done");
        batches.settle();
        assertEquals(BatchedBackendFixture.DONE, batches.heard(second));
        assertEquals(BatchedBackendFixture.DONE, batches.heard(third));
    }

    /** Two tries in one batch: the second waits for the first. */
    @Example
    void ofTwoTriesInOneBatchOneRuns() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String first = batches.read("buy", "t", "a");
        String second = batches.read("buy", "t", "a");
        batches.settle();
        assertEquals(List.of(first), batches.launched(first, second));
        batches.ended(first, Outcome.OK, "done");
        batches.settle();
        assertEquals(BatchedBackendFixture.DONE, batches.heard(second));
    }

    /**
     * Guards against two runs: the caller of the first goes, a try that waited for it takes its place, and the next try
     * is read in the same batch and names the first still.
     */
    @Example
    void anHeirAndATryOfTheSameBatchDoNotBothRun() {
        BatchedBackendFixture batches = new BatchedBackendFixture().busy();
        String first = batches.read("buy", "t", "a");
        String heir = batches.read("buy", "t", "a");
        batches.settle();
        batches.gone(first);
        String next = batches.read("buy", "t", "a");
        batches.settle();
        batches.free();
        assertEquals(List.of(heir), batches.launched(first, heir, next));
        batches.ended(heir, Outcome.OK, "done");
        batches.settle();
        assertEquals(List.of(), batches.heard(first));
        assertEquals(BatchedBackendFixture.DONE, batches.heard(heir));
        assertEquals(BatchedBackendFixture.DONE, batches.heard(next));
    }

    /** The first is pushed back, its heir's caller goes in the same batch; the next in line runs, and no trace is left. */
    @Example
    void anHeirWhoseCallerGoesInTheSameBatchPassesItsPlaceOn() {
        BatchedBackendFixture batches = new BatchedBackendFixture().busy();
        String first = batches.read("buy", "t", "a");
        String heir = batches.read("buy", "t", "a");
        String next = batches.read("buy", "t", "a");
        batches.settle();
        batches.gone(first);
        batches.gone(heir);
        batches.settle();
        batches.free();
        assertEquals(List.of(next), batches.launched(first, heir, next));
        batches.gone(next);
        assertEquals(5, batches.backend.known(), "four that run and the one that ran on");
        assertNull(batches.work(heir).body);
    }

    /** Guards against two runs at once: a window that is over before the run leaves the run known until it has ended. */
    @Example
    void aTryAfterAWindowThatIsShorterThanTheRunShares() {
        for (String window : new String[] {"50", "0"}) {
            BatchedBackendFixture batches =
                    new BatchedBackendFixture(BatchedBackendFixture.with("tariffs.1.window", window));
            String first = batches.read("buy", "t", "a");
            batches.settle();
            batches.pass(300);
            String during = batches.read("buy", "t", "a");
            batches.settle();
            batches.ended(first, Outcome.OK, "done");
            batches.settle();
            batches.pass(20);
            String unread = batches.read("buy", "t", null, "a", batches.now().minusMillis(25));
            batches.settle();
            assertEquals(BatchedBackendFixture.DONE, batches.heard(during));
            assertEquals(BatchedBackendFixture.DONE, batches.heard(unread));
            String after = batches.read("buy", "t", "a");
            batches.settle();
            assertEquals(List.of(first, after), batches.launched(first, during, unread, after));
        }
    }

    /** The same id on two connections: the second is answered at once, the first goes on and is answered by its run. */
    @Example
    void theSameIdOnTwoConnectionsLeavesTheFirstAlone() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String first = batches.read("buy", "t", "a");
        batches.settle();
        assertNull(batches.readAs(Long.parseLong(first, 16), "second", "buy", "t", null, "a", batches.now()));
        assertEquals(List.of("broken off"), batches.heard("second"));
        assertEquals(1, batches.backend.inHand());
        batches.ended(first, Outcome.OK, "done");
        batches.settle();
        assertEquals(BatchedBackendFixture.DONE, batches.heard(first));
        assertEquals(List.of("launch"), batches.asked(first));
    }

    /** The caller goes, and its id comes on a new connection: failed in the same batch, as ids are new with every try; then read. */
    @Example
    void anIdThatComesAgainAsItsCallerGoesIsAnsweredOnceEach() {
        BatchedBackendFixture batches = new BatchedBackendFixture().busy();
        String first = batches.read("look", null, "a");
        batches.settle();
        batches.gone(first);
        assertNull(batches.readAs(Long.parseLong(first, 16), "same batch", "look", null, null, "a", batches.now()));
        batches.settle();
        assertEquals(List.of("broken off"), batches.heard("same batch"));
        batches.readAs(Long.parseLong(first, 16), "next batch", "look", null, null, "a", batches.now());
        batches.settle();
        batches.free();
        assertEquals(List.of("next batch"), batches.launched(first, "same batch", "next batch"));
        assertEquals(List.of(), batches.heard(first));
    }

    /** The id of one that was let go of, used again while the agent knows it still: the agent's word is taken for it. */
    @Example
    void anIdThatIsUsedAgainIsAnsweredByWhatTheAgentSaysOfIt() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String first = batches.ran();
        batches.pass(36_000);
        assertEquals(0, batches.backend.known());
        batches.readAs(Long.parseLong(first, 16), first, "look", null, null, "b", batches.now());
        batches.settle();
        batches.ended(first, Outcome.NOT_STARTED, "");
        batches.settle();
        assertEquals(List.of("broken off"), batches.heard(first));
        batches.ended(first, Outcome.OK, "late");
        batches.settle();
        assertEquals(0, batches.backend.inHand());
    }

    /** A subject that comes with a write stands for nothing that could be shared: each is run and answered by itself. */
    @Example
    void writesWithOneSubjectAreNotServedWithEachOthersResult() {
        BatchedBackendFixture batches = new BatchedBackendFixture(
                BatchedBackendFixture.with("server.fresh-for", "1000", "tariffs.1.kind", "binding"));
        String one = batches.read("buy", null, "s", "a", batches.now());
        String two = batches.read("buy", null, "s", "b", batches.now());
        batches.settle();
        assertEquals(List.of(one, two), batches.launched(one, two));
        batches.ended(one, Outcome.OK, "of a");
        batches.ended(two, Outcome.OK, "of b");
        batches.settle();
        assertEquals(List.of("satisfied of a"), batches.heard(one));
        assertEquals(List.of("satisfied of b"), batches.heard(two));
    }

    /** A class whose effect is not the usual one: without tokens each try is one of its own, also where a call may be made. */
    @Example
    void triesOfAClassWithNoTokensAreRunEachOnceAndTheirCallsMadeOnce() {
        BatchedBackendFixture batches =
                new BatchedBackendFixture(BatchedBackendFixture.with("tariffs.1.kind", "binding"));
        String one = batches.read("buy", null, "a");
        String two = batches.read("buy", null, "a");
        batches.settle();
        batches.needsCall(one);
        batches.settle();
        batches.replied(one, Outcome.CONNECTION_LOST);
        batches.settle();
        assertEquals(
                List.of("launch", "call"), batches.asked(one), "a call that may have had its effect is not made again");
        assertEquals(List.of("broken off"), batches.heard(one));
        assertEquals(List.of("launch"), batches.asked(two));
    }
}
