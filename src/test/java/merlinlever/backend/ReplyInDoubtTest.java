package merlinlever.backend;

import static merlinlever.backend.BatchedBackendFixture.UNANSWERED;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import merlinlever.controller.Outcome;
import merlinlever.controller.settings.BackpressureSignal;
import merlinlever.controller.settings.DeploymentProfile;
import merlinlever.controller.settings.DownstreamKind;
import merlinlever.controller.settings.RunStopping;
import org.junit.jupiter.api.Test;

/** Runs whose reply to a call may have been lost with the link to the agent, and their restart. */
class ReplyInDoubtTest {

    /** Guards against a reply to the wrong call: the run asked for its next call just before the resent reply arrived. */
    @Test
    void replyInDoubtIsNotResentToARunThatReachesItsNextCall() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receiveAndReply();
        fixture.replaceLink();
        // The old run asks for its next call after its answer to the catch-up poll, before the stop arrives.
        fixture.requestCall(id);
        assertEquals(List.of("launch", "call", "deliver", "stop", "launch"), fixture.commandsOf(id));
        fixture.endRun(id, Outcome.STOPPED, "");
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        fixture.endRun(id, Outcome.OK, "done");
        assertEquals(List.of("launch", "call", "deliver", "stop", "launch", "call", "deliver"), fixture.commandsOf(id));
        assertEquals("succeeded done", fixture.response(id));
    }

    /** The run may also end before the stop arrives; the outcome counts, and events of the second run do not. */
    @Test
    void runThatEndsBeforeItIsRestartedIsAnsweredOnce() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receiveAndReply();
        fixture.replaceLink();
        fixture.endRun(id, Outcome.OK, "first");
        fixture.requestCall(id);
        fixture.endRun(id, Outcome.OK, "second");
        assertEquals("succeeded first", fixture.response(id));
        assertEquals(List.of("launch", "call", "deliver", "stop", "launch"), fixture.commandsOf(id));
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
            fixture.replaceLink();
            fixture.requestCall(id);
            fixture.endCall(id, Outcome.OK);
            fixture.endRun(id, Outcome.OK, "done");
            assertEquals(List.of("launch", "call", "deliver", "call", "deliver"), fixture.commandsOf(id));
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
        fixture.replaceLink();
        fixture.advance(1_020);
        assertEquals("failed", fixture.response(id));
        assertEquals(List.of("launch", "call", "deliver", "stop"), fixture.commandsOf(id));
        fixture.endRun(id, Outcome.STOPPED, "");
        assertEquals(0, fixture.backend.metrics().orElseThrow().requests().onCores());
    }

    /** While the cores stand still a stop has no effect: the run asks for its next call, which nobody answers. */
    @Test
    void runThatIsNotStoppedEndsWithItsDeadlineAndGetsNoReply() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receiveAndReply();
        fixture.replaceLink();
        fixture.requestCall(id);
        fixture.advance(1_020);
        assertEquals("failed", fixture.response(id));
        assertEquals(List.of("launch", "call", "deliver", "stop", "launch", "stop"), fixture.commandsOf(id));
        fixture.endRun(id, Outcome.STOPPED, "");
        assertEquals(0, fixture.backend.metrics().orElseThrow().requests().onCores());
    }

    /** A caller that disconnects while its run is restarted ends the request, whichever run the stop reaches. */
    @Test
    void callerThatDisconnectsDuringARestartEndsTheRequest() {
        for (Outcome second : List.of(Outcome.STOPPED, Outcome.NOT_STARTED)) {
            BackendFixture fixture = new BackendFixture();
            String id = fixture.receiveAndReply();
            fixture.replaceLink();
            fixture.disconnectCaller(id);
            fixture.decide();
            fixture.endRun(id, Outcome.STOPPED, "");
            fixture.endRun(id, second, "");
            assertEquals(UNANSWERED, fixture.responsesById.get(id));
            assertEquals(0, fixture.backend.metrics().orElseThrow().requests().onCores());
        }
    }

    /** A run that reached its next call has received the previous reply, which is therefore not resent. */
    @Test
    void receivedReplyIsNotResentToTheNextCall() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receiveAndReply();
        fixture.loseLink();
        fixture.restoreLink();
        fixture.requestCall(id);
        fixture.catchUp();
        assertEquals(List.of("launch", "call", "deliver", "call"), fixture.commandsOf(id));
        fixture.loseLink();
        fixture.restoreLink();
        fixture.requestCall(id);
        fixture.endCall(id, Outcome.OK);
        fixture.catchUp();
        assertEquals(List.of("launch", "call", "deliver", "call", "deliver"), fixture.commandsOf(id));
    }

    /** A command sent up to 50 ms before the link broke may be lost, even if the link was confirmed until then. */
    @Test
    void runWhoseReplyWasSentShortlyBeforeTheBreakIsRestarted() {
        BackendFixture fixture = new BackendFixture();
        String id = fixture.receiveAndReply();
        fixture.advance(45);
        fixture.backend.agentLinkLost(fixture.now);
        fixture.backend.agentLinkRestored(fixture.now.plusMillis(1));
        fixture.backend.agentEventsCaughtUp(fixture.now);
        assertEquals(List.of("launch", "call", "deliver", "stop", "launch"), fixture.commandsOf(id));
    }
}
