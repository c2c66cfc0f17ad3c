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

/** Tests races on the connections to the agent, over sockets and with a manually advanced clock. */
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
     * The connection is lost during a pause of the loop. The time of the last read does not show when the connection
     * was lost, so a reply sent before the pause must not be considered received. Nor must it be sent again: the run's
     * request for its next call may cross the copy.
     */
    @Test
    void restartsARunWhoseReplyWasSentBeforeAPauseWithALinkLoss() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        String requestId = fixture.admitRequest();
        agent.awaitCommand("launch");
        agent.sendCallRequest(1, requestId);
        loop.awaitCondition(() -> !fixture.calls.isEmpty(), "downstream call");
        fixture.completeCall(requestId, "b");
        assertEquals("Yg==", agent.awaitCommand("deliver").get("payload"));
        loop.advance(300);
        agent.awaitAllRead();
        fixture.disconnect(agent);
        loop.advance(20);
        FakeAgent newAgent = fixture.accept(firstServer, 1);
        fixture.greetAndCatchUp(newAgent);
        newAgent.sendCallRequest(2, requestId);
        newAgent.awaitAllRead();
        assertEquals("freeze", newAgent.nextCommand().get("cmd"));
        assertEquals("launch", newAgent.nextCommand().get("cmd"));
        newAgent.sendOutcome(3, requestId, "STOPPED", "");
        newAgent.sendCallRequest(4, requestId);
        loop.awaitCondition(() -> fixture.calls.size() == 2, "downstream call of the new run");
        fixture.completeCall(requestId, "c");
        assertEquals("Yw==", newAgent.awaitCommand("deliver").get("payload"));
        newAgent.sendOutcome(5, requestId, "OK", "done");
        fixture.assertAnswered(requestId, "succeeded done");
    }

    /** A command is not sent again if the answer to a later metrics poll confirms that the command has arrived. */
    @Test
    void doesNotResendCommandsConfirmedByAnAnsweredPoll() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        String confirmedRequest = fixture.admitRequest();
        agent.awaitCommand("launch");
        loop.advance(70);
        Map<?, ?> poll = agent.awaitCommand("sample");
        agent.sendMetrics(poll.get("token"), "[0]");
        agent.awaitAllRead();
        String unconfirmedRequest = fixture.admitRequest();
        assertEquals(unconfirmedRequest, agent.awaitCommand("launch").get("req"));
        fixture.disconnect(agent);
        loop.advance(20);
        FakeAgent newAgent = fixture.accept(firstServer, 0);
        fixture.greetAndCatchUp(newAgent);
        assertEquals(unconfirmedRequest, newAgent.awaitCommand("launch").get("req"));
        // Commands are sent in order, so no other command was sent before this one.
        fixture.disconnectCaller(confirmedRequest);
        Map<?, ?> command = newAgent.nextCommand();
        assertEquals("freeze " + confirmedRequest, command.get("cmd") + " " + command.get("req"));
    }

    /**
     * An address change while a reconnect is scheduled must cancel the reconnect. Otherwise a second connection would
     * replace the one that waits for its greeting.
     */
    @Test
    void addressChangeCancelsAScheduledReconnect() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.setAddress(secondServer);
        FakeAgent pendingAgent = fixture.accept(secondServer, 0);
        pendingAgent.socket.close();
        // After both markers have been read, the link has also detected the close of the pending connection.
        agent.awaitAllRead();
        agent.awaitAllRead();
        fixture.disconnect(agent);
        ServerSocket thirdServer = fixture.openAgentServer();
        fixture.setAddress(thirdServer);
        FakeAgent slowAgent = fixture.accept(thirdServer, 0);
        loop.advance(100);
        fixture.greetAndCatchUp(slowAgent);
        String requestId = fixture.admitRequest();
        assertEquals(requestId, slowAgent.awaitCommand("launch").get("req"));
    }

    /** The liveness checks missed during a slow greeting must not count for the polls after the greeting. */
    @Test
    void resetsUnansweredChecksAfterASlowGreeting() throws IOException {
        fixture.connectAndGreet(firstServer);
        // The backend polls the metrics continuously while a request is in flight.
        String requestId = fixture.admitRequest();
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.setAddress(secondServer);
        FakeAgent agent = fixture.accept(secondServer, 0);
        for (int i = 0; i < 5; i++) {
            loop.advance(500);
        }
        fixture.greetAndCatchUp(agent);
        agent.awaitAllRead();
        loop.advance(10);
        loop.advance(500);
        fixture.disconnectCaller(requestId);
        assertEquals(requestId, agent.awaitCommand("freeze").get("req"));
        // The link closes a connection without a greeting, and reconnects.
        ServerSocket thirdServer = fixture.openAgentServer();
        fixture.setAddress(thirdServer);
        FakeAgent silentAgent = fixture.accept(thirdServer, 0);
        for (int i = 0; i < 6; i++) {
            loop.advance(500);
        }
        assertNull(silentAgent.nextCommand());
        loop.advance(20);
        fixture.greetAndCatchUp(fixture.accept(thirdServer, 0));
    }

    /** Gauge values are ignored if they are out of range or do not answer the pending poll. */
    @Test
    void acceptsOnlyValidGaugesThatAnswerThePendingPoll() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        fixture.admitRequest();
        agent.awaitCommand("launch");
        loop.advance(10);
        Object pendingToken = agent.nextCommand().get("token");
        agent.sendMetrics("other", "[1000]");
        agent.awaitAllRead();
        loop.advance(10);
        String launchedRequest = fixture.admitRequest();
        // The poll is still pending: the link has not sent another one.
        assertEquals(launchedRequest, agent.nextCommand().get("req"));
        for (String gauges : new String[] {"[1e999]", "[-1]", "[]", "[1,2,3]"}) {
            agent.sendMetrics(pendingToken, gauges.equals("[1,2,3]") ? "[0,2,3]" : gauges);
            agent.awaitAllRead();
            String requestId = fixture.admitRequest();
            assertEquals(requestId, agent.nextCommand().get("req"), gauges);
            loop.advance(10);
            pendingToken = agent.nextCommand().get("token");
        }
    }

    /** An overlong line is skipped without a reconnect, because the agent would send the line again. */
    @Test
    void keepsTheLinkAndLaterEventsAfterAnOverlongLine() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        String requestId = fixture.admitRequest();
        agent.awaitCommand("launch");
        agent.write("{\"cmd\":\"aside\",\"result\":\"");
        for (int i = 0; i < 40; i++) {
            agent.write("x".repeat(5000));
        }
        agent.write("\"}\n" + AgentLinkFixture.outcomeLine(1, requestId, "OK", "r") + "\n");
        fixture.assertAnswered(requestId, "succeeded r");
        String nextRequest = fixture.admitRequest();
        assertEquals(nextRequest, agent.awaitCommand("launch").get("req"));
    }

    /** An invalid offset must not cause all later events to be skipped as already read. */
    @Test
    void ignoresInvalidEvents() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        String requestId = fixture.admitRequest();
        agent.awaitCommand("launch");
        for (String offset : new String[] {"1e300", "-5", "9999999999999999999999", "1.5", "\"1\""}) {
            agent.sendLine("{\"cmd\":\"aside\",\"offset\":" + offset + ",\"result\":\"\"}");
        }
        agent.sendLine("{\"cmd\":\"outcome\",\"offset\":1,\"req\":\"zz\",\"result\":\"OK\"}");
        agent.sendOutcome(1, requestId, "OK", "r");
        fixture.assertAnswered(requestId, "succeeded r");
        // Events for an unknown request or for a request that has ended.
        agent.sendOutcome(2, "00000000000000ff", "OK", "x");
        agent.sendCallRequest(3, "00000000000000ff");
        agent.sendLine("{\"cmd\":\"refusal\",\"result\":\"launch\",\"req\":\"" + requestId + "\"}");
        agent.sendLine("{\"cmd\":\"refusal\",\"result\":\"deliver\",\"req\":\"" + requestId + "\"}");
        agent.sendLine("{\"cmd\":\"refusal\",\"result\":\"freeze\",\"req\":\"00000000000000ff\"}");
        agent.awaitAllRead();
        fixture.assertAnswered(requestId, "succeeded r");
    }

    /**
     * The old connection delivers events until the greeting on the new connection; the last one is incomplete. Every
     * event must be processed once, and no event may be reported as missed.
     */
    @Test
    void processesOnceAnEventPartiallyReadOnTheReplacedConnection() throws IOException {
        FakeAgent oldAgent = fixture.connectAndGreet(firstServer);
        List<String> requestIds = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            requestIds.add(fixture.admitRequest());
        }
        oldAgent.sendOutcome(1, requestIds.get(0), "OK", "0");
        fixture.assertAnswered(requestIds.get(0), "succeeded 0");
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.setAddress(secondServer);
        FakeAgent agent = fixture.accept(secondServer, 1);
        oldAgent.sendOutcome(2, requestIds.get(1), "OK", "1");
        String thirdEvent = AgentLinkFixture.outcomeLine(3, requestIds.get(2), "OK", "2");
        oldAgent.write(thirdEvent.substring(0, 60));
        fixture.assertAnswered(requestIds.get(1), "succeeded 1");
        agent.sendGreeting();
        agent.sendOutcome(2, requestIds.get(1), "ERROR", "");
        agent.sendLine(thirdEvent);
        fixture.assertAnswered(requestIds.get(2), "succeeded 2");
        assertNull(readToEnd(oldAgent), "the old connection must be closed");
        agent.sendOutcome(4, requestIds.get(3), "OK", "3");
        fixture.assertAnswered(requestIds.get(3), "succeeded 3");
        assertTrue(loop.callOnLoop(
                () -> fixture.logLines.stream().noneMatch(line -> line.contains("agent-events-missed"))));
    }

    private static Map<?, ?> readToEnd(FakeAgent agent) throws IOException {
        Map<?, ?> command = agent.nextCommand();
        while (command != null) {
            command = agent.nextCommand();
        }
        return command;
    }

    /**
     * The address changes several times, also back to a previous address and to the current one. Only the connection
     * to the last address may remain open.
     */
    @Test
    void connectsOnlyToTheLastOfSeveralAddresses() throws IOException {
        FakeAgent oldAgent = fixture.connectAndGreet(firstServer);
        fixture.setAddress(firstServer);
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.setAddress(secondServer);
        FakeAgent abandonedAgent = fixture.accept(secondServer, 0);
        ServerSocket thirdServer = fixture.openAgentServer();
        loop.runOnLoop(() -> {
            fixture.link.setAddress(AgentLinkFixture.addressOf(thirdServer));
            fixture.link.setAddress(AgentLinkFixture.addressOf(secondServer));
            fixture.link.setAddress(AgentLinkFixture.addressOf(firstServer));
        });
        assertNull(abandonedAgent.nextCommand());
        String requestId = fixture.admitRequest();
        assertEquals(requestId, oldAgent.awaitCommand("launch").get("req"));
        FakeAgent newAgent = fixture.accept(firstServer, 0);
        newAgent.sendGreeting();
        assertNull(readToEnd(oldAgent));
        fixture.greetAndCatchUp(newAgent);
        assertEquals(requestId, newAgent.awaitCommand("launch").get("req"));
        // After a disconnect, an address change connects immediately instead of waiting for the scheduled reconnect.
        fixture.disconnect(newAgent);
        fixture.setAddress(secondServer);
        FakeAgent lastAgent = fixture.accept(secondServer, 0);
        fixture.greetAndCatchUp(lastAgent);
        assertEquals(requestId, lastAgent.awaitCommand("launch").get("req"));
    }

    /** Commands issued after the loss of the old connection and before the next greeting are sent exactly once. */
    @Test
    void sendsCommandsIssuedWhileDisconnectedOnce() throws IOException {
        FakeAgent oldAgent = fixture.connectAndGreet(firstServer);
        String callingRequest = fixture.admitRequest();
        oldAgent.awaitCommand("launch");
        oldAgent.sendCallRequest(1, callingRequest);
        loop.awaitCondition(() -> !fixture.calls.isEmpty(), "downstream call");
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.setAddress(secondServer);
        FakeAgent agent = fixture.accept(secondServer, 1);
        fixture.disconnect(oldAgent);
        String newRequest = fixture.admitRequest();
        fixture.completeCall(callingRequest, "b");
        loop.advance(200);
        fixture.greetAndCatchUp(agent);
        List<String> commands = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Map<?, ?> command = agent.nextCommand();
            commands.add(command.get("cmd") + " " + command.get("req"));
        }
        assertEquals(List.of("deliver " + callingRequest, "launch " + newRequest), commands);
        fixture.disconnectCaller(newRequest);
        assertEquals("freeze", agent.nextCommand().get("cmd"));
    }

    /** A deep check is sent again on a new connection, and a result is ignored unless its check is still pending. */
    @Test
    void repeatsADeepCheckOnANewConnectionAndIgnoresLateResults() throws IOException {
        FakeAgent oldAgent = fixture.connectAndGreet(firstServer);
        List<Boolean> results = Collections.synchronizedList(new ArrayList<>());
        fixture.runDeepCheck(results::add);
        Object token = oldAgent.awaitCommand("exercise").get("token");
        ServerSocket secondServer = fixture.openAgentServer();
        fixture.setAddress(secondServer);
        FakeAgent agent = fixture.accept(secondServer, 0);
        fixture.greetAndCatchUp(agent);
        assertEquals(token, agent.awaitCommand("exercise").get("token"));
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + token + "\",\"result\":\"OK\"}");
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + token + "\",\"result\":\"ERROR\"}");
        agent.awaitAllRead();
        assertEquals(List.of(true), results);
        fixture.runDeepCheck(results::add);
        Object timedOutToken = agent.awaitCommand("exercise").get("token");
        loop.advance(1000);
        assertEquals(List.of(true, false), results);
        fixture.runDeepCheck(results::add);
        Object nextToken = agent.awaitCommand("exercise").get("token");
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + timedOutToken + "\",\"result\":\"OK\"}");
        agent.awaitAllRead();
        assertEquals(List.of(true, false), results);
        // The result is negative if the backend becomes unhealthy during a check that succeeds on the agent.
        loop.runOnLoop(() -> fixture.backend.startDrain(
                loop.loop.clock().now(), loop.loop.clock().now().plusSeconds(3)));
        loop.awaitCondition(() -> !fixture.backend.isHealthy(), "unhealthy backend");
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + nextToken + "\",\"result\":\"OK\"}");
        agent.awaitAllRead();
        assertEquals(List.of(true, false, false), results);
    }

    /** A gap in the event log fails the runs that were in progress, and does not affect later runs. */
    @Test
    void failsOnlyRunsInProgressDuringAGapInTheOffsets() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        String lostRequest = fixture.admitRequest();
        agent.awaitCommand("launch");
        agent.sendLine("{\"cmd\":\"aside\",\"offset\":7,\"result\":\"\"}");
        fixture.assertAnswered(lostRequest, "failed");
        String laterRequest = fixture.admitRequest();
        agent.awaitCommand("launch");
        agent.sendOutcome(8, lostRequest, "OK", "late");
        agent.sendOutcome(9, laterRequest, "OK", "r");
        fixture.assertAnswered(laterRequest, "succeeded r");
        fixture.assertAnswered(lostRequest, "failed");
    }

    /**
     * The new address neither accepts nor refuses connections. The active connection remains in use, the connection
     * attempt times out, and an address change aborts the attempt immediately.
     */
    @Test
    void usesTheActiveConnectionDuringAHangingConnectAttempt() throws IOException {
        FakeAgent agent = fixture.connectAndGreet(firstServer);
        try (ServerSocket unresponsiveServer = new ServerSocket(0, 1, AgentLinkFixture.LOOPBACK)) {
            // Fills the backlog, so that the system accepts no more connections.
            List<Socket> backlog = new ArrayList<>();
            assertThrows(SocketTimeoutException.class, () -> {
                while (backlog.size() < 20) {
                    backlog.add(new Socket());
                    backlog.get(backlog.size() - 1).connect(AgentLinkFixture.addressOf(unresponsiveServer), 200);
                }
            });
            fixture.setAddress(unresponsiveServer);
            for (int i = 0; i < 3; i++) {
                String requestId = fixture.admitRequest();
                assertEquals(requestId, agent.awaitCommand("launch").get("req"));
                agent.sendOutcome(i + 1, requestId, "OK", "r");
                fixture.assertAnswered(requestId, "succeeded r");
                // The attempt times out after 2 s and is repeated; polls on the active connection are answered.
                loop.advance(2100);
                agent.awaitAllRead();
            }
            ServerSocket secondServer = fixture.openAgentServer();
            fixture.setAddress(secondServer);
            fixture.greetAndCatchUp(fixture.accept(secondServer, 3));
            for (Socket socket : backlog) {
                socket.close();
            }
        }
    }
}
