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
    private final ServerSocket first = new ServerSocket(0, 50, AgentLinkFixture.HERE);

    AgentLinkRaceTest() throws IOException {
        first.setSoTimeout(ManualClockLoop.PATIENCE_MS);
        around = new AgentLinkFixture(driven, AgentLinkFixture.at(first));
    }

    @AfterTry
    void end() throws IOException {
        first.close();
        around.close();
    }

    /**
     * The loop is held up while the link breaks: when the last bytes are read says nothing about when the link broke,
     * and a reply that left before must not count as arrived.
     */
    @Example
    void aReplyThatLeftBeforeAStallAndABreakIsSentAgain() throws IOException {
        FakeAgent agent = around.up(first);
        String name = around.take();
        agent.hear("launch");
        agent.request(1, name);
        driven.until(() -> !around.calls.isEmpty(), "the call");
        around.reply(name, "b");
        assertEquals("Yg==", agent.hear("deliver").get("payload"));
        driven.later(300);
        agent.read();
        around.breaks(agent);
        driven.later(20);
        FakeAgent next = around.accept(first, 1);
        around.takesOver(next);
        assertEquals("Yg==", next.hear("deliver").get("payload"));
    }

    /** What a question shows to have arrived long before the break is not sent again. */
    @Example
    void whatAnAnsweredQuestionShowsToHaveArrivedIsNotSentAgain() throws IOException {
        FakeAgent agent = around.up(first);
        String sure = around.take();
        agent.hear("launch");
        driven.later(70);
        Map<?, ?> question = agent.hear("sample");
        agent.sampled(question.get("token"), "[0]");
        agent.read();
        String doubtful = around.take();
        assertEquals(doubtful, agent.hear("launch").get("req"));
        around.breaks(agent);
        driven.later(20);
        FakeAgent next = around.accept(first, 0);
        around.takesOver(next);
        assertEquals(doubtful, next.hear("launch").get("req"));
        // Commands come in their order: nothing was between.
        around.gone(sure);
        Map<?, ?> command = next.next();
        assertEquals("freeze " + sure, command.get("cmd") + " " + command.get("req"));
    }

    /**
     * The next link is to be made in a while as the one in use is lost, and the agent moves: of the three reasons to
     * connect one is left, or a second link takes the place of the one that waits for its greeting.
     */
    @Example
    void aRetryThatIsUnderWayAsTheLinkIsLostDoesNotOutliveAMove() throws IOException {
        FakeAgent agent = around.up(first);
        ServerSocket second = around.place();
        around.moveTo(second);
        FakeAgent coming = around.accept(second, 0);
        coming.socket.close();
        // The end of the one that was coming has been read once these have.
        agent.read();
        agent.read();
        around.breaks(agent);
        ServerSocket third = around.place();
        around.moveTo(third);
        FakeAgent waits = around.accept(third, 0);
        driven.later(100);
        around.takesOver(waits);
        String name = around.take();
        assertEquals(name, waits.hear("launch").get("req"));
    }

    /** The greeting of the new link was long in coming: that says nothing of the questions asked on it since. */
    @Example
    void aSlowGreetingDoesNotCountAgainstTheFirstQuestions() throws IOException {
        around.up(first);
        // With something in hand the gauges are asked for all the time.
        String name = around.take();
        ServerSocket second = around.place();
        around.moveTo(second);
        FakeAgent agent = around.accept(second, 0);
        for (int i = 0; i < 5; i++) {
            driven.later(500);
        }
        around.takesOver(agent);
        agent.read();
        driven.later(10);
        driven.later(500);
        around.gone(name);
        assertEquals(name, agent.hear("freeze").get("req"));
        // One that is never greeted is made anew.
        ServerSocket third = around.place();
        around.moveTo(third);
        FakeAgent silent = around.accept(third, 0);
        for (int i = 0; i < 6; i++) {
            driven.later(500);
        }
        assertNull(silent.next());
        driven.later(20);
        around.takesOver(around.accept(third, 0));
    }

    /** Gauges that answer no open question, or are out of range, are not taken for the state of the cores. */
    @Example
    void onlyAnAnswerToTheOpenQuestionCountsAsGauges() throws IOException {
        FakeAgent agent = around.up(first);
        around.take();
        agent.hear("launch");
        driven.later(10);
        Object open = agent.next().get("token");
        agent.sampled("other", "[1000]");
        agent.read();
        driven.later(10);
        String launched = around.take();
        // The one question is still open: no other was asked in between.
        assertEquals(launched, agent.next().get("req"));
        for (String bad : new String[] {"[1e999]", "[-1]", "[]", "[1,2,3]"}) {
            agent.sampled(open, bad.equals("[1,2,3]") ? "[0,2,3]" : bad);
            agent.read();
            String name = around.take();
            assertEquals(name, agent.next().get("req"), bad);
            driven.later(10);
            open = agent.next().get("token");
        }
    }

    /** A line beyond all bounds is passed over where it stands: on a new link it would come again, and again. */
    @Example
    void aLineThatIsTooLongCostsNeitherTheLinkNorWhatFollows() throws IOException {
        FakeAgent agent = around.up(first);
        String name = around.take();
        agent.hear("launch");
        agent.write("{\"cmd\":\"aside\",\"result\":\"");
        for (int i = 0; i < 40; i++) {
            agent.write("x".repeat(5000));
        }
        agent.write("\"}\n" + AgentLinkFixture.outcome(1, name, "OK", "r") + "\n");
        around.answered(name, "succeeded r");
        String next = around.take();
        assertEquals(next, agent.hear("launch").get("req"));
    }

    /** A number that is none must not make all later notices old ones. */
    @Example
    void aNoticeWithANumberThatIsNoneIsPassedOver() throws IOException {
        FakeAgent agent = around.up(first);
        String name = around.take();
        agent.hear("launch");
        for (String number : new String[] {"1e300", "-5", "9999999999999999999999", "1.5", "\"1\""}) {
            agent.tell("{\"cmd\":\"aside\",\"offset\":" + number + ",\"result\":\"\"}");
        }
        agent.tell("{\"cmd\":\"outcome\",\"offset\":1,\"req\":\"zz\",\"result\":\"OK\"}");
        agent.outcome(1, name, "OK", "r");
        around.answered(name, "succeeded r");
        // Of an operation that nobody knows, or one that is over.
        agent.outcome(2, "00000000000000ff", "OK", "x");
        agent.request(3, "00000000000000ff");
        agent.tell("{\"cmd\":\"refusal\",\"result\":\"launch\",\"req\":\"" + name + "\"}");
        agent.tell("{\"cmd\":\"refusal\",\"result\":\"deliver\",\"req\":\"" + name + "\"}");
        agent.tell("{\"cmd\":\"refusal\",\"result\":\"freeze\",\"req\":\"00000000000000ff\"}");
        agent.read();
        around.answered(name, "succeeded r");
    }

    /** The old link delivers until the new one is greeted, half a notice at last: each counts once, none is missed. */
    @Example
    void aNoticeThatIsHalfReadAsItsLinkIsReplacedComesWholeOnTheNewOne() throws IOException {
        FakeAgent old = around.up(first);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            names.add(around.take());
        }
        old.outcome(1, names.get(0), "OK", "0");
        around.answered(names.get(0), "succeeded 0");
        ServerSocket second = around.place();
        around.moveTo(second);
        FakeAgent agent = around.accept(second, 1);
        old.outcome(2, names.get(1), "OK", "1");
        String half = AgentLinkFixture.outcome(3, names.get(2), "OK", "2");
        old.write(half.substring(0, 60));
        around.answered(names.get(1), "succeeded 1");
        agent.greet();
        agent.outcome(2, names.get(1), "ERROR", "");
        agent.tell(half);
        around.answered(names.get(2), "succeeded 2");
        assertNull(lastOf(old), "the old link is closed");
        agent.outcome(4, names.get(3), "OK", "3");
        around.answered(names.get(3), "succeeded 3");
        assertTrue(driven.on(() -> around.logged.stream().noneMatch(line -> line.contains("missed"))));
    }

    private static Map<?, ?> lastOf(FakeAgent agent) throws IOException {
        Map<?, ?> next = agent.next();
        while (next != null) {
            next = agent.next();
        }
        return next;
    }

    /** Moved on, moved back and moved to where it is: one link is made to the last place, and the others are closed. */
    @Example
    void oneOfManyMovesCounts() throws IOException {
        FakeAgent old = around.up(first);
        around.moveTo(first);
        ServerSocket second = around.place();
        around.moveTo(second);
        FakeAgent dropped = around.accept(second, 0);
        ServerSocket third = around.place();
        driven.run(() -> {
            around.link.moveTo(AgentLinkFixture.at(third));
            around.link.moveTo(AgentLinkFixture.at(second));
            around.link.moveTo(AgentLinkFixture.at(first));
        });
        assertNull(dropped.next());
        String name = around.take();
        assertEquals(name, old.hear("launch").get("req"));
        FakeAgent again = around.accept(first, 0);
        again.greet();
        assertNull(lastOf(old));
        around.takesOver(again);
        assertEquals(name, again.hear("launch").get("req"));
        // Without any link a move does not wait for the next try.
        around.breaks(again);
        around.moveTo(second);
        FakeAgent last = around.accept(second, 0);
        around.takesOver(last);
        assertEquals(name, last.hear("launch").get("req"));
    }

    /** The old link is closed before the new one is greeted: what is begun and replied meanwhile reaches the agent once. */
    @Example
    void whatIsSentBetweenTwoLinksGoesOverTheNewOneOnce() throws IOException {
        FakeAgent old = around.up(first);
        String calling = around.take();
        old.hear("launch");
        old.request(1, calling);
        driven.until(() -> !around.calls.isEmpty(), "the call");
        ServerSocket second = around.place();
        around.moveTo(second);
        FakeAgent agent = around.accept(second, 1);
        around.breaks(old);
        String begun = around.take();
        around.reply(calling, "b");
        driven.later(200);
        around.takesOver(agent);
        List<String> heard = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Map<?, ?> next = agent.next();
            heard.add(next.get("cmd") + " " + next.get("req"));
        }
        assertEquals(List.of("deliver " + calling, "launch " + begun), heard);
        around.gone(begun);
        assertEquals("freeze", agent.next().get("cmd"));
    }

    /** An exercise crosses the change of links, and its own limit: each answer counts for its own question alone. */
    @Example
    void anExerciseIsAskedAgainOnTheNewLinkAndLateAnswersAreNobodys() throws IOException {
        FakeAgent old = around.up(first);
        List<Boolean> heard = Collections.synchronizedList(new ArrayList<>());
        around.check(heard::add);
        Object token = old.hear("exercise").get("token");
        ServerSocket second = around.place();
        around.moveTo(second);
        FakeAgent agent = around.accept(second, 0);
        around.takesOver(agent);
        assertEquals(token, agent.hear("exercise").get("token"));
        agent.tell("{\"cmd\":\"exercised\",\"token\":\"" + token + "\",\"result\":\"OK\"}");
        agent.tell("{\"cmd\":\"exercised\",\"token\":\"" + token + "\",\"result\":\"ERROR\"}");
        agent.read();
        assertEquals(List.of(true), heard);
        around.check(heard::add);
        Object late = agent.hear("exercise").get("token");
        driven.later(1000);
        assertEquals(List.of(true, false), heard);
        around.check(heard::add);
        Object next = agent.hear("exercise").get("token");
        agent.tell("{\"cmd\":\"exercised\",\"token\":\"" + late + "\",\"result\":\"OK\"}");
        agent.read();
        assertEquals(List.of(true, false), heard);
        // Health that goes bad in between counts more than an exercise that went well.
        driven.run(() -> around.backend.startDrain(
                driven.loop.clock().now(), driven.loop.clock().now().plusSeconds(3)));
        driven.until(() -> !around.backend.isHealthy(), "bad health");
        agent.tell("{\"cmd\":\"exercised\",\"token\":\"" + next + "\",\"result\":\"OK\"}");
        agent.read();
        assertEquals(List.of(true, false, false), heard);
    }

    /** Notices that are missed for good: the runs of that time are broken off, and what comes after counts. */
    @Example
    void aRealGapBreaksOffTheRunsOfItsTimeOnly() throws IOException {
        FakeAgent agent = around.up(first);
        String lost = around.take();
        agent.hear("launch");
        agent.tell("{\"cmd\":\"aside\",\"offset\":7,\"result\":\"\"}");
        around.answered(lost, "failed");
        String after = around.take();
        agent.hear("launch");
        agent.outcome(8, lost, "OK", "late");
        agent.outcome(9, after, "OK", "r");
        around.answered(after, "succeeded r");
        around.answered(lost, "failed");
    }

    /** A place that neither accepts nor refuses: the link in use goes on, the dial ends in its time, a move ends it at once. */
    @Example
    void aDialThatHangsHoldsUpNothing() throws IOException {
        FakeAgent agent = around.up(first);
        try (ServerSocket silent = new ServerSocket(0, 1, AgentLinkFixture.HERE)) {
            List<Socket> queued = new ArrayList<>();
            assertThrows(SocketTimeoutException.class, () -> {
                while (queued.size() < 20) {
                    queued.add(new Socket());
                    queued.get(queued.size() - 1).connect(AgentLinkFixture.at(silent), 200);
                }
            });
            around.moveTo(silent);
            for (int i = 0; i < 3; i++) {
                String name = around.take();
                assertEquals(name, agent.hear("launch").get("req"));
                agent.outcome(i + 1, name, "OK", "r");
                around.answered(name, "succeeded r");
                // The dial has its 2 s and is made again; the questions on the link in use are answered.
                driven.later(2100);
                agent.read();
            }
            ServerSocket second = around.place();
            around.moveTo(second);
            around.takesOver(around.accept(second, 3));
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }
}
