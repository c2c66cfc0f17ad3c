package merlinlever.backend.agent;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import merlinlever.backend.TestRequests;
import merlinlever.common.net.ManualClockLoop;
import merlinlever.compatibility.Fixture;
import org.junit.jupiter.api.Test;

/** Compares each command to the agent with its recorded bytes. Numbers in tokens are normalized. */
class AgentBytesTest {

    @Test
    void encodesEachCommandAsRecorded() throws Exception {
        Fixture fixture = new Fixture("agent.txt");
        Map<String, String> lines = new TreeMap<>();
        try (ServerSocket agentServer = new ServerSocket(0, 5, AgentLinkFixture.LOOPBACK);
                AgentLinkFixture linkFixture =
                        new AgentLinkFixture(new ManualClockLoop(), AgentLinkFixture.addressOf(agentServer));
                Socket agent = agentServer.accept()) {
            agent.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(agent.getInputStream(), StandardCharsets.UTF_8));
            fixture.assertMatches("subscribe", in.readLine());
            agent.getOutputStream()
                    .write("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000}\n"
                            .getBytes(StandardCharsets.UTF_8));
            // The link sends polls only on a connection on which it has read the greeting.
            linkFixture.loop.awaitCondition(linkFixture.backend::isHealthy, "healthy backend");
            while (!lines.containsKey("sample")) {
                linkFixture.loop.advance(100);
                linkFixture.loop.runOnLoop(() -> linkFixture.link.pollMetrics());
                addNextCommand(lines, in);
            }
            linkFixture.loop.runOnLoop(() -> {
                linkFixture.link.startDeepCheck();
                linkFixture.link.launch(TestRequests.tracked(1));
                linkFixture.link.stopRun(TestRequests.tracked(2));
                linkFixture.link.deliverReply(TestRequests.tracked(3), new byte[] {1, 2});
                linkFixture.link.continueWithoutCall(TestRequests.tracked(4));
            });
            while (!lines.containsKey("forgo")) {
                addNextCommand(lines, in);
            }
        }
        for (String command : new String[] {"sample", "exercise", "launch", "freeze", "deliver", "forgo"}) {
            fixture.assertMatches(command, lines.get(command));
        }
    }

    private static void addNextCommand(Map<String, String> lines, BufferedReader in) throws Exception {
        String line = in.readLine();
        lines.put(line.split("\"")[3], line.replaceAll("(\"token\":\"[sx])[0-9]+", "$10"));
    }
}
