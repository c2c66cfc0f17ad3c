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

/** Commands to the agent, byte for byte; a token's number counts up. */
class AgentBytesTest {

    @Test
    void eachCommand() throws Exception {
        Fixture fixture = new Fixture("agent.txt");
        Map<String, String> lines = new TreeMap<>();
        try (ServerSocket place = new ServerSocket(0, 5, AgentLinkFixture.LOOPBACK);
                AgentLinkFixture backend =
                        new AgentLinkFixture(new ManualClockLoop(), AgentLinkFixture.addressOf(place));
                Socket agent = place.accept()) {
            agent.setSoTimeout(ManualClockLoop.TIMEOUT_MS);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(agent.getInputStream(), StandardCharsets.UTF_8));
            fixture.pins("subscribe", in.readLine());
            agent.getOutputStream()
                    .write("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":60000}\n"
                            .getBytes(StandardCharsets.UTF_8));
            // The connection is active once the greeting has been read; a sample before is not sent.
            backend.loop.awaitCondition(backend.backend::isHealthy, "the greeting");
            while (!lines.containsKey("sample")) {
                backend.loop.advance(100);
                backend.loop.runOnLoop(() -> backend.link.pollMetrics());
                add(lines, in);
            }
            backend.loop.runOnLoop(() -> {
                backend.link.startDeepCheck();
                backend.link.launch(TestRequests.tracked(1));
                backend.link.stopRun(TestRequests.tracked(2));
                backend.link.deliverReply(TestRequests.tracked(3), new byte[] {1, 2});
                backend.link.continueWithoutCall(TestRequests.tracked(4));
            });
            while (!lines.containsKey("forgo")) {
                add(lines, in);
            }
        }
        for (String word : new String[] {"sample", "exercise", "launch", "freeze", "deliver", "forgo"}) {
            fixture.pins(word, lines.get(word));
        }
    }

    private static void add(Map<String, String> lines, BufferedReader in) throws Exception {
        String line = in.readLine();
        lines.put(line.split("\"")[3], line.replaceAll("(\"token\":\"[sx])[0-9]+", "$10"));
    }
}
