package merlinlever.backend;

import static merlinlever.backend.BatchedBackendFixture.UNANSWERED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import merlinlever.controller.Outcome;
import org.junit.jupiter.api.Test;

/** Launches, replies and stops that are sent, held back or resent after the link to the agent was lost. */
class InDoubtCommandsTest {

    /** Commands that were resent are in doubt again if the next link breaks shortly after they were resent. */
    @Test
    void resentCommandsAreInDoubtAgainWithTheNextLink() {
        BackendFixture fixture = new BackendFixture();
        String restarted = fixture.receiveAndReply();
        String launched = fixture.receive("look", null, "b");
        fixture.loseLink();
        fixture.advance(100);
        fixture.restoreLink();
        fixture.advance(100);
        fixture.catchUp();
        assertEquals(List.of("launch", "call", "deliver", "stop", "launch"), fixture.commandsOf(restarted));
        assertEquals(2, fixture.count("launch " + launched));
        fixture.advance(40);
        // Whether the stop arrived is in doubt as well, so both commands are repeated.
        fixture.replaceLink();
        assertEquals(2, fixture.count("stop " + restarted));
        assertEquals(3, fixture.count("launch " + restarted));
        assertEquals(3, fixture.count("launch " + launched));
        fixture.endRun(restarted, Outcome.STOPPED, "");
        fixture.advance(40);
        // The end of the stopped run was read, so only the launch is in doubt.
        fixture.replaceLink();
        assertEquals(2, fixture.count("stop " + restarted));
        assertEquals(4, fixture.count("launch " + restarted));
        assertEquals(4, fixture.count("launch " + launched));
        // The commands were resent 60 ms ago and must have arrived.
        fixture.advance(60);
        fixture.replaceLink();
        assertEquals(2, fixture.count("stop " + restarted));
        assertEquals(4, fixture.count("launch " + restarted));
        assertEquals(4, fixture.count("launch " + launched));
    }

    /** A launch that must have arrived is not resent, and a launch issued without a link is sent once. */
    @Test
    void onlyLaunchesInDoubtThatMayRunAgainAreResent() {
        BackendFixture fixture = new BackendFixture();
        String arrived = fixture.receive("look", null, "a");
        fixture.advance(60);
        String inDoubt = fixture.receive("look", null, "b");
        String keyedInDoubt = fixture.receive("buy", "u", "b");
        fixture.advance(50);
        fixture.loseLink();
        String withoutLink = fixture.receive("buy", "v", "c");
        fixture.restoreLink();
        String onNewLink = fixture.receive("buy", "w", "d");
        fixture.catchUp();
        assertEquals(
                List.of(1L, 2L, 1L, 1L, 1L),
                List.of(
                        fixture.count("launch " + arrived),
                        fixture.count("launch " + inDoubt),
                        fixture.count("launch " + keyedInDoubt),
                        fixture.count("launch " + withoutLink),
                        fixture.count("launch " + onNewLink)));
    }

    /** Guards against a second run of a keyed request: its run ended just before the resent launch arrived. */
    @Test
    void keyedRunThatEndsAfterCatchingUpIsNotLaunchedAgain() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receive("buy", "t", "a");
        fixture.replaceLink();
        // The agent reports the end after its answer to the catch-up poll, when a resent launch is on its way.
        fixture.endRun(id, Outcome.OK, "done");
        assertEquals(List.of("launch " + id), fixture.commands);
        assertEquals("succeeded done", fixture.response(id));
    }

    /** A keyed run whose launch was lost is given up, frees its core, does not run again and is no stall. */
    @Test
    void keyedRunWithoutAnEventIsAbandonedAfterTheStallTimeout() {
        BackendFixture fixture = new BackendFixture(settings ->
                settings.changePriorityClass(BackendFixture.BUY, buy -> buy.clientTimeout(Duration.ofSeconds(5))));
        RequestMetadata.Timing timing =
                new RequestMetadata.Timing(fixture.now, Optional.of(fixture.now.plusSeconds(4)));
        RequestMetadata lost = fixture.metadata(TestRequests.idOf(++fixture.lastId), "buy", timing, "t", null);
        fixture.receive(lost, "a");
        fixture.decide();
        fixture.replaceLink();
        String duplicate = fixture.receive("buy", "t", "a");
        // A run that may never have started must not lower the estimate of the capacity.
        assertEquals(0, fixture.backend.metrics().orElseThrow().requests().onCores());
        fixture.advance(980);
        assertEquals(UNANSWERED, fixture.responsesById.get(lost.id().text()));
        fixture.advance(100);
        String id = lost.id().text();
        assertEquals("failed", fixture.response(id));
        assertEquals("failed", fixture.response(duplicate));
        assertEquals("failed", fixture.response(fixture.receive("buy", "t", "a")));
        assertEquals(List.of("launch " + id, "stop " + id), fixture.commands);
        assertEquals(0, fixture.backend.metrics().orElseThrow().requests().onCores());
        assertTrue(fixture.backend.isHealthy(), "the lost run counted as a stall");
        fixture.endRun(id, Outcome.OK, "late");
        fixture.advance(42_000);
        assertEquals(0, fixture.backend.trackedRequests());
    }

    /** An event of a keyed run proves that its launch arrived: the run is not given up. */
    @Test
    void keyedRunThatReachesItsCallIsNotAbandoned() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receive("buy", "t", "a");
        fixture.replaceLink();
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        fixture.advance(990);
        assertEquals(UNANSWERED, fixture.responsesById.get(id));
        fixture.endRun(id, Outcome.OK, "done");
        assertEquals("succeeded done", fixture.response(id));
    }

    /** Events with the same time are handled in their order: a reply is held back only without a link. */
    @Test
    void replyWithoutALinkIsSentOnceAfterCatchingUpAndReplyOnTheNewLinkAtOnce() {
        BackendFixture fixture = new BackendFixture();
        String repliedBeforeLink = fixture.receive("look", null, "a");
        String repliedAfterLink = fixture.receive("look", null, "b");
        fixture.requestCall(repliedBeforeLink);
        fixture.requestCall(repliedAfterLink);
        fixture.loseLink();
        fixture.endCall(repliedBeforeLink, Outcome.OK);
        fixture.restoreLink();
        fixture.endCall(repliedAfterLink, Outcome.OK);
        assertEquals(0, fixture.count("deliver " + repliedBeforeLink));
        assertEquals(1, fixture.count("deliver " + repliedAfterLink));
        fixture.catchUp();
        assertEquals(1, fixture.count("deliver " + repliedBeforeLink));
        assertEquals(1, fixture.count("deliver " + repliedAfterLink));
    }

    /** A second loss before all events are read keeps the first link's commands in doubt and adds the second link's. */
    @Test
    void secondLinkLossBeforeCatchingUpAddsCommandsInDoubt() {
        BackendFixture fixture = new BackendFixture();
        String first = fixture.receiveAndReply();
        fixture.loseLink();
        fixture.advance(200);
        fixture.restoreLink();
        String second = fixture.receiveAndReply();
        fixture.advance(10);
        fixture.loseLink();
        fixture.advance(200);
        fixture.restoreLink();
        fixture.catchUp();
        for (String id : List.of(first, second)) {
            assertEquals(List.of("launch", "call", "deliver", "stop", "launch"), fixture.commandsOf(id));
        }
    }

    /** Any outcome that the agent sends before receiving a stop command ends the run, and the request is released. */
    @Test
    void anyOutcomeAfterAStopCommandEndsTheRequest() {
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
            // The request is tracked as long as a duplicate may still be read.
            fixture.advance(31_000);
            assertEquals(0, fixture.backend.trackedRequests(), "" + outcome);
        }
    }

    /** A stop command that may be lost is resent unless the run's outcome has been read. */
    @Test
    void stopIsResentUnlessTheRunHasEnded() {
        BackendFixture fixture = new BackendFixture();
        String running = fixture.receive("look", null, "a");
        String ended = fixture.receive("look", null, "b");
        for (String id : List.of(running, ended)) {
            fixture.disconnectCaller(id);
        }
        fixture.decide();
        fixture.loseLink();
        fixture.restoreLink();
        fixture.endRun(ended, Outcome.STOPPED, "");
        fixture.catchUp();
        assertEquals(2, fixture.count("stop " + running));
        assertEquals(1, fixture.count("stop " + ended));
    }

    /** Two events with the same request for a call result in one call and one reply. */
    @Test
    void repeatedCallEventMakesOneCall() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receive("look", null, "a");
        fixture.requestCall(id);
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        fixture.endCall(id, Outcome.OK);
        assertEquals(List.of("launch " + id, "call " + id, "deliver " + id), fixture.commands);
    }

    /** Only commands that may have been lost with the link are resent, and only once. */
    @Test
    void onlyCommandsInDoubtAreResentAfterALostLink() {
        BackendFixture fixture = new BackendFixture();
        String arrived = fixture.receive("look", null, "a");
        fixture.requestCall(arrived);
        fixture.endCall(arrived, Outcome.OK);
        fixture.advance(100);
        Duration lastConfirmed = fixture.now;
        String endedRun = fixture.receive("look", null, "b");
        String inDoubt = fixture.receive("look", null, "c");
        fixture.requestCall(inDoubt);
        String calling = fixture.receive("look", null, "d");
        fixture.requestCall(calling);
        fixture.backend.agentLinkLost(lastConfirmed);
        fixture.endCall(inDoubt, Outcome.OK);
        String withoutLink = fixture.receive("buy", "t", "e");
        fixture.advance(50);
        fixture.backend.agentLinkRestored(fixture.now);
        fixture.endRun(endedRun, Outcome.OK, "done");
        fixture.commands.clear();
        fixture.endCall(calling, Outcome.OK);
        fixture.backend.agentEventsCaughtUp(fixture.now);
        assertEquals(List.of("deliver " + calling, "deliver " + inDoubt, "launch " + withoutLink), fixture.commands);
        fixture.commands.clear();
        fixture.backend.agentEventsCaughtUp(fixture.now);
        assertEquals(List.of(), fixture.commands);
    }

    /** A run whose events are lost has an unknown outcome: the request fails and its key does not run again. */
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
