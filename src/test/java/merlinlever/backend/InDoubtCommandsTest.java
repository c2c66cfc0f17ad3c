package merlinlever.backend;

import static merlinlever.backend.BatchedBackendFixture.UNANSWERED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import merlinlever.controller.Outcome;
import merlinlever.controller.settings.BackpressureSignal;
import merlinlever.controller.settings.DeploymentProfile;
import merlinlever.controller.settings.DownstreamKind;
import merlinlever.controller.settings.RunStopping;
import org.junit.jupiter.api.Test;

/** Resending of commands to the agent after the link to the agent was lost. */
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

    private static void replaceLink(BackendFixture fixture) {
        loseLink(fixture);
        restoreLink(fixture);
        catchUp(fixture);
    }

    private static List<String> commandsOf(BackendFixture fixture, String id) {
        return fixture.commands.stream()
                .filter(command -> command.endsWith(" " + id))
                .map(command -> command.substring(0, command.indexOf(' ')))
                .toList();
    }

    /** Guards against a reply to the wrong call: the run asked for its next call just before the resent reply arrived. */
    @Test
    void replyInDoubtIsNotResentToARunThatReachesItsNextCall() {
        BackendFixture fixture = new BackendFixture();
        String id = receiveAndReply(fixture);
        replaceLink(fixture);
        // The old run asks for its next call after its answer to the catch-up poll, before the stop arrives.
        fixture.requestCall(id);
        assertEquals(List.of("launch", "call", "deliver", "stop", "launch"), commandsOf(fixture, id));
        fixture.endRun(id, Outcome.STOPPED, "");
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        fixture.endRun(id, Outcome.OK, "done");
        assertEquals(
                List.of("launch", "call", "deliver", "stop", "launch", "call", "deliver"), commandsOf(fixture, id));
        assertEquals("succeeded done", fixture.response(id));
    }

    /** The run may also end before the stop arrives; the outcome counts, and events of the second run do not. */
    @Test
    void runThatEndsBeforeItIsRestartedIsAnsweredOnce() {
        BackendFixture fixture = new BackendFixture();
        String id = receiveAndReply(fixture);
        replaceLink(fixture);
        fixture.endRun(id, Outcome.OK, "first");
        fixture.requestCall(id);
        fixture.endRun(id, Outcome.OK, "second");
        assertEquals("succeeded first", fixture.response(id));
        assertEquals(List.of("launch", "call", "deliver", "stop", "launch"), commandsOf(fixture, id));
    }

    /** A reply in doubt is left alone if the request must not run twice, or if a stopped run is not discarded. */
    @Test
    void replyInDoubtOfARunThatCannotBeRestartedIsLeftAlone() {
        for (RunStopping stopping : RunStopping.values()) {
            BackendFixture fixture = new BackendFixture(settings -> settings.deployment(
                    new DeploymentProfile(DownstreamKind.NONE, stopping, false, BackpressureSignal.NONE)));
            String id = fixture.receive(stopping == RunStopping.DROP ? "buy" : "look", "t", "a");
            fixture.requestCall(id);
            fixture.endCall(id, Outcome.OK);
            replaceLink(fixture);
            fixture.requestCall(id);
            fixture.endCall(id, Outcome.OK);
            fixture.endRun(id, Outcome.OK, "done");
            assertEquals(List.of("launch", "call", "deliver", "call", "deliver"), commandsOf(fixture, id));
            assertEquals("succeeded done", fixture.response(id));
        }
    }

    /** A keyed run whose reply was lost is stopped and fails; it is not run again. */
    @Test
    void keyedRunWhoseReplyWasLostFails() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receive("buy", "t", "a");
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        replaceLink(fixture);
        fixture.advance(1_020);
        assertEquals("failed", fixture.response(id));
        assertEquals(List.of("launch", "call", "deliver", "stop"), commandsOf(fixture, id));
        fixture.endRun(id, Outcome.STOPPED, "");
        assertEquals(0, fixture.backend.metrics().orElseThrow().requests().onCores());
    }

    /** While the cores stand still a stop has no effect: the run asks for its next call, which nobody answers. */
    @Test
    void runThatIsNotStoppedEndsWithItsDeadlineAndGetsNoReply() {
        BackendFixture fixture = new BackendFixture();
        String id = receiveAndReply(fixture);
        replaceLink(fixture);
        fixture.requestCall(id);
        fixture.advance(1_020);
        assertEquals("failed", fixture.response(id));
        assertEquals(List.of("launch", "call", "deliver", "stop", "launch", "stop"), commandsOf(fixture, id));
        fixture.endRun(id, Outcome.STOPPED, "");
        assertEquals(0, fixture.backend.metrics().orElseThrow().requests().onCores());
    }

    /** A caller that disconnects while its run is restarted ends the request, whichever run the stop reaches. */
    @Test
    void callerThatDisconnectsDuringARestartEndsTheRequest() {
        for (Outcome second : List.of(Outcome.STOPPED, Outcome.NOT_STARTED)) {
            BackendFixture fixture = new BackendFixture();
            String id = receiveAndReply(fixture);
            replaceLink(fixture);
            fixture.disconnectCaller(id);
            fixture.decide();
            fixture.endRun(id, Outcome.STOPPED, "");
            fixture.endRun(id, second, "");
            assertEquals(UNANSWERED, fixture.responsesById.get(id));
            assertEquals(0, fixture.backend.metrics().orElseThrow().requests().onCores());
        }
    }

    /** Commands that were resent are in doubt again if the next link breaks shortly after they were resent. */
    @Test
    void resentCommandsAreInDoubtAgainWithTheNextLink() {
        BackendFixture fixture = new BackendFixture();
        String restarted = receiveAndReply(fixture);
        String launched = fixture.receive("look", null, "b");
        loseLink(fixture);
        fixture.advance(100);
        restoreLink(fixture);
        fixture.advance(100);
        catchUp(fixture);
        assertEquals(List.of("launch", "call", "deliver", "stop", "launch"), commandsOf(fixture, restarted));
        assertEquals(2, fixture.count("launch " + launched));
        fixture.advance(40);
        // Whether the stop arrived is in doubt as well, so both commands are repeated.
        replaceLink(fixture);
        assertEquals(2, fixture.count("stop " + restarted));
        assertEquals(3, fixture.count("launch " + restarted));
        assertEquals(3, fixture.count("launch " + launched));
        fixture.endRun(restarted, Outcome.STOPPED, "");
        fixture.advance(40);
        // The end of the stopped run was read, so only the launch is in doubt.
        replaceLink(fixture);
        assertEquals(2, fixture.count("stop " + restarted));
        assertEquals(4, fixture.count("launch " + restarted));
        assertEquals(4, fixture.count("launch " + launched));
        // The commands were resent 60 ms ago and must have arrived.
        fixture.advance(60);
        replaceLink(fixture);
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
        loseLink(fixture);
        String withoutLink = fixture.receive("buy", "v", "c");
        restoreLink(fixture);
        String onNewLink = fixture.receive("buy", "w", "d");
        catchUp(fixture);
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
        loseLink(fixture);
        restoreLink(fixture);
        catchUp(fixture);
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
        loseLink(fixture);
        restoreLink(fixture);
        catchUp(fixture);
        String duplicate = fixture.receive("buy", "t", "a");
        fixture.advance(980);
        assertEquals(1, fixture.backend.metrics().orElseThrow().requests().onCores());
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
        loseLink(fixture);
        restoreLink(fixture);
        catchUp(fixture);
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
        loseLink(fixture);
        fixture.endCall(repliedBeforeLink, Outcome.OK);
        restoreLink(fixture);
        fixture.endCall(repliedAfterLink, Outcome.OK);
        assertEquals(0, fixture.count("deliver " + repliedBeforeLink));
        assertEquals(1, fixture.count("deliver " + repliedAfterLink));
        catchUp(fixture);
        assertEquals(1, fixture.count("deliver " + repliedBeforeLink));
        assertEquals(1, fixture.count("deliver " + repliedAfterLink));
    }

    /** A second loss before all events are read keeps the first link's commands in doubt and adds the second link's. */
    @Test
    void secondLinkLossBeforeCatchingUpAddsCommandsInDoubt() {
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
        for (String id : List.of(first, second)) {
            assertEquals(List.of("launch", "call", "deliver", "stop", "launch"), commandsOf(fixture, id));
        }
    }

    /** A run that reached its next call has received the previous reply, which is therefore not resent. */
    @Test
    void receivedReplyIsNotResentToTheNextCall() {
        BackendFixture fixture = new BackendFixture();
        String id = receiveAndReply(fixture);
        loseLink(fixture);
        restoreLink(fixture);
        fixture.requestCall(id);
        catchUp(fixture);
        assertEquals(List.of("launch", "call", "deliver", "call"), commandsOf(fixture, id));
        loseLink(fixture);
        restoreLink(fixture);
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        catchUp(fixture);
        assertEquals(List.of("launch", "call", "deliver", "call", "deliver"), commandsOf(fixture, id));
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
        loseLink(fixture);
        restoreLink(fixture);
        fixture.endRun(ended, Outcome.STOPPED, "");
        catchUp(fixture);
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

    /** A command sent up to 50 ms before the link broke may be lost, even if the link was confirmed until then. */
    @Test
    void runWhoseReplyWasSentShortlyBeforeTheBreakIsRestarted() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receive("look", null, "a");
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        fixture.advance(45);
        fixture.backend.agentLinkLost(fixture.now);
        fixture.backend.agentLinkRestored(fixture.now.plusMillis(1));
        fixture.backend.agentEventsCaughtUp(fixture.now);
        assertEquals(List.of("launch", "call", "deliver", "stop", "launch"), commandsOf(fixture, id));
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
