package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The whole program under the system's own limit of descriptors, which idle and silent clients fill. */
class FileDescriptorLimitTest extends ServeProcessFixture {

    private static final int CLIENTS = 50;
    private final List<Socket> held = new ArrayList<>();
    private int limit = 40;

    FileDescriptorLimitTest() throws IOException {}

    @Override
    Process start(String configuration) throws IOException {
        Files.writeString(configFile, configuration);
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                "ulimit -n " + limit + " && exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                "target/classes",
                "merlinlever.cli.Main",
                "serve");
        builder.environment().put("GW_CONFIG", configFile.toString());
        program = builder.start();
        return program;
    }

    /**
     * Clients that ask once and rest, clients that say nothing, half messages and answered ones that stay: the next check
     * and the next operation are answered, the agent's link comes back, calls and reports leave, and nobody is reset.
     */
    @Test
    void allLinksWorkWhileClientsFillTheDescriptors() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        for (int i = 0; i < CLIENTS; i++) {
            switch (i % 4) {
                case 0 -> {
                    held.add(send("GET /status/live HTTP/1.1\r\n\r\n"));
                    assertEquals(200, readAnswer(held.get(i)).status());
                }
                case 1 -> held.add(send(""));
                case 2 -> held.add(send("POST "));
                default -> {
                    held.add(send("nonsense\r\n\r\n"));
                    assertEquals(400, readAnswer(held.get(i)).status());
                }
            }
        }
        long from = System.nanoTime();
        assertEquals(200, readAnswer(send("GET /status/live HTTP/1.1\r\n\r\n")).status());
        long took = (System.nanoTime() - from) / 1_000_000;
        assertTrue(took < 3000, took + " ms");
        // The link to the agent is made anew, a call leaves, and a report too.
        agentLink.close();
        acceptAgentLink(0);
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        // Caught up, so that no launch is in doubt and sent twice.
        Map<?, ?> sample;
        do {
            sample = awaitCommand("sample");
            sendToBackend("{\"cmd\":\"sampled\",\"token\":\"" + sample.get("token") + "\",\"load\":[0]}");
        } while (!("" + sample.get("token")).startsWith("up"));
        Socket edge = send(httpRequest("look", "", "body"));
        Map<?, ?> launch = awaitCommand("launch");
        sendToBackend("{\"cmd\":\"request\",\"offset\":1,\"req\":\"" + launch.get("req") + "\",\"payload\":\"AQI=\"}");
        recordsConnection = recordsListener.accept();
        assertTrue(readRecordsLine().startsWith("OP " + launch.get("req")));
        recordsConnection
                .getOutputStream()
                .write((launch.get("req") + " DONE 1\r\na\r\n").getBytes(StandardCharsets.US_ASCII));
        assertEquals("YQ==", awaitCommand("deliver").get("payload"));
        sendOutcome(2, launch, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readAnswer(edge).body());
        directorySocket.receive(new DatagramPacket(new byte[100], 100));
        try (var open = Files.list(Path.of("/proc/" + program.pid() + "/fd"))) {
            long count = open.count();
            assertTrue(count <= 40, count + " descriptors");
        }
        for (Socket each : held) {
            // A good end, or still open: never a reset.
            each.setSoTimeout(1);
            try {
                assertTrue(each.getInputStream().read() < 0);
            } catch (SocketTimeoutException e) {
                // It is open still.
            }
        }
    }

    /** Accepting fails before the table is full, as the system gives out fewer: those that rest make room, none is reset. */
    @Test
    void failedAcceptClosesIdleConnections() throws IOException {
        limit = 22;
        startAndLinkAgent();
        sendGreeting();
        for (int i = 0; i < CLIENTS; i++) {
            held.add(send("GET /status/live HTTP/1.1\r\n\r\n"));
            assertEquals(200, readAnswer(held.get(i)).status());
        }
        try (var open = Files.list(Path.of("/proc/" + program.pid() + "/fd"))) {
            long count = open.count();
            assertTrue(count >= limit - 4, "only " + count + " descriptors: accepting has not failed");
        }
        for (Socket each : held) {
            each.setSoTimeout(1);
            try {
                assertTrue(each.getInputStream().read() < 0);
            } catch (SocketTimeoutException e) {
                // It is open still.
            }
        }
    }
}
