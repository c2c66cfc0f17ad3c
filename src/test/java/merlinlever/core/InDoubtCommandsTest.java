package merlinlever.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import merlinlever.Outcome;
import net.jqwik.api.Example;

/** Commands that cross the break of a link to the agent. */
class InDoubtCommandsTest {

    private static void lost(BackendFixture around) {
        around.backend.linkLost(around.now);
    }

    private static void back(BackendFixture around) {
        around.backend.linkBack(around.now);
    }

    private static void caughtUp(BackendFixture around) {
        around.backend.caughtUp(around.now);
        around.settle();
    }

    private static String withReply(BackendFixture around) {
        String name = around.take("look", null, "a");
        around.calls(name);
        around.replied(name, Outcome.OK);
        return name;
    }

    /** Sent again and lost again: a second break must not take the reply for one of long ago, or its run waits for ever. */
    @Example
    void whatIsSentAgainIsInDoubtAgainWithTheNextLink() {
        BackendFixture around = new BackendFixture();
        String replied = withReply(around);
        String launched = around.take("look", null, "b");
        lost(around);
        around.after(100);
        back(around);
        around.after(100);
        caughtUp(around);
        assertEquals(2, around.times("deliver " + replied));
        assertEquals(2, around.times("launch " + launched));
        around.after(40);
        lost(around);
        back(around);
        caughtUp(around);
        assertEquals(3, around.times("deliver " + replied));
        assertEquals(3, around.times("launch " + launched));
        // By now it is sure that they arrived.
        around.after(60);
        lost(around);
        back(around);
        caughtUp(around);
        assertEquals(3, around.times("deliver " + replied));
        assertEquals(3, around.times("launch " + launched));
    }

    /** A launch that arrived long ago is not sent again: its outcome may be under way, and it would be run twice. */
    @Example
    void aLaunchThatIsSureToHaveArrivedIsNotSentAgain() {
        BackendFixture around = new BackendFixture();
        String sure = around.take("buy", "t", "a");
        around.after(60);
        String doubtful = around.take("buy", "u", "b");
        around.after(50);
        lost(around);
        String without = around.take("buy", "v", "c");
        back(around);
        String on = around.take("buy", "w", "d");
        caughtUp(around);
        assertEquals(
                List.of(1L, 2L, 2L, 1L),
                List.of(
                        around.times("launch " + sure),
                        around.times("launch " + doubtful),
                        around.times("launch " + without),
                        around.times("launch " + on)));
    }

    /** The clock need not move between two events of one batch: which came first counts, and not what it shows. */
    @Example
    void atOneInstantTheOrderOfReplyAndLinkCounts() {
        BackendFixture around = new BackendFixture();
        String before = around.take("look", null, "a");
        String after = around.take("look", null, "b");
        around.calls(before);
        around.calls(after);
        lost(around);
        around.replied(before, Outcome.OK);
        back(around);
        around.replied(after, Outcome.OK);
        caughtUp(around);
        assertEquals(2, around.times("deliver " + before));
        assertEquals(1, around.times("deliver " + after));
    }

    /** A link that is lost before all is read leaves in doubt what the first one left, and what was sent since. */
    @Example
    void aBreakBeforeAllIsReadAddsToTheDoubt() {
        BackendFixture around = new BackendFixture();
        String first = withReply(around);
        lost(around);
        around.after(200);
        back(around);
        String second = withReply(around);
        around.after(10);
        lost(around);
        around.after(200);
        back(around);
        caughtUp(around);
        assertEquals(2, around.times("deliver " + first));
        assertEquals(2, around.times("deliver " + second));
    }

    /** A run that went on while the link was away shows that its reply arrived; at its next call it is not sent again. */
    @Example
    void aReplyThatWasTakenIsNotSentToTheNextCall() {
        BackendFixture around = new BackendFixture();
        String name = withReply(around);
        lost(around);
        back(around);
        around.calls(name);
        caughtUp(around);
        assertEquals(1, around.times("deliver " + name));
        assertEquals(1, around.times("launch " + name));
        lost(around);
        back(around);
        around.calls(name);
        around.replied(name, Outcome.OK);
        caughtUp(around);
        assertEquals(2, around.times("deliver " + name));
    }

    /** The outcome crosses the order to stop: whichever it is, the run is over and its operation is let go. */
    @Example
    void whateverOutcomeCrossesAFreezeEndsTheOperation() {
        for (Outcome how : List.of(Outcome.OK, Outcome.ERROR, Outcome.STOPPED, Outcome.NOT_STARTED)) {
            BackendFixture around = new BackendFixture(Map.of("tariffs.0.window", "0"));
            String name = around.take("look", null, "a");
            around.backend.callerGone(around.now, around.taken.get(name));
            around.settle();
            assertEquals(1, around.times("freeze " + name));
            around.ends(name, how, "late");
            around.ends(name, Outcome.STOPPED, "");
            assertEquals(List.of(), around.answers.get(name));
            assertEquals(0, around.backend.figures().requests().onCores(), "" + how);
            assertEquals(List.of("launch " + name, "freeze " + name), around.asked);
            // Its id is known for as long as a repeat may still be read.
            around.after(31_000);
            assertEquals(0, around.backend.known(), "" + how);
        }
    }

    /** A freeze whose link broke is sent again; an outcome that was read meanwhile leaves nothing to stop. */
    @Example
    void aFreezeIsSentAgainAndNotForWhatHasEnded() {
        BackendFixture around = new BackendFixture();
        String runs = around.take("look", null, "a");
        String ended = around.take("look", null, "b");
        for (String name : List.of(runs, ended)) {
            around.backend.callerGone(around.now, around.taken.get(name));
        }
        around.settle();
        lost(around);
        back(around);
        around.ends(ended, Outcome.STOPPED, "");
        caughtUp(around);
        assertEquals(2, around.times("freeze " + runs));
        assertEquals(1, around.times("freeze " + ended));
    }

    /** The same wish for a call under a new number: one call is in hand, and one reply goes to the run. */
    @Example
    void aWishForACallThatComesTwiceIsOneCall() {
        BackendFixture around = new BackendFixture();
        String name = around.take("look", null, "a");
        around.calls(name);
        around.calls(name);
        around.replied(name, Outcome.OK);
        around.replied(name, Outcome.OK);
        assertEquals(List.of("launch " + name, "call " + name, "deliver " + name), around.asked);
    }
}
