package merlinlever.backend.agent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import merlinlever.backend.agent.AgentLinkFixture.FakeAgent;
import merlinlever.common.net.ManualClockLoop;
import merlinlever.common.net.RecordingPeer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Events on two connections to the agent, in many orders, and in one that needs a single batch of the loop. */
class AgentLinkOrderingTest {

    /** Sends the agent's log on one connection, in pieces and some events twice. */
    private static final class EventSender {
        private final List<String> events;
        private final FakeAgent agent;
        private String unsentRest = "";
        private int next;

        EventSender(List<String> events, FakeAgent agent) {
            this.events = events;
            this.agent = agent;
            next = (int) agent.resumeOffset;
        }

        boolean sendNext(Random random) throws IOException {
            if (!unsentRest.isEmpty()) {
                agent.sendLine(unsentRest);
                unsentRest = "";
            } else if (next < events.size()) {
                String line = events.get(random.nextInt(4) == 0 && next > 0 ? next - 1 : next++);
                int cut = random.nextInt(3) == 0 ? 1 + random.nextInt(line.length() - 1) : line.length();
                unsentRest = line.substring(cut);
                agent.write(line.substring(0, cut));
                if (unsentRest.isEmpty()) {
                    agent.write("\n");
                }
            } else {
                return false;
            }
            return true;
        }

        /** Waits until what was sent has been read, where that ends with a whole line. */
        void awaitRead() throws IOException {
            if (unsentRest.isEmpty()) {
                agent.awaitAllRead();
            }
        }
    }

    /**
     * The old connection delivers whole and half events until the new one is greeted, and the new one may deliver
     * before its greeting: every event counts once, none is taken for missed, and no request is relaunched twice.
     */
    @Property(tries = 40, seed = "36")
    void eventsOnTwoConnectionsCountOnceInAnyOrder(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        try (ServerSocket firstServer = new ServerSocket(0, 50, AgentLinkFixture.LOOPBACK);
                AgentLinkFixture fixture =
                        new AgentLinkFixture(new ManualClockLoop(), AgentLinkFixture.addressOf(firstServer))) {
            firstServer.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
            FakeAgent agent = fixture.connectAndGreet(firstServer);
            List<String> names = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                names.add(fixture.admitRequest());
            }
            List<String> events = new ArrayList<>();
            List<String> ends = new ArrayList<>(names);
            Collections.shuffle(ends, random);
            for (String name : ends) {
                while (random.nextBoolean()) {
                    events.add("{\"cmd\":\"aside\",\"offset\":" + (events.size() + 1) + ",\"result\":\"\"}");
                }
                events.add(AgentLinkFixture.outcomeLine(events.size() + 1, name, "OK", "of " + name));
            }
            EventSender oldSender = new EventSender(events, agent);
            for (int i = random.nextInt(events.size()); i > 0; i--) {
                oldSender.sendNext(random);
                oldSender.awaitRead();
            }
            ServerSocket secondServer = fixture.openAgentServer();
            fixture.moveTo(secondServer);
            EventSender newSender = new EventSender(events, fixture.accept(secondServer));
            boolean broken = random.nextInt(3) == 0;
            for (int i = random.nextInt(12); i > 0; i--) {
                EventSender either = random.nextBoolean() ? oldSender : newSender;
                either.sendNext(random);
                either.awaitRead();
            }
            if (broken) {
                fixture.breakLink(oldSender.agent);
            }
            if (!newSender.unsentRest.isEmpty()) {
                newSender.sendNext(random);
            }
            fixture.completeTakeover(newSender.agent);
            while (newSender.sendNext(random)) {
                // Everything is sent, in pieces that the loop may read in any portions.
            }
            for (String name : names) {
                fixture.assertAnswered(name, "succeeded of " + name);
            }
            assertTrue(logLines(fixture).stream()
                    .noneMatch(line -> line.contains("agent-events-missed") || line.contains("-ignored")));
            String last = fixture.admitRequest();
            Set<String> launched = new HashSet<>();
            Map<?, ?> command = newSender.agent.nextCommand();
            while (!last.equals(command.get("req"))) {
                assertTrue(!command.get("cmd").equals("launch") || launched.add("" + command.get("req")), "" + command);
                command = newSender.agent.nextCommand();
            }
        }
    }

    private static List<String> logLines(AgentLinkFixture fixture) {
        return fixture.loop.callOnLoop(() -> List.copyOf(fixture.logLines));
    }

    /** The agent, in memory. */
    private static final class InMemoryAgent extends RecordingPeer {

        void sendLine(String line) {
            end().write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8)));
        }
    }

    /**
     * A reply is queued on the old connection, and the new one is greeted in the same batch, before anything is
     * written: the reply is lost with the old connection and sent again on the new one, although both have the same
     * time.
     */
    @Test
    void aReplyQueuedWhileItsConnectionIsReplacedIsSentOnTheNewOne() throws IOException {
        List<InMemoryAgent> agents = new ArrayList<>();
        ManualClockLoop loop = new ManualClockLoop(address -> {
            agents.add(new InMemoryAgent());
            return agents.get(agents.size() - 1);
        });
        try (AgentLinkFixture fixture = new AgentLinkFixture(loop, new InetSocketAddress(1))) {
            loop.runOnLoop(
                    () -> agents.get(0).sendLine("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000}"));
            loop.awaitCondition(fixture.backend::isHealthy, "good health");
            String name = fixture.admitRequest();
            loop.runOnLoop(() -> agents.get(0).sendLine(AgentLinkFixture.callRequestLine(1, name)));
            loop.awaitCondition(() -> !fixture.calls.isEmpty(), "the call");
            loop.runOnLoop(() -> fixture.link.setAddress(new InetSocketAddress(2)));
            loop.runBatches(3);
            loop.runOnLoop(() -> {
                agents.get(1).sendLine("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000}");
                // Ready before the greeting is, and run in the same batch.
                fixture.afterBatch = () -> loop.loop.execute(() -> fixture.completeCallOnLoop(name, "b"));
            });
            loop.awaitCondition(() -> agents.get(1).received.indexOf("\"up") > 0, "the question whether all is read");
            String received = loop.callOnLoop(() -> agents.get(1).received.toString());
            assertFalse(received.contains("deliver")
                    || loop.callOnLoop(() -> agents.get(0).received.toString()).contains("deliver"));
            String token = received.substring(
                    received.indexOf("\"up") + 1, received.indexOf('"', received.indexOf("\"up") + 1));
            loop.runOnLoop(
                    () -> agents.get(1).sendLine("{\"cmd\":\"sampled\",\"token\":\"" + token + "\",\"load\":[0]}"));
            loop.runBatches(4);
            String all = loop.callOnLoop(() -> agents.get(1).received.toString());
            assertEquals(2, all.split("deliver").length, all);
        }
    }
}
