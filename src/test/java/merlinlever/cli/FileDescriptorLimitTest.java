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

/** Runs the program under an operating system limit on file descriptors, which idle and silent clients use up. */
class FileDescriptorLimitTest extends ServeProcessFixture {

    private static final int CLIENTS = 50;
    private final List<Socket> heldSockets = new ArrayList<>();
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
     * While idle, silent and slow clients hold connections, health checks and requests are answered, the agent link is
     * restored, downstream calls and heartbeats are sent, and no connection is reset.
     */
    @Test
    void allLinksWorkWhileClientsFillTheDescriptors() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        for (int i = 0; i < CLIENTS; i++) {
            switch (i % 4) {
                case 0 -> {
                    heldSockets.add(send("GET /status/live HTTP/1.1\r\n\r\n"));
                    assertEquals(200, readResponse(heldSockets.get(i)).status());
                }
                case 1 -> heldSockets.add(send(""));
                case 2 -> heldSockets.add(send("POST "));
                default -> {
                    heldSockets.add(send("nonsense\r\n\r\n"));
                    assertEquals(400, readResponse(heldSockets.get(i)).status());
                }
            }
        }
        long startNanos = System.nanoTime();
        assertEquals(
                200, readResponse(send("GET /status/live HTTP/1.1\r\n\r\n")).status());
        long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(elapsedMs < 3000, elapsedMs + " ms");
        // The backend reconnects to the agent, makes a downstream call and sends a heartbeat.
        agentLink.close();
        acceptAgentLink(0);
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        // Lets the backend catch up, so that no launch is in doubt and repeated.
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
        assertArrayEquals(new byte[] {7}, readResponse(edge).body());
        directorySocket.receive(new DatagramPacket(new byte[100], 100));
        try (var descriptors = Files.list(Path.of("/proc/" + program.pid() + "/fd"))) {
            long count = descriptors.count();
            assertTrue(count <= 40, count + " descriptors");
        }
        for (Socket socket : heldSockets) {
            // The connection is closed in order or still open; a reset fails the test.
            socket.setSoTimeout(1);
            try {
                assertTrue(socket.getInputStream().read() < 0);
            } catch (SocketTimeoutException e) {
                // The connection is still open.
            }
        }
    }

    /**
     * If the system limit makes accept fail below the configured maximum, idle connections are closed and none is
     * reset.
     */
    @Test
    void failedAcceptClosesIdleConnections() throws IOException {
        limit = 22;
        startAndLinkAgent();
        sendGreeting();
        for (int i = 0; i < CLIENTS; i++) {
            heldSockets.add(send("GET /status/live HTTP/1.1\r\n\r\n"));
            assertEquals(200, readResponse(heldSockets.get(i)).status());
        }
        try (var descriptors = Files.list(Path.of("/proc/" + program.pid() + "/fd"))) {
            long count = descriptors.count();
            assertTrue(count >= limit - 4, "only " + count + " descriptors are open: accept has not failed");
        }
        for (Socket socket : heldSockets) {
            socket.setSoTimeout(1);
            try {
                assertTrue(socket.getInputStream().read() < 0);
            } catch (SocketTimeoutException e) {
                // The connection is still open.
            }
        }
    }
}
