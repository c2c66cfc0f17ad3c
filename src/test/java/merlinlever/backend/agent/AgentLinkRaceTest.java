package merlinlever.backend.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import merlinlever.backend.agent.AgentLinkFixture.FakeAgent;
import merlinlever.common.net.ManualClockLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Races on the connections to the agent, over sockets; time advances only where a test advances it. */
class AgentLinkRaceTest {

    private final AgentLinkFixture fixture;
    private final ManualClockLoop loop = new ManualClockLoop();
    private final ServerSocket firstServer = new ServerSocket(0, 50, AgentLinkFixture.LOOPBACK);

    AgentLinkRaceTest() throws IOException {
        firstServer.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
        fixture = new AgentLinkFixture(loop, AgentLinkFixture.addressOf(firstServer));
    }

    @AfterEach
    void closeAll() throws IOException {
        firstServer.close();
        fixture.close();
    }

    /**
     * The loop pauses while the connection breaks: the time of the last read does not tell when it broke, and a reply
     * that was sent before must not count as received.
     */
    @Test
    void aReplySentBeforeAPauseAndALinkLossIsSentAgain() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        String requestId = fixture.admitRequest();
        agent.awaitCommand("launch");
        agent.sendCallRequest(1, requestId);
        loop.awaitCondition(() -> !fixture.calls.isEmpty(), "the call");
        fixture.completeCall(requestId, "b");
        assertEquals("Yg==", agent.awaitCommand("deliver").get("payload"));
        loop.advance(300);
        agent.awaitAllRead();
        fixture.breakLink(agent);
        loop.advance(20);
        FakeAgent next = fixture.accept(firstServer, 1);
        fixture.completeTakeover(next);
        assertEquals("Yg==", next.awaitCommand("deliver").get("payload"));
    }

    /** A command that an answered question proves to have arrived is not sent again. */
    @Test
    void commandsAcknowledgedByAnAnsweredSampleAreNotSentAgain() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        String confirmed = fixture.admitRequest();
        agent.awaitCommand("launch");
        loop.advance(70);
        Map<?, ?> question = agent.awaitCommand("sample");
        agent.sendSampled(question.get("token"), "[0]");
        agent.awaitAllRead();
        String inDoubt = fixture.admitRequest();
        assertEquals(inDoubt, agent.awaitCommand("launch").get("req"));
        fixture.breakLink(agent);
        loop.advance(20);
        FakeAgent next = fixture.accept(firstServer, 0);
        fixture.completeTakeover(next);
        assertEquals(inDoubt, next.awaitCommand("launch").get("req"));
        // Commands are sent in order, so none came in between.
        fixture.disconnectCaller(confirmed);
        Map<?, ?> command = next.nextCommand();
        assertEquals("freeze " + confirmed, command.get("cmd") + " " + command.get("req"));
    }

    /**
     * A reconnect is scheduled when the active connection is lost and the address changes: one of the three reasons to
     * connect must remain, or a second connection replaces the one that waits for its greeting.
     */
    @Test
    void aPendingReconnectDoesNotOutliveAnAddressChange() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.moveTo(secondServer);
        FakeAgent pendingAgent = fixture.accept(secondServer, 0);
        pendingAgent.socket.close();
        // The close of the pending connection has been read once these have.
        agent.awaitAllRead();
        agent.awaitAllRead();
        fixture.breakLink(agent);
        ServerSocket thirdServer = fixture.openAgentServer();
        fixture.moveTo(thirdServer);
        FakeAgent greetedLate = fixture.accept(thirdServer, 0);
        loop.advance(100);
        fixture.completeTakeover(greetedLate);
        String requestId = fixture.admitRequest();
        assertEquals(requestId, greetedLate.awaitCommand("launch").get("req"));
    }

    /** A greeting that took long does not count against the questions that are asked after it. */
    @Test
    void aSlowGreetingDoesNotCountAgainstTheFirstSamples() throws IOException {
        fixture.connectAndGreet(firstServer);
        // While a request is in flight the gauges are polled all the time.
        String requestId = fixture.admitRequest();
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.moveTo(secondServer);
        FakeAgent agent = fixture.accept(secondServer, 0);
        for (int i = 0; i < 5; i++) {
            loop.advance(500);
        }
        fixture.completeTakeover(agent);
        agent.awaitAllRead();
        loop.advance(10);
        loop.advance(500);
        fixture.disconnectCaller(requestId);
        assertEquals(requestId, agent.awaitCommand("freeze").get("req"));
        // A connection that is never greeted is made again.
        ServerSocket thirdServer = fixture.openAgentServer();
        fixture.moveTo(thirdServer);
        FakeAgent silent = fixture.accept(thirdServer, 0);
        for (int i = 0; i < 6; i++) {
            loop.advance(500);
        }
        assertNull(silent.nextCommand());
        loop.advance(20);
        fixture.completeTakeover(fixture.accept(thirdServer, 0));
    }

    /** Gauges that answer no open question or are out of range are ignored. */
    @Test
    void onlyTheAnswerToTheOpenSampleCountsAsGauges() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        fixture.admitRequest();
        agent.awaitCommand("launch");
        loop.advance(10);
        Object open = agent.nextCommand().get("token");
        agent.sendSampled("other", "[1000]");
        agent.awaitAllRead();
        loop.advance(10);
        String launched = fixture.admitRequest();
        // The question is still open, as no other was asked in between.
        assertEquals(launched, agent.nextCommand().get("req"));
        for (String bad : new String[] {"[1e999]", "[-1]", "[]", "[1,2,3]"}) {
            agent.sendSampled(open, bad.equals("[1,2,3]") ? "[0,2,3]" : bad);
            agent.awaitAllRead();
            String requestId = fixture.admitRequest();
            assertEquals(requestId, agent.nextCommand().get("req"), bad);
            loop.advance(10);
            open = agent.nextCommand().get("token");
        }
    }

    /** An overlong line is skipped in place: on a new connection the agent would only send it again. */
    @Test
    void anOverlongLineCostsNeitherTheLinkNorLaterEvents() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        String requestId = fixture.admitRequest();
        agent.awaitCommand("launch");
        agent.write("{\"cmd\":\"aside\",\"result\":\"");
        for (int i = 0; i < 40; i++) {
            agent.write("x".repeat(5000));
        }
        agent.write("\"}\n" + AgentLinkFixture.outcomeLine(1, requestId, "OK", "r") + "\n");
        fixture.assertAnswered(requestId, "succeeded r");
        String next = fixture.admitRequest();
        assertEquals(next, agent.awaitCommand("launch").get("req"));
    }

    /** An invalid offset must not make all later events count as read. */
    @Test
    void anEventWithAnInvalidOffsetIsIgnored() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        String requestId = fixture.admitRequest();
        agent.awaitCommand("launch");
        for (String number : new String[] {"1e300", "-5", "9999999999999999999999", "1.5", "\"1\""}) {
            agent.sendLine("{\"cmd\":\"aside\",\"offset\":" + number + ",\"result\":\"\"}");
        }
        agent.sendLine("{\"cmd\":\"outcome\",\"offset\":1,\"req\":\"zz\",\"result\":\"OK\"}");
        agent.sendOutcome(1, requestId, "OK", "r");
        fixture.assertAnswered(requestId, "succeeded r");
        // Of an unknown request, or of one that has ended.
        agent.sendOutcome(2, "00000000000000ff", "OK", "x");
        agent.sendCallRequest(3, "00000000000000ff");
        agent.sendLine("{\"cmd\":\"refusal\",\"result\":\"launch\",\"req\":\"" + requestId + "\"}");
        agent.sendLine("{\"cmd\":\"refusal\",\"result\":\"deliver\",\"req\":\"" + requestId + "\"}");
        agent.sendLine("{\"cmd\":\"refusal\",\"result\":\"freeze\",\"req\":\"00000000000000ff\"}");
        agent.awaitAllRead();
        fixture.assertAnswered(requestId, "succeeded r");
    }

    /**
     * The old connection delivers until the new one is greeted, at last half an event: each counts once, none is
     * missed.
     */
    @Test
    void anEventHalfReadWhenItsConnectionIsReplacedCountsOnceOnTheNewOne() throws IOException {
        FakeAgent oldAgent = fixture.connectAndGreet(firstServer);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            names.add(fixture.admitRequest());
        }
        oldAgent.sendOutcome(1, names.get(0), "OK", "0");
        fixture.assertAnswered(names.get(0), "succeeded 0");
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.moveTo(secondServer);
        FakeAgent agent = fixture.accept(secondServer, 1);
        oldAgent.sendOutcome(2, names.get(1), "OK", "1");
        String half = AgentLinkFixture.outcomeLine(3, names.get(2), "OK", "2");
        oldAgent.write(half.substring(0, 60));
        fixture.assertAnswered(names.get(1), "succeeded 1");
        agent.sendGreeting();
        agent.sendOutcome(2, names.get(1), "ERROR", "");
        agent.sendLine(half);
        fixture.assertAnswered(names.get(2), "succeeded 2");
        assertNull(readToEnd(oldAgent), "the old link is closed");
        agent.sendOutcome(4, names.get(3), "OK", "3");
        fixture.assertAnswered(names.get(3), "succeeded 3");
        assertTrue(loop.callOnLoop(
                () -> fixture.logLines.stream().noneMatch(line -> line.contains("agent-events-missed"))));
    }

    private static Map<?, ?> readToEnd(FakeAgent agent) throws IOException {
        Map<?, ?> next = agent.nextCommand();
        while (next != null) {
            next = agent.nextCommand();
        }
        return next;
    }

    /**
     * The address changes on, back, and to itself: one connection to the last address remains, the others are closed.
     */
    @Test
    void onlyTheLastOfManyAddressChangesCounts() throws IOException {
        FakeAgent oldAgent = fixture.connectAndGreet(firstServer);
        fixture.moveTo(firstServer);
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.moveTo(secondServer);
        FakeAgent droppedAgent = fixture.accept(secondServer, 0);
        ServerSocket thirdServer = fixture.openAgentServer();
        loop.runOnLoop(() -> {
            fixture.link.setAddress(AgentLinkFixture.addressOf(thirdServer));
            fixture.link.setAddress(AgentLinkFixture.addressOf(secondServer));
            fixture.link.setAddress(AgentLinkFixture.addressOf(firstServer));
        });
        assertNull(droppedAgent.nextCommand());
        String requestId = fixture.admitRequest();
        assertEquals(requestId, oldAgent.awaitCommand("launch").get("req"));
        FakeAgent again = fixture.accept(firstServer, 0);
        again.sendGreeting();
        assertNull(readToEnd(oldAgent));
        fixture.completeTakeover(again);
        assertEquals(requestId, again.awaitCommand("launch").get("req"));
        // Without a connection a change of address does not wait for the scheduled reconnect.
        fixture.breakLink(again);
        fixture.moveTo(secondServer);
        FakeAgent last = fixture.accept(secondServer, 0);
        fixture.completeTakeover(last);
        assertEquals(requestId, last.awaitCommand("launch").get("req"));
    }

    /** The old connection closes before the new one is greeted: commands of the time between reach the agent once. */
    @Test
    void commandsIssuedBetweenTwoConnectionsAreSentOnceOnTheNewOne() throws IOException {
        FakeAgent oldAgent = fixture.connectAndGreet(firstServer);
        String calling = fixture.admitRequest();
        oldAgent.awaitCommand("launch");
        oldAgent.sendCallRequest(1, calling);
        loop.awaitCondition(() -> !fixture.calls.isEmpty(), "the call");
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.moveTo(secondServer);
        FakeAgent agent = fixture.accept(secondServer, 1);
        fixture.breakLink(oldAgent);
        String begun = fixture.admitRequest();
        fixture.completeCall(calling, "b");
        loop.advance(200);
        fixture.completeTakeover(agent);
        List<String> heard = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Map<?, ?> next = agent.nextCommand();
            heard.add(next.get("cmd") + " " + next.get("req"));
        }
        assertEquals(List.of("deliver " + calling, "launch " + begun), heard);
        fixture.disconnectCaller(begun);
        assertEquals("freeze", agent.nextCommand().get("cmd"));
    }

    /** A health exercise races a change of connections and its own timeout: each answer counts for its own question. */
    @Test
    void aHealthExerciseIsRepeatedOnTheNewConnectionAndLateAnswersAreIgnored() throws IOException {
        FakeAgent oldAgent = fixture.connectAndGreet(firstServer);
        List<Boolean> heard = Collections.synchronizedList(new ArrayList<>());
        fixture.checkHealthDeeply(heard::add);
        Object token = oldAgent.awaitCommand("exercise").get("token");
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.moveTo(secondServer);
        FakeAgent agent = fixture.accept(secondServer, 0);
        fixture.completeTakeover(agent);
        assertEquals(token, agent.awaitCommand("exercise").get("token"));
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + token + "\",\"result\":\"OK\"}");
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + token + "\",\"result\":\"ERROR\"}");
        agent.awaitAllRead();
        assertEquals(List.of(true), heard);
        fixture.checkHealthDeeply(heard::add);
        Object late = agent.awaitCommand("exercise").get("token");
        loop.advance(1000);
        assertEquals(List.of(true, false), heard);
        fixture.checkHealthDeeply(heard::add);
        Object next = agent.awaitCommand("exercise").get("token");
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + late + "\",\"result\":\"OK\"}");
        agent.awaitAllRead();
        assertEquals(List.of(true, false), heard);
        // A backend that becomes unhealthy meanwhile outweighs an exercise that succeeds.
        loop.runOnLoop(() -> fixture.backend.startDrain(
                loop.loop.clock().now(), loop.loop.clock().now().plusSeconds(3)));
        loop.awaitCondition(() -> !fixture.backend.isHealthy(), "bad health");
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + next + "\",\"result\":\"OK\"}");
        agent.awaitAllRead();
        assertEquals(List.of(true, false, false), heard);
    }

    /** Events that are lost for good: the runs of that time fail, and later events count. */
    @Test
    void aGapInTheOffsetsFailsOnlyTheRunsOfItsTime() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        String lost = fixture.admitRequest();
        agent.awaitCommand("launch");
        agent.sendLine("{\"cmd\":\"aside\",\"offset\":7,\"result\":\"\"}");
        fixture.assertAnswered(lost, "failed");
        String after = fixture.admitRequest();
        agent.awaitCommand("launch");
        agent.sendOutcome(8, lost, "OK", "late");
        agent.sendOutcome(9, after, "OK", "r");
        fixture.assertAnswered(after, "succeeded r");
        fixture.assertAnswered(lost, "failed");
    }

    /**
     * An address that neither accepts nor refuses: the active connection is used meanwhile, the attempt times out, and
     * a change of address ends it at once.
     */
    @Test
    void aHangingConnectAttemptDelaysNothing() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        try (ServerSocket silent = new ServerSocket(0, 1, AgentLinkFixture.LOOPBACK)) {
            List<Socket> queued = new ArrayList<>();
            assertThrows(SocketTimeoutException.class, () -> {
                while (queued.size() < 20) {
                    queued.add(new Socket());
                    queued.get(queued.size() - 1).connect(AgentLinkFixture.addressOf(silent), 200);
                }
            });
            fixture.moveTo(silent);
            for (int i = 0; i < 3; i++) {
                String requestId = fixture.admitRequest();
                assertEquals(requestId, agent.awaitCommand("launch").get("req"));
                agent.sendOutcome(i + 1, requestId, "OK", "r");
                fixture.assertAnswered(requestId, "succeeded r");
                // The attempt times out after 2 s and is repeated; questions on the active connection are answered.
                loop.advance(2100);
                agent.awaitAllRead();
            }
            ServerSocket secondServer = fixture.openAgentServer();
            fixture.moveTo(secondServer);
            fixture.completeTakeover(fixture.accept(secondServer, 3));
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }
}
