package merlinlever.agent;

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
import merlinlever.agent.AgentLinkFixture.FakeAgent;
import merlinlever.net.CloseReason;
import merlinlever.net.Connection;
import merlinlever.net.ManualClockLoop;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Two links to the agent and what comes on both, in many orders, and in the one that only one batch can make. */
class AgentLinkOrderingTest {

    /** What the agent has to tell, by number, and one link that tells it, in pieces and some of it twice. */
    private static final class Teller {
        private final AgentLinkFixture around;
        private final List<String> notices;
        private final FakeAgent agent;
        private String rest = "";
        private int next;

        Teller(AgentLinkFixture around, List<String> notices, FakeAgent agent) {
            this.around = around;
            this.notices = notices;
            this.agent = agent;
            next = (int) agent.resumeOffset;
        }

        boolean tell(Random chance) throws IOException {
            if (!rest.isEmpty()) {
                agent.sendLine(rest);
                rest = "";
            } else if (next < notices.size()) {
                String line = notices.get(chance.nextInt(4) == 0 && next > 0 ? next - 1 : next++);
                int cut = chance.nextInt(3) == 0 ? 1 + chance.nextInt(line.length() - 1) : line.length();
                rest = line.substring(cut);
                agent.write(line.substring(0, cut));
                if (rest.isEmpty()) {
                    agent.write("\n");
                }
            } else {
                return false;
            }
            return true;
        }

        /** The order is forced where a line is whole. */
        void read() throws IOException {
            if (rest.isEmpty()) {
                agent.awaitAllRead();
            }
        }
    }

    /**
     * The old link delivers, whole and half notices, until the new one is greeted; the new one may deliver before its
     * greeting: every notice counts once, none is held for missed, and what is launched again is launched once.
     */
    @Property(tries = 40, seed = "36")
    void eventsOnTwoConnectionsCountOnceInAnyOrder(@ForAll long seed) throws IOException {
        Random chance = new Random(seed);
        try (ServerSocket first = new ServerSocket(0, 50, AgentLinkFixture.LOOPBACK);
                AgentLinkFixture around = new AgentLinkFixture(new ManualClockLoop(), AgentLinkFixture.addressOf(first))) {
            first.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
            FakeAgent agent = around.connectAndGreet(first);
            List<String> names = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                names.add(around.admitRequest());
            }
            List<String> notices = new ArrayList<>();
            List<String> ends = new ArrayList<>(names);
            Collections.shuffle(ends, chance);
            for (String name : ends) {
                while (chance.nextBoolean()) {
                    notices.add("{\"cmd\":\"aside\",\"offset\":" + (notices.size() + 1) + ",\"result\":\"\"}");
                }
                notices.add(AgentLinkFixture.outcomeLine(notices.size() + 1, name, "OK", "of " + name));
            }
            Teller old = new Teller(around, notices, agent);
            for (int i = chance.nextInt(notices.size()); i > 0; i--) {
                old.tell(chance);
                old.read();
            }
            ServerSocket second = around.openAgentServer();
            around.moveTo(second);
            Teller teller = new Teller(around, notices, around.accept(second));
            boolean broken = chance.nextInt(3) == 0;
            for (int i = chance.nextInt(12); i > 0; i--) {
                Teller either = chance.nextBoolean() ? old : teller;
                either.tell(chance);
                either.read();
            }
            if (broken) {
                around.breakLink(old.agent);
            }
            if (!teller.rest.isEmpty()) {
                teller.tell(chance);
            }
            around.completeTakeover(teller.agent);
            while (teller.tell(chance)) {
                // All is told, in pieces that the loop may find in whatever portions.
            }
            for (String name : names) {
                around.assertAnswered(name, "succeeded of " + name);
            }
            assertTrue(
                    logLines(around).stream().noneMatch(line -> line.contains("missed") || line.contains("passed over")));
            String last = around.admitRequest();
            Set<String> launched = new HashSet<>();
            Map<?, ?> command = teller.agent.nextCommand();
            while (!last.equals(command.get("req"))) {
                assertTrue(!command.get("cmd").equals("launch") || launched.add("" + command.get("req")), "" + command);
                command = teller.agent.nextCommand();
            }
        }
    }

    private static List<String> logLines(AgentLinkFixture around) {
        return around.loop.callOnLoop(() -> List.copyOf(around.logLines));
    }

    /** The agent in memory. */
    private static final class Party implements Connection.InMemoryPeer {
        private final StringBuilder heard = new StringBuilder();
        private Connection mine;

        @Override
        public void attach(Connection connection) {
            mine = connection;
        }

        @Override
        public void onReceived(ByteBuffer in) {
            while (in.hasRemaining()) {
                heard.append((char) in.get());
            }
        }

        @Override
        public void onClosed(CloseReason how) {}

        void say(String line) {
            mine.write(ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8)));
        }
    }

    /**
     * A reply is queued on the old link, and in the same batch, before anything is written, the new link is greeted: the
     * reply goes with the old link, and over the new one, though the clock shows one instant for both.
     */
    @Example
    void aReplyQueuedWhileItsConnectionIsReplacedIsSentOnTheNewOne() throws IOException {
        List<Party> parties = new ArrayList<>();
        ManualClockLoop driven = new ManualClockLoop(address -> {
            parties.add(new Party());
            return parties.get(parties.size() - 1);
        });
        try (AgentLinkFixture around = new AgentLinkFixture(driven, new InetSocketAddress(1))) {
            driven.runOnLoop(() -> parties.get(0).say("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000}"));
            driven.awaitCondition(around.backend::isHealthy, "good health");
            String name = around.admitRequest();
            driven.runOnLoop(() -> parties.get(0).say(AgentLinkFixture.callRequestLine(1, name)));
            driven.awaitCondition(() -> !around.calls.isEmpty(), "the call");
            driven.runOnLoop(() -> around.link.setAddress(new InetSocketAddress(2)));
            driven.runBatches(3);
            driven.runOnLoop(() -> {
                parties.get(1).say("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000}");
                // Ready before the greeting is, and run in the same batch.
                around.afterBatch = () -> driven.loop.execute(() -> around.completeCallOnLoop(name, "b"));
            });
            driven.awaitCondition(() -> parties.get(1).heard.indexOf("\"up") > 0, "the question whether all is read");
            String heard = driven.callOnLoop(() -> parties.get(1).heard.toString());
            assertFalse(heard.contains("deliver")
                    || driven.callOnLoop(() -> parties.get(0).heard.toString()).contains("deliver"));
            String token = heard.substring(heard.indexOf("\"up") + 1, heard.indexOf('"', heard.indexOf("\"up") + 1));
            driven.runOnLoop(() -> parties.get(1).say("{\"cmd\":\"sampled\",\"token\":\"" + token + "\",\"load\":[0]}"));
            driven.runBatches(4);
            String all = driven.callOnLoop(() -> parties.get(1).heard.toString());
            assertEquals(2, all.split("deliver").length, all);
        }
    }
}
