package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import merlinlever.Outcome;
import net.jqwik.api.Example;

/** Where what is kept of a run, its result first of all, is let go of as tries of it come, go or are read late. */
class IdempotencyCacheMemoryTest {

    /** Guards the memory: no result stays longer than it can be asked for, however long its run took. */
    @Example
    void theResultOfARunThatOutlastedItsWindowIsLetGo() {
        BatchedBackendFixture batches = new BatchedBackendFixture(
                BatchedBackendFixture.with("tariffs.1.window", "50", "tariffs.1.client-timeout", "9000"));
        String first = batches.read("buy", "t", "a");
        batches.settle();
        batches.pass(3000);
        batches.ended(first, Outcome.OK, "done");
        batches.settle();
        batches.pass(1900);
        assertTrue(batches.work(first).result != null);
        batches.pass(200);
        assertNull(batches.work(first).result);
        assertNull(batches.work(first).body);
    }

    /** Guards the memory: the result is let go of too where another run has taken its place by then. */
    @Example
    void theResultOfARunThatWasFollowedByAnotherIsLetGo() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String first = batches.ran();
        batches.pass(5001);
        batches.ran();
        batches.pass(2100);
        assertNull(batches.work(first).result);
        assertNull(batches.work(first).body);
    }

    /** Guards the memory in a flood of callers that go at once: the body goes with the one that never ran. */
    @Example
    void theBodyOfWhatNeverRanIsLetGoWithItsCaller() {
        BatchedBackendFixture batches = new BatchedBackendFixture().busy();
        String held = batches.read("buy", "t", "a");
        batches.settle();
        batches.gone(held);
        batches.settle();
        assertNull(batches.work(held).body);
        assertEquals(4, batches.backend.known());
    }

    /** Guards the memory: of those who ask again and again while it runs and go, the run keeps no list. */
    @Example
    void theTriesOfARunThatAreGoneAreNotKept() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String first = batches.read("buy", "t", "a");
        batches.settle();
        for (int i = 0; i < 50; i++) {
            String again = batches.read("buy", "t", "a");
            batches.settle();
            batches.gone(again);
            batches.settle();
        }
        assertTrue(
                batches.work(first).sharers.size() <= 1,
                batches.work(first).sharers.size() + " kept");
        assertEquals(1, batches.backend.known());
    }

    /**
     * A result that is let go as its last tries come in: one that came in the window but is read more than 2 s after its
     * end is broken off, never run.
     */
    @Example
    void aTryThatIsReadAfterItsResultWasLetGoIsBrokenOffAndNotRun() {
        for (int late : new int[] {1990, 2010, 20_000}) {
            BatchedBackendFixture batches = new BatchedBackendFixture();
            batches.wait = Duration.ofSeconds(25);
            batches.ran();
            batches.pass(5000 + late);
            String again = batches.read("buy", "t", null, "a", batches.now().minusMillis(late + 1));
            batches.settle();
            assertEquals(List.of(), batches.launched(again));
            assertEquals(
                    late < 2000 ? BatchedBackendFixture.DONE : List.of("broken off"),
                    batches.heard(again),
                    late + " ms late");
        }
    }

    /** The result goes in the very batch in which a try of its window is read: before the sweep it shares, after it not. */
    @Example
    void aTryReadInTheBatchThatLetsTheResultGoHasOneAnswerAndNoRun() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        batches.wait = Duration.ofSeconds(25);
        batches.ran();
        batches.pass(7000);
        batches.around.now = batches.now().plusMillis(2);
        String before = batches.read("buy", "t", null, "a", batches.now().minusMillis(2100));
        batches.settle();
        String after = batches.read("buy", "t", null, "a", batches.now().minusMillis(2100));
        batches.settle();
        assertEquals(BatchedBackendFixture.DONE, batches.heard(before));
        assertEquals(List.of("broken off"), batches.heard(after));
        assertEquals(List.of(), batches.launched(before, after));
    }

    /** Guards the memory: what a class with a long window leaves behind does not keep what another has left. */
    @Example
    void whatHasAShortWindowIsNotKeptBehindWhatHasALongOne() {
        BatchedBackendFixture batches = new BatchedBackendFixture(
                BatchedBackendFixture.with("tariffs.0.window", "1000", "tariffs.1.window", "600000"));
        batches.ran();
        for (int i = 0; i < 100; i++) {
            String read = batches.read("look", null, "a");
            batches.settle();
            batches.ended(read, Outcome.OK, "done");
        }
        batches.pass(31_100);
        assertEquals(1, batches.backend.known(), "the one with the long window");
    }
}
