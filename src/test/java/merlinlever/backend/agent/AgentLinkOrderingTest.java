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

/** Tests events on an old and a new connection to the agent, in random orders and within a single batch of the loop. */
class AgentLinkOrderingTest {

    /** Sends the agent's event log on a connection; splits some lines and sends some events twice. */
    private static final class EventSender {
        private final List<String> events;
        private final FakeAgent agent;
        private String unsentRest = "";
        private int nextEvent;

        EventSender(List<String> events, FakeAgent agent) {
            this.events = events;
            this.agent = agent;
            nextEvent = (int) agent.resumeOffset;
        }

        boolean sendNext(Random random) throws IOException {
            if (!unsentRest.isEmpty()) {
                agent.sendLine(unsentRest);
                unsentRest = "";
            } else if (nextEvent < events.size()) {
                String line = events.get(random.nextInt(4) == 0 && nextEvent > 0 ? nextEvent - 1 : nextEvent++);
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

        /** Waits until the link has read all sent bytes; does nothing while a line is incomplete. */
        void awaitRead() throws IOException {
            if (unsentRest.isEmpty()) {
                agent.awaitAllRead();
            }
        }
    }

    /**
     * The old connection may deliver complete and partial events until the greeting on the new connection, and the
     * new connection may deliver events before its greeting. Every event must be processed once, no event may be
     * reported as missed, and no request may be launched again more than once.
     */
    @Property(tries = 40, seed = "36")
    void processesEventsOnTwoConnectionsOnceInAnyOrder(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        try (ServerSocket firstServer = new ServerSocket(0, 50, AgentLinkFixture.LOOPBACK);
                AgentLinkFixture fixture =
                        new AgentLinkFixture(new ManualClockLoop(), AgentLinkFixture.addressOf(firstServer))) {
            firstServer.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
            FakeAgent agent = fixture.connectAndGreet(firstServer);
            List<String> requestIds = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                requestIds.add(fixture.admitRequest());
            }
            List<String> events = new ArrayList<>();
            List<String> completionOrder = new ArrayList<>(requestIds);
            Collections.shuffle(completionOrder, random);
            for (String requestId : completionOrder) {
                while (random.nextBoolean()) {
                    events.add("{\"cmd\":\"aside\",\"offset\":" + (events.size() + 1) + ",\"result\":\"\"}");
                }
                events.add(AgentLinkFixture.outcomeLine(events.size() + 1, requestId, "OK", "of " + requestId));
            }
            EventSender oldSender = new EventSender(events, agent);
            for (int i = random.nextInt(events.size()); i > 0; i--) {
                oldSender.sendNext(random);
                oldSender.awaitRead();
            }
            ServerSocket secondServer = fixture.openAgentServer();
            fixture.setAddress(secondServer);
            EventSender newSender = new EventSender(events, fixture.accept(secondServer));
            boolean losesOldConnection = random.nextInt(3) == 0;
            for (int i = random.nextInt(12); i > 0; i--) {
                EventSender sender = random.nextBoolean() ? oldSender : newSender;
                sender.sendNext(random);
                sender.awaitRead();
            }
            if (losesOldConnection) {
                fixture.disconnect(oldSender.agent);
            }
            if (!newSender.unsentRest.isEmpty()) {
                newSender.sendNext(random);
            }
            fixture.greetAndCatchUp(newSender.agent);
            while (newSender.sendNext(random)) {
                // Sends all remaining events; the loop may read any number of bytes at a time.
            }
            for (String requestId : requestIds) {
                fixture.assertAnswered(requestId, "succeeded of " + requestId);
            }
            assertTrue(logLines(fixture).stream()
                    .noneMatch(line -> line.contains("agent-events-missed") || line.contains("-ignored")));
            String lastRequestId = fixture.admitRequest();
            Set<String> launchedIds = new HashSet<>();
            Map<?, ?> command = newSender.agent.nextCommand();
            while (!lastRequestId.equals(command.get("req"))) {
                assertTrue(
                        !command.get("cmd").equals("launch") || launchedIds.add("" + command.get("req")), "" + command);
                command = newSender.agent.nextCommand();
            }
        }
    }

    private static List<String> logLines(AgentLinkFixture fixture) {
        return fixture.loop.callOnLoop(() -> List.copyOf(fixture.logLines));
    }

    /** The agent's end of an in-memory connection. */
    private static final class InMemoryAgent extends RecordingPeer {

        void sendLine(String line) {
            connection().write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8)));
        }
    }

    /**
     * A reply is queued on the old connection in the batch in which the new connection receives its greeting, before
     * the loop writes. The reply is lost with the old connection, so the run must be restarted on the new one, although
     * the reply and the new connection have the same timestamp.
     */
    @Test
    void restartsARunWhoseReplyWasQueuedInTheBatchThatReplacesTheConnection() throws IOException {
        List<InMemoryAgent> agents = new ArrayList<>();
        ManualClockLoop loop = new ManualClockLoop(address -> {
            agents.add(new InMemoryAgent());
            return agents.get(agents.size() - 1);
        });
        try (AgentLinkFixture fixture = new AgentLinkFixture(loop, new InetSocketAddress(1))) {
            loop.runOnLoop(
                    () -> agents.get(0).sendLine("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000}"));
            loop.awaitCondition(fixture.backend::isHealthy, "healthy backend");
            String requestId = fixture.admitRequest();
            loop.runOnLoop(() -> agents.get(0).sendLine(AgentLinkFixture.callRequestLine(1, requestId)));
            loop.awaitCondition(() -> !fixture.calls.isEmpty(), "downstream call");
            loop.runOnLoop(() -> fixture.link.setAddress(new InetSocketAddress(2)));
            loop.runBatches(3);
            loop.runOnLoop(() -> {
                agents.get(1).sendLine("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000}");
                // The task becomes ready before the greeting does, and runs in the same batch.
                fixture.afterBatch = () -> loop.loop.execute(() -> fixture.completeCallOnLoop(requestId, "b"));
            });
            loop.awaitCondition(() -> agents.get(1).received.indexOf("\"up") > 0, "catch-up poll");
            String received = loop.callOnLoop(() -> agents.get(1).received.toString());
            assertFalse(received.contains("deliver")
                    || loop.callOnLoop(() -> agents.get(0).received.toString()).contains("deliver"));
            String token = received.substring(
                    received.indexOf("\"up") + 1, received.indexOf('"', received.indexOf("\"up") + 1));
            loop.runOnLoop(
                    () -> agents.get(1).sendLine("{\"cmd\":\"sampled\",\"token\":\"" + token + "\",\"load\":[0]}"));
            loop.runBatches(4);
            String allReceived = loop.callOnLoop(() -> agents.get(1).received.toString());
            assertEquals(1, allReceived.split("deliver").length, allReceived);
            assertEquals(2, allReceived.split("freeze").length, allReceived);
            assertEquals(2, allReceived.split("launch").length, allReceived);
            assertTrue(allReceived.indexOf("freeze") < allReceived.indexOf("launch"), allReceived);
        }
    }
}
