package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import merlinlever.Outcome;
import net.jqwik.api.Example;

/** Where the notice to leave crosses what is read, held, repeated and timed. */
class DrainRaceTest {

    private static final List<String> DONE = List.of("satisfied done");

    /** Two notices to leave: the grace counts from the first, and what comes after it is not run. */
    @Example
    void aSecondNoticeToLeaveDoesNotLengthenTheGrace() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        Duration stop = batches.now().plusMillis(3000);
        batches.backend.leave(batches.now(), stop);
        batches.settle();
        batches.pass(400);
        batches.backend.leave(batches.now(), stop.plusMillis(400));
        batches.settle();
        batches.pass(101);
        String late = batches.read("look", null, "a");
        batches.settle();
        assertEquals(List.of(), batches.launched(late));
        assertEquals(List.of("pushed back"), batches.heard(late));
    }

    /** Came before the end of the grace and is started after it: it runs. Came at its end: refused, also as a try that waits. */
    @Example
    void theGraceCountsFromTheArrivalAndNotFromTheStart() {
        BatchedBackendFixture batches = new BatchedBackendFixture().busy();
        batches.wait = Duration.ofSeconds(2);
        batches.backend.leave(batches.now(), batches.now().plusMillis(3000));
        batches.settle();
        batches.pass(490);
        String before = batches.read("buy", "t", "a");
        batches.settle();
        batches.around.now = batches.now().plusMillis(9);
        String unread = batches.read("look", null, "b");
        batches.around.now = batches.now().plusMillis(1);
        String after = batches.read("buy", "u", "a");
        String repeat = batches.read("buy", "t", "a");
        batches.settle();
        batches.pass(50);
        batches.free();
        assertEquals(List.of(before, unread), batches.launched(before, unread, after, repeat));
        assertEquals(List.of("pushed back"), batches.heard(after));
        assertEquals(List.of("pushed back"), batches.heard(repeat));
    }

    /** A try that comes after the grace of one that ran shares its result, and one of a run in hand its outcome: nothing is run. */
    @Example
    void aTryAfterTheGraceSharesWhatRan() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        batches.wait = Duration.ofSeconds(2);
        String ran = batches.read("buy", "t", "a");
        String runs = batches.read("buy", "u", "a");
        batches.settle();
        batches.ended(ran, Outcome.OK, "done");
        batches.backend.leave(batches.now(), batches.now().plusMillis(3000));
        batches.settle();
        batches.pass(600);
        String after = batches.read("buy", "t", "a");
        String during = batches.read("buy", "u", "a");
        batches.settle();
        batches.ended(runs, Outcome.OK, "done");
        batches.settle();
        assertEquals(DONE, batches.heard(after));
        assertEquals(DONE, batches.heard(during));
        assertEquals(List.of(ran, runs), batches.launched(ran, runs, after, during));
    }

    /** The notice to leave before the agent is up, and its greeting after: nothing is begun, all is turned away, nothing is owed. */
    @Example
    void theAgentThatComesUpAfterTheNoticeToLeaveBeginsNothing() {
        BackendFixture around = new BackendFixture();
        Backend early = new Backend(BackendFixture.GIVEN, 5, around);
        early.leave(Duration.ZERO, Duration.ofSeconds(3));
        early.settle(Duration.ZERO);
        early.started(Duration.ofMillis(5), true);
        early.settle(Duration.ofMillis(5));
        assertFalse(early.started() || early.healthy());
        List<String> heard = new ArrayList<>();
        assertNull(early.arrived(Duration.ofMillis(6), null, new ResponseSink() {
            @Override
            public void satisfied(byte[] result) {
                heard.add("satisfied");
            }

            @Override
            public void pushedBack(boolean nowhereElse, Duration stayAway) {
                heard.add("pushed back");
            }

            @Override
            public void brokenOff() {
                heard.add("broken off");
            }
        }));
        assertEquals(List.of("pushed back"), heard);
        assertEquals(0, early.inHand());
    }

    /** An alarm after the notice to leave goes on being set and answered until the stop, and one after it harms nothing. */
    @Example
    void alarmsGoOnAfterTheNoticeToLeaveAndAfterTheStop() {
        BatchedBackendFixture batches = new BatchedBackendFixture();
        String name = batches.read("buy", "t", "a");
        batches.settle();
        batches.backend.leave(batches.now(), batches.now().plusMillis(200));
        batches.settle();
        assertTrue(batches.around.alarm != null);
        batches.pass(300);
        assertEquals(List.of("broken off"), batches.heard(name));
        batches.ended(name, Outcome.STOPPED, "");
        batches.settle();
        assertEquals(0, batches.backend.inHand());
    }
}
