package merlinlever.agent;

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
import merlinlever.agent.AgentLinkFixture.FakeAgent;
import merlinlever.net.ManualClockLoop;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Events that cross on the links to the agent, on sockets; time stands still but where a test moves it on. */
class AgentLinkRaceTest {

    private final AgentLinkFixture around;
    private final ManualClockLoop driven = new ManualClockLoop();
    private final ServerSocket first = new ServerSocket(0, 50, AgentLinkFixture.LOOPBACK);

    AgentLinkRaceTest() throws IOException {
        first.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
        around = new AgentLinkFixture(driven, AgentLinkFixture.addressOf(first));
    }

    @AfterTry
    void closeAll() throws IOException {
        first.close();
        around.close();
    }

    /**
     * The loop is held up while the link breaks: when the last bytes are read says nothing about when the link broke,
     * and a reply that left before must not count as arrived.
     */
    @Example
    void aReplySentBeforeAPauseAndALinkLossIsSentAgain() throws IOException {
        FakeAgent agent = around.connectAndGreet(first);
        String name = around.admitRequest();
        agent.awaitCommand("launch");
        agent.sendCallRequest(1, name);
        driven.awaitCondition(() -> !around.calls.isEmpty(), "the call");
        around.completeCall(name, "b");
        assertEquals("Yg==", agent.awaitCommand("deliver").get("payload"));
        driven.advance(300);
        agent.awaitAllRead();
        around.breakLink(agent);
        driven.advance(20);
        FakeAgent next = around.accept(first, 1);
        around.completeTakeover(next);
        assertEquals("Yg==", next.awaitCommand("deliver").get("payload"));
    }

    /** What a question shows to have arrived long before the break is not sent again. */
    @Example
    void commandsAcknowledgedByAnAnsweredSampleAreNotSentAgain() throws IOException {
        FakeAgent agent = around.connectAndGreet(first);
        String sure = around.admitRequest();
        agent.awaitCommand("launch");
        driven.advance(70);
        Map<?, ?> question = agent.awaitCommand("sample");
        agent.sendSampled(question.get("token"), "[0]");
        agent.awaitAllRead();
        String doubtful = around.admitRequest();
        assertEquals(doubtful, agent.awaitCommand("launch").get("req"));
        around.breakLink(agent);
        driven.advance(20);
        FakeAgent next = around.accept(first, 0);
        around.completeTakeover(next);
        assertEquals(doubtful, next.awaitCommand("launch").get("req"));
        // Commands come in their order: nothing was between.
        around.disconnectCaller(sure);
        Map<?, ?> command = next.nextCommand();
        assertEquals("freeze " + sure, command.get("cmd") + " " + command.get("req"));
    }

    /**
     * The next link is to be made in a while as the one in use is lost, and the agent moves: of the three reasons to
     * connect one is left, or a second link takes the place of the one that waits for its greeting.
     */
    @Example
    void aPendingReconnectDoesNotOutliveAnAddressChange() throws IOException {
        FakeAgent agent = around.connectAndGreet(first);
        ServerSocket second = around.openAgentServer();
        around.moveTo(second);
        FakeAgent coming = around.accept(second, 0);
        coming.socket.close();
        // The end of the one that was coming has been read once these have.
        agent.awaitAllRead();
        agent.awaitAllRead();
        around.breakLink(agent);
        ServerSocket third = around.openAgentServer();
        around.moveTo(third);
        FakeAgent waits = around.accept(third, 0);
        driven.advance(100);
        around.completeTakeover(waits);
        String name = around.admitRequest();
        assertEquals(name, waits.awaitCommand("launch").get("req"));
    }

    /** The greeting of the new link was long in coming: that says nothing of the questions asked on it since. */
    @Example
    void aSlowGreetingDoesNotCountAgainstTheFirstSamples() throws IOException {
        around.connectAndGreet(first);
        // With something in hand the gauges are asked for all the time.
        String name = around.admitRequest();
        ServerSocket second = around.openAgentServer();
        around.moveTo(second);
        FakeAgent agent = around.accept(second, 0);
        for (int i = 0; i < 5; i++) {
            driven.advance(500);
        }
        around.completeTakeover(agent);
        agent.awaitAllRead();
        driven.advance(10);
        driven.advance(500);
        around.disconnectCaller(name);
        assertEquals(name, agent.awaitCommand("freeze").get("req"));
        // One that is never greeted is made anew.
        ServerSocket third = around.openAgentServer();
        around.moveTo(third);
        FakeAgent silent = around.accept(third, 0);
        for (int i = 0; i < 6; i++) {
            driven.advance(500);
        }
        assertNull(silent.nextCommand());
        driven.advance(20);
        around.completeTakeover(around.accept(third, 0));
    }

    /** Gauges that answer no open question, or are out of range, are not taken for the state of the cores. */
    @Example
    void onlyTheAnswerToTheOpenSampleCountsAsGauges() throws IOException {
        FakeAgent agent = around.connectAndGreet(first);
        around.admitRequest();
        agent.awaitCommand("launch");
        driven.advance(10);
        Object open = agent.nextCommand().get("token");
        agent.sendSampled("other", "[1000]");
        agent.awaitAllRead();
        driven.advance(10);
        String launched = around.admitRequest();
        // The one question is still open: no other was asked in between.
        assertEquals(launched, agent.nextCommand().get("req"));
        for (String bad : new String[] {"[1e999]", "[-1]", "[]", "[1,2,3]"}) {
            agent.sendSampled(open, bad.equals("[1,2,3]") ? "[0,2,3]" : bad);
            agent.awaitAllRead();
            String name = around.admitRequest();
            assertEquals(name, agent.nextCommand().get("req"), bad);
            driven.advance(10);
            open = agent.nextCommand().get("token");
        }
    }

    /** A line beyond all bounds is passed over where it stands: on a new link it would come again, and again. */
    @Example
    void anOverlongLineCostsNeitherTheLinkNorLaterEvents() throws IOException {
        FakeAgent agent = around.connectAndGreet(first);
        String name = around.admitRequest();
        agent.awaitCommand("launch");
        agent.write("{\"cmd\":\"aside\",\"result\":\"");
        for (int i = 0; i < 40; i++) {
            agent.write("x".repeat(5000));
        }
        agent.write("\"}\n" + AgentLinkFixture.outcomeLine(1, name, "OK", "r") + "\n");
        around.assertAnswered(name, "succeeded r");
        String next = around.admitRequest();
        assertEquals(next, agent.awaitCommand("launch").get("req"));
    }

    /** A number that is none must not make all later notices old ones. */
    @Example
    void anEventWithAnInvalidOffsetIsIgnored() throws IOException {
        FakeAgent agent = around.connectAndGreet(first);
        String name = around.admitRequest();
        agent.awaitCommand("launch");
        for (String number : new String[] {"1e300", "-5", "9999999999999999999999", "1.5", "\"1\""}) {
            agent.sendLine("{\"cmd\":\"aside\",\"offset\":" + number + ",\"result\":\"\"}");
        }
        agent.sendLine("{\"cmd\":\"outcome\",\"offset\":1,\"req\":\"zz\",\"result\":\"OK\"}");
        agent.sendOutcome(1, name, "OK", "r");
        around.assertAnswered(name, "succeeded r");
        // Of an operation that nobody knows, or one that is over.
        agent.sendOutcome(2, "00000000000000ff", "OK", "x");
        agent.sendCallRequest(3, "00000000000000ff");
        agent.sendLine("{\"cmd\":\"refusal\",\"result\":\"launch\",\"req\":\"" + name + "\"}");
        agent.sendLine("{\"cmd\":\"refusal\",\"result\":\"deliver\",\"req\":\"" + name + "\"}");
        agent.sendLine("{\"cmd\":\"refusal\",\"result\":\"freeze\",\"req\":\"00000000000000ff\"}");
        agent.awaitAllRead();
        around.assertAnswered(name, "succeeded r");
    }

    /** The old link delivers until the new one is greeted, half a notice at last: each counts once, none is missed. */
    @Example
    void anEventHalfReadWhenItsConnectionIsReplacedCountsOnceOnTheNewOne() throws IOException {
        FakeAgent old = around.connectAndGreet(first);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            names.add(around.admitRequest());
        }
        old.sendOutcome(1, names.get(0), "OK", "0");
        around.assertAnswered(names.get(0), "succeeded 0");
        ServerSocket second = around.openAgentServer();
        around.moveTo(second);
        FakeAgent agent = around.accept(second, 1);
        old.sendOutcome(2, names.get(1), "OK", "1");
        String half = AgentLinkFixture.outcomeLine(3, names.get(2), "OK", "2");
        old.write(half.substring(0, 60));
        around.assertAnswered(names.get(1), "succeeded 1");
        agent.sendGreeting();
        agent.sendOutcome(2, names.get(1), "ERROR", "");
        agent.sendLine(half);
        around.assertAnswered(names.get(2), "succeeded 2");
        assertNull(readToEnd(old), "the old link is closed");
        agent.sendOutcome(4, names.get(3), "OK", "3");
        around.assertAnswered(names.get(3), "succeeded 3");
        assertTrue(driven.callOnLoop(() -> around.logLines.stream().noneMatch(line -> line.contains("missed"))));
    }

    private static Map<?, ?> readToEnd(FakeAgent agent) throws IOException {
        Map<?, ?> next = agent.nextCommand();
        while (next != null) {
            next = agent.nextCommand();
        }
        return next;
    }

    /** Moved on, moved back and moved to where it is: one link is made to the last place, and the others are closed. */
    @Example
    void onlyTheLastOfManyAddressChangesCounts() throws IOException {
        FakeAgent old = around.connectAndGreet(first);
        around.moveTo(first);
        ServerSocket second = around.openAgentServer();
        around.moveTo(second);
        FakeAgent dropped = around.accept(second, 0);
        ServerSocket third = around.openAgentServer();
        driven.runOnLoop(() -> {
            around.link.setAddress(AgentLinkFixture.addressOf(third));
            around.link.setAddress(AgentLinkFixture.addressOf(second));
            around.link.setAddress(AgentLinkFixture.addressOf(first));
        });
        assertNull(dropped.nextCommand());
        String name = around.admitRequest();
        assertEquals(name, old.awaitCommand("launch").get("req"));
        FakeAgent again = around.accept(first, 0);
        again.sendGreeting();
        assertNull(readToEnd(old));
        around.completeTakeover(again);
        assertEquals(name, again.awaitCommand("launch").get("req"));
        // Without any link a move does not wait for the next try.
        around.breakLink(again);
        around.moveTo(second);
        FakeAgent last = around.accept(second, 0);
        around.completeTakeover(last);
        assertEquals(name, last.awaitCommand("launch").get("req"));
    }

    /** The old link is closed before the new one is greeted: what is begun and replied meanwhile reaches the agent once. */
    @Example
    void commandsIssuedBetweenTwoConnectionsAreSentOnceOnTheNewOne() throws IOException {
        FakeAgent old = around.connectAndGreet(first);
        String calling = around.admitRequest();
        old.awaitCommand("launch");
        old.sendCallRequest(1, calling);
        driven.awaitCondition(() -> !around.calls.isEmpty(), "the call");
        ServerSocket second = around.openAgentServer();
        around.moveTo(second);
        FakeAgent agent = around.accept(second, 1);
        around.breakLink(old);
        String begun = around.admitRequest();
        around.completeCall(calling, "b");
        driven.advance(200);
        around.completeTakeover(agent);
        List<String> heard = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Map<?, ?> next = agent.nextCommand();
            heard.add(next.get("cmd") + " " + next.get("req"));
        }
        assertEquals(List.of("deliver " + calling, "launch " + begun), heard);
        around.disconnectCaller(begun);
        assertEquals("freeze", agent.nextCommand().get("cmd"));
    }

    /** An exercise crosses the change of links, and its own limit: each answer counts for its own question alone. */
    @Example
    void aHealthExerciseIsRepeatedOnTheNewConnectionAndLateAnswersAreIgnored() throws IOException {
        FakeAgent old = around.connectAndGreet(first);
        List<Boolean> heard = Collections.synchronizedList(new ArrayList<>());
        around.checkHealthDeeply(heard::add);
        Object token = old.awaitCommand("exercise").get("token");
        ServerSocket second = around.openAgentServer();
        around.moveTo(second);
        FakeAgent agent = around.accept(second, 0);
        around.completeTakeover(agent);
        assertEquals(token, agent.awaitCommand("exercise").get("token"));
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + token + "\",\"result\":\"OK\"}");
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + token + "\",\"result\":\"ERROR\"}");
        agent.awaitAllRead();
        assertEquals(List.of(true), heard);
        around.checkHealthDeeply(heard::add);
        Object late = agent.awaitCommand("exercise").get("token");
        driven.advance(1000);
        assertEquals(List.of(true, false), heard);
        around.checkHealthDeeply(heard::add);
        Object next = agent.awaitCommand("exercise").get("token");
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + late + "\",\"result\":\"OK\"}");
        agent.awaitAllRead();
        assertEquals(List.of(true, false), heard);
        // Health that goes bad in between counts more than an exercise that went well.
        driven.runOnLoop(() -> around.backend.startDrain(
                driven.loop.clock().now(), driven.loop.clock().now().plusSeconds(3)));
        driven.awaitCondition(() -> !around.backend.isHealthy(), "bad health");
        agent.sendLine("{\"cmd\":\"exercised\",\"token\":\"" + next + "\",\"result\":\"OK\"}");
        agent.awaitAllRead();
        assertEquals(List.of(true, false, false), heard);
    }

    /** Notices that are missed for good: the runs of that time are broken off, and what comes after counts. */
    @Example
    void aGapInTheOffsetsFailsOnlyTheRunsOfItsTime() throws IOException {
        FakeAgent agent = around.connectAndGreet(first);
        String lost = around.admitRequest();
        agent.awaitCommand("launch");
        agent.sendLine("{\"cmd\":\"aside\",\"offset\":7,\"result\":\"\"}");
        around.assertAnswered(lost, "failed");
        String after = around.admitRequest();
        agent.awaitCommand("launch");
        agent.sendOutcome(8, lost, "OK", "late");
        agent.sendOutcome(9, after, "OK", "r");
        around.assertAnswered(after, "succeeded r");
        around.assertAnswered(lost, "failed");
    }

    /** A place that neither accepts nor refuses: the link in use goes on, the dial ends in its time, a move ends it at once. */
    @Example
    void aHangingConnectAttemptDelaysNothing() throws IOException {
        FakeAgent agent = around.connectAndGreet(first);
        try (ServerSocket silent = new ServerSocket(0, 1, AgentLinkFixture.LOOPBACK)) {
            List<Socket> queued = new ArrayList<>();
            assertThrows(SocketTimeoutException.class, () -> {
                while (queued.size() < 20) {
                    queued.add(new Socket());
                    queued.get(queued.size() - 1).connect(AgentLinkFixture.addressOf(silent), 200);
                }
            });
            around.moveTo(silent);
            for (int i = 0; i < 3; i++) {
                String name = around.admitRequest();
                assertEquals(name, agent.awaitCommand("launch").get("req"));
                agent.sendOutcome(i + 1, name, "OK", "r");
                around.assertAnswered(name, "succeeded r");
                // The dial has its 2 s and is made again; the questions on the link in use are answered.
                driven.advance(2100);
                agent.awaitAllRead();
            }
            ServerSocket second = around.openAgentServer();
            around.moveTo(second);
            around.completeTakeover(around.accept(second, 3));
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }
}
