package merlinlever.backend;

import static merlinlever.backend.BatchedBackendFixture.UNANSWERED;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import merlinlever.controller.Outcome;
import org.junit.jupiter.api.Test;

/** Commands to the agent together with the loss of the link to it. */
class InDoubtCommandsTest {

    private static void loseLink(BackendFixture fixture) {
        fixture.backend.agentLinkLost(fixture.now);
    }

    private static void restoreLink(BackendFixture fixture) {
        fixture.backend.agentLinkRestored(fixture.now);
    }

    private static void catchUp(BackendFixture fixture) {
        fixture.backend.agentEventsCaughtUp(fixture.now);
        fixture.decide();
    }

    private static String receiveAndReply(BackendFixture fixture) {
        String id = fixture.receive("look", null, "a");
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        return id;
    }

    /** Commands that were sent again and lost again: the second loss counts from their second sending. */
    @Test
    void resentCommandsAreInDoubtAgainWithTheNextLink() {
        BackendFixture fixture = new BackendFixture();
        String replied = receiveAndReply(fixture);
        String launched = fixture.receive("look", null, "b");
        loseLink(fixture);
        fixture.advance(100);
        restoreLink(fixture);
        fixture.advance(100);
        catchUp(fixture);
        assertEquals(2, fixture.count("deliver " + replied));
        assertEquals(2, fixture.count("launch " + launched));
        fixture.advance(40);
        loseLink(fixture);
        restoreLink(fixture);
        catchUp(fixture);
        assertEquals(3, fixture.count("deliver " + replied));
        assertEquals(3, fixture.count("launch " + launched));
        // By now they have surely arrived.
        fixture.advance(60);
        loseLink(fixture);
        restoreLink(fixture);
        catchUp(fixture);
        assertEquals(3, fixture.count("deliver " + replied));
        assertEquals(3, fixture.count("launch " + launched));
    }

    /** A launch that arrived long ago is not sent again: its outcome may be under way, and it would run twice. */
    @Test
    void launchThatSurelyArrivedIsNotResent() {
        BackendFixture fixture = new BackendFixture();
        String arrived = fixture.receive("buy", "t", "a");
        fixture.advance(60);
        String inDoubt = fixture.receive("buy", "u", "b");
        fixture.advance(50);
        loseLink(fixture);
        String withoutLink = fixture.receive("buy", "v", "c");
        restoreLink(fixture);
        String onNewLink = fixture.receive("buy", "w", "d");
        catchUp(fixture);
        assertEquals(
                List.of(1L, 2L, 2L, 1L),
                List.of(
                        fixture.count("launch " + arrived),
                        fixture.count("launch " + inDoubt),
                        fixture.count("launch " + withoutLink),
                        fixture.count("launch " + onNewLink)));
    }

    /** The clock need not move between two events of one batch: their order counts, not the time. */
    @Test
    void orderOfReplyAndLinkCountsAtOneInstant() {
        BackendFixture fixture = new BackendFixture();
        String before = fixture.receive("look", null, "a");
        String after = fixture.receive("look", null, "b");
        fixture.requestCall(before);
        fixture.requestCall(after);
        loseLink(fixture);
        fixture.endCall(before, Outcome.OK);
        restoreLink(fixture);
        fixture.endCall(after, Outcome.OK);
        catchUp(fixture);
        assertEquals(2, fixture.count("deliver " + before));
        assertEquals(1, fixture.count("deliver " + after));
    }

    /**
     * A link that is lost before all events are read leaves in doubt what the first one left, and what was sent since.
     */
    @Test
    void secondBreakBeforeCatchingUpAddsToTheDoubt() {
        BackendFixture fixture = new BackendFixture();
        String first = receiveAndReply(fixture);
        loseLink(fixture);
        fixture.advance(200);
        restoreLink(fixture);
        String second = receiveAndReply(fixture);
        fixture.advance(10);
        loseLink(fixture);
        fixture.advance(200);
        restoreLink(fixture);
        catchUp(fixture);
        assertEquals(2, fixture.count("deliver " + first));
        assertEquals(2, fixture.count("deliver " + second));
    }

    /** A run that continued while the link was away has its reply; at its next call that reply is not sent again. */
    @Test
    void consumedReplyIsNotSentToTheNextCall() {
        BackendFixture fixture = new BackendFixture();
        String id = receiveAndReply(fixture);
        loseLink(fixture);
        restoreLink(fixture);
        fixture.requestCall(id);
        catchUp(fixture);
        assertEquals(1, fixture.count("deliver " + id));
        assertEquals(1, fixture.count("launch " + id));
        loseLink(fixture);
        restoreLink(fixture);
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        catchUp(fixture);
        assertEquals(2, fixture.count("deliver " + id));
    }

    /** An outcome that crosses the command to stop: whichever it is, the run is over and the request is released. */
    @Test
    void anyOutcomeThatCrossesAStopEndsTheRequest() {
        for (Outcome outcome : List.of(Outcome.OK, Outcome.ERROR, Outcome.STOPPED, Outcome.NOT_STARTED)) {
            BackendFixture fixture = new BackendFixture(settings ->
                    settings.changePriorityClass(BackendFixture.LOOK, look -> look.idempotencyWindow(Duration.ZERO)));
            String id = fixture.receive("look", null, "a");
            fixture.disconnectCaller(id);
            fixture.decide();
            assertEquals(1, fixture.count("stop " + id));
            fixture.endRun(id, outcome, "late");
            fixture.endRun(id, Outcome.STOPPED, "");
            assertEquals(UNANSWERED, fixture.responsesById.get(id));
            assertEquals(0, fixture.backend.metrics().orElseThrow().requests().onCores(), "" + outcome);
            assertEquals(List.of("launch " + id, "stop " + id), fixture.commands);
            // Its id is tracked for as long as a duplicate may still be read.
            fixture.advance(31_000);
            assertEquals(0, fixture.backend.trackedRequests(), "" + outcome);
        }
    }

    /** A stop that was lost with the link is sent again, unless the outcome has been read meanwhile. */
    @Test
    void stopIsResentUnlessTheRunHasEnded() {
        BackendFixture fixture = new BackendFixture();
        String running = fixture.receive("look", null, "a");
        String ended = fixture.receive("look", null, "b");
        for (String id : List.of(running, ended)) {
            fixture.disconnectCaller(id);
        }
        fixture.decide();
        loseLink(fixture);
        restoreLink(fixture);
        fixture.endRun(ended, Outcome.STOPPED, "");
        catchUp(fixture);
        assertEquals(2, fixture.count("stop " + running));
        assertEquals(1, fixture.count("stop " + ended));
    }

    /** The same request for a call in two events: one call is made, and one reply goes to the run. */
    @Test
    void repeatedCallRequestMakesOneCall() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receive("look", null, "a");
        fixture.requestCall(id);
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        fixture.endCall(id, Outcome.OK);
        assertEquals(List.of("launch " + id, "call " + id, "deliver " + id), fixture.commands);
    }

    /**
     * Commands that were sent on a link that broke are sent again, and only those; a consumed reply is not sent twice.
     */
    @Test
    void onlyCommandsInDoubtAreResentAfterALostLink() {
        BackendFixture fixture = new BackendFixture();
        String old = fixture.receive("look", null, "a");
        fixture.requestCall(old);
        fixture.endCall(old, Outcome.OK);
        fixture.advance(100);
        Duration lastConfirmed = fixture.now;
        String ended = fixture.receive("look", null, "b");
        String inDoubt = fixture.receive("look", null, "c");
        fixture.requestCall(inDoubt);
        String calling = fixture.receive("look", null, "d");
        fixture.requestCall(calling);
        fixture.backend.agentLinkLost(lastConfirmed);
        fixture.endCall(inDoubt, Outcome.OK);
        String withoutLink = fixture.receive("buy", "t", "e");
        fixture.advance(50);
        fixture.backend.agentLinkRestored(fixture.now);
        fixture.endRun(ended, Outcome.OK, "done");
        fixture.commands.clear();
        fixture.endCall(calling, Outcome.OK);
        fixture.backend.agentEventsCaughtUp(fixture.now);
        assertEquals(List.of("deliver " + calling, "deliver " + inDoubt, "launch " + withoutLink), fixture.commands);
        fixture.commands.clear();
        fixture.backend.agentEventsCaughtUp(fixture.now);
        assertEquals(List.of(), fixture.commands);
    }

    /** A command that left up to 50 ms before the break may be lost, even if the link was known to work until then. */
    @Test
    void replySentShortlyBeforeTheBreakIsResent() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receive("look", null, "a");
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        fixture.advance(45);
        fixture.backend.agentLinkLost(fixture.now);
        fixture.backend.agentLinkRestored(fixture.now.plusMillis(1));
        fixture.backend.agentEventsCaughtUp(fixture.now);
        assertEquals(2, fixture.count("deliver " + id));
    }

    /** The outcome can no longer be known: the request fails, and its idempotency key does not run again. */
    @Test
    void runsWhoseEventsWereLostFailAndAreNotRestarted() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receive("buy", "t", "a");
        fixture.backend.agentEventsLost(fixture.now);
        fixture.decide();
        assertEquals("failed", fixture.response(id));
        assertEquals("failed", fixture.response(fixture.receive("buy", "t", "a")));
        assertEquals(1, fixture.commands.size());
    }
}
