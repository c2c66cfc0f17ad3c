package merlinlever.cli;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** End-to-end tests of {@code serve} over sockets. */
class ServeCommandTest extends ServeProcessFixture {

    ServeCommandTest() throws IOException {}

    @Test
    void requestWithADownstreamCallIsServedAndItsDuplicateGetsTheSameBytes() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        byte[] bytes = new byte[256];
        for (int i = 0; i < 256; i++) {
            bytes[i] = (byte) i;
        }
        String token = "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n";
        Socket edge = new Socket(LOOPBACK, port);
        edge.setTcpNoDelay(true);
        for (char c : httpRequest("buy", token, new String(bytes, StandardCharsets.ISO_8859_1))
                .toCharArray()) {
            send(edge, "" + c);
        }
        Map<?, ?> launch = awaitCommand("launch");
        assertEquals("buy", launch.get("method"));
        assertArrayEquals(bytes, Base64.getDecoder().decode((String) launch.get("payload")));
        sendToBackend("{\"cmd\":\"request\",\"offset\":1,\"req\":\"" + launch.get("req") + "\",\"payload\":\"AQI=\"}");
        recordsConnection = recordsListener.accept();
        assertTrue(readRecordsLine().matches("OP " + launch.get("req") + " [0-9]+ 2"));
        assertArrayEquals(
                new byte[] {1, 2, '\r', '\n'},
                recordsConnection.getInputStream().readNBytes(4));
        recordsConnection
                .getOutputStream()
                .write((launch.get("req") + " DONE 2\r\n\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        Map<?, ?> deliver = awaitCommand("deliver");
        assertArrayEquals(new byte[] {'\r', '\n'}, Base64.getDecoder().decode((String) deliver.get("payload")));
        sendOutcome(2, launch, "OK", bytes);
        sendOutcome(2, launch, "ERROR", new byte[0]);
        HttpResponse original = readResponse(edge);
        assertEquals(200, original.status());
        assertArrayEquals(bytes, original.body());
        HttpResponse duplicate =
                readResponse(send(httpRequest("buy", token, new String(bytes, StandardCharsets.ISO_8859_1))));
        assertEquals(200, duplicate.status());
        assertArrayEquals(bytes, duplicate.body());
        // The connection stays usable, and the duplicate has not reached the agent: the next launch is the next
        // request.
        send(edge, httpRequest("look", "", ""));
        Map<?, ?> next = awaitCommand("launch");
        assertEquals("look", next.get("method"));
        sendOutcome(3, next, "ERROR", new byte[0]);
        assertEquals(500, readResponse(edge).status());
        DatagramPacket report = new DatagramPacket(new byte[100], 100);
        directorySocket.receive(report);
        assertEquals("PULSE n3 open", new String(report.getData(), 0, report.getLength(), StandardCharsets.UTF_8));
    }

    @Test
    void requestsAreRejectedAndChecksFailUntilTheAgentIsUp() throws IOException {
        startAndLinkAgent();
        assertEquals(503, readResponse(send(httpRequest("look", "", ""))).status());
        assertEquals(
                503, readResponse(send("GET /status/live HTTP/1.1\r\n\r\n")).status());
        sendGreeting();
        assertEquals(
                200, readResponse(send("GET /status/live HTTP/1.1\r\n\r\n")).status());
        for (String result : new String[] {"OK", "ERROR"}) {
            Socket check = send("GET /status/live?real=1 HTTP/1.1\r\n\r\n");
            sendToBackend("{\"cmd\":\"exercised\",\"token\":\""
                    + awaitCommand("exercise").get("token") + "\",\"result\":\"" + result + "\"}");
            assertEquals(result.equals("OK") ? 200 : 503, readResponse(check).status());
        }
    }

    @Test
    void invalidRequestGetsItsStatusAndNeverReachesTheAgent() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        String good = httpRequest("look", "", "");
        String[][] invalidRequests = {
            {"404", good.replace("/svc/look", "/svc/other")},
            {"404", good.replace("/svc/look", "/")},
            {"405", good.replace("POST", "PUT")},
            {"405", "POST /status/live HTTP/1.1\r\nContent-Length: 0\r\n\r\n"},
            {"411", good.replace("Content-Length: 0\r\n", "")},
            {"413", good.replace("Length: 0", "Length: 2049")},
            {"431", "GET / HTTP/1.1\r\na: " + "b".repeat(5000) + "\r\n\r\n"},
            {"400", "nonsense\r\n\r\n"},
            {"501", good.replace("Content-Length: 0", "Transfer-Encoding: chunked")},
            {"400", good.replace("Req-Id: ", "Req-Id: x")},
            {"400", good.replace("Req-Kb: 24.5", "Req-Kb: 0")},
            {"400", good.replace("Req-Kb: 24.5\r\n", "")},
            {"400", good.replace("Req-Rank: 0", "Req-Rank: 1")},
            {"400", good.replace("Req-Wait-Ms: ", "Req-Wait-Ms: -")},
            {"400", httpRequest("buy", "", "")},
            {"400", good.replace("Req-Time: ", "Req-Time: 9")}
        };
        for (String[] statusAndRequest : invalidRequests) {
            assertEquals(
                    Integer.parseInt(statusAndRequest[0]),
                    readResponse(send(statusAndRequest[1])).status(),
                    statusAndRequest[1]);
        }
        Socket edge = send(good);
        sendOutcome(1, awaitCommand("launch"), "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readResponse(edge).body());
    }

    /** When descriptors run out, the longest idle connections are closed and those with a request in flight remain. */
    @Test
    void idlestConnectionsAreClosedWhenDescriptorsRunOut() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        Socket busy = send(httpRequest("look", "", ""));
        Map<?, ?> launch = awaitCommand("launch");
        for (int i = 0; i < 60; i++) {
            assertEquals(
                    200, readResponse(send("GET /status/live HTTP/1.1\r\n\r\n")).status());
        }
        sendOutcome(1, launch, "OK", new byte[] {7});
        assertEquals(200, readResponse(busy).status());
    }

    @Test
    void disconnectOfCallerEndsTheRunAndLossOfAgentLinkDoesNot() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        Socket disconnected = send(httpRequest("look", "", ""));
        Map<?, ?> first = awaitCommand("launch");
        disconnected.close();
        assertEquals(first.get("req"), awaitCommand("freeze").get("req"));
        sendOutcome(1, first, "STOPPED", new byte[0]);
        Socket edge = send(httpRequest("look", "", ""));
        Map<?, ?> launch = awaitCommand("launch");
        agentLink.close();
        acceptAgentLink(1);
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        // A launch that may have been lost with the link is repeated once all events are read; this one already runs.
        assertEquals(launch.get("req"), awaitCommand("launch").get("req"));
        sendToBackend("no json");
        sendOutcome(2, launch, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readResponse(edge).body());
    }

    private void sendDownstreamCall(long offset, Map<?, ?> launch) throws IOException {
        sendToBackend("{\"cmd\":\"request\",\"offset\":" + offset + ",\"req\":\"" + launch.get("req")
                + "\",\"payload\":\"AQI=\"}");
    }

    private void sendReply(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private Socket acceptCall(Map<?, ?> launch) throws IOException {
        recordsConnection = recordsListener.accept();
        assertTrue(readRecordsLine().startsWith("OP " + launch.get("req")));
        return recordsConnection;
    }

    /** A malformed reply fails only its own call, and a duplicate of a reply is ignored. */
    @Test
    void malformedReplyFailsOneCallAndDuplicateReplyNone() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        Socket failedEdge = send(httpRequest("buy", "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n", "a"));
        Map<?, ?> first = awaitCommand("launch");
        sendDownstreamCall(1, first);
        Socket malformedConnection = acceptCall(first);
        // Held open until the end of the test.
        Socket unusedEdge = send(httpRequest("look", "", ""));
        Map<?, ?> second = awaitCommand("launch");
        String id = "" + second.get("req");
        sendDownstreamCall(2, second);
        Socket duplicateConnection = acceptCall(second);
        sendReply(malformedConnection, "\u0007noise");
        assertEquals(500, readResponse(failedEdge).status());
        sendReply(duplicateConnection, "0123456789abcdef DONE 1\r\nx\r\n");
        sendReply(duplicateConnection, id + " DONE 1\r\na\r\n" + id + " DONE 1\r\na\r\n");
        assertEquals("YQ==", awaitCommand("deliver").get("payload"));
        sendDownstreamCall(3, second);
        Socket thirdConnection = acceptCall(second);
        assertEquals(4, malformedConnection.getInputStream().readAllBytes().length);
        sendReply(thirdConnection, id + " DONE 1\r\nb\r\n");
        assertEquals("Yg==", awaitCommand("deliver").get("payload"));
        // A duplicate may arrive late, so the next call of the run uses another connection even if this one is still
        // usable.
        sendDownstreamCall(4, second);
        Socket truncatedConnection = acceptCall(second);
        sendReply(thirdConnection, id + " DONE 1\r\nb\r\n");
        // The length exceeds the body: the backend closes the connection rather than wait for the rest.
        sendReply(truncatedConnection, id + " DONE 9\r\nc\r\n");
        assertEquals(4, truncatedConnection.getInputStream().readAllBytes().length);
    }

    /** A reload under load moves the links to new addresses and loses no run, call, event or connection. */
    @Test
    void reloadMovesAllLinksWhileRequestsAreInFlight() throws IOException, InterruptedException {
        startAndLinkAgent();
        sendGreeting();
        Socket calling = send(httpRequest("look", "", ""));
        Map<?, ?> first = awaitCommand("launch");
        sendToBackend("{\"cmd\":\"request\",\"offset\":1,\"req\":\"" + first.get("req") + "\",\"payload\":\"AQI=\"}");
        recordsConnection = recordsListener.accept();
        assertTrue(readRecordsLine().startsWith("OP " + first.get("req")));
        Socket running = send(httpRequest("look", "", ""));
        Map<?, ?> second = awaitCommand("launch");
        agentListener.close();
        recordsListener.close();
        directorySocket.close();
        agentListener = new ServerSocket(0, 50, LOOPBACK);
        recordsListener = new ServerSocket(0, 50, LOOPBACK);
        directorySocket = new DatagramSocket(0, LOOPBACK);
        setTimeouts();
        String completeConfiguration = configuration();
        Files.writeString(configFile, completeConfiguration.substring(0, 100));
        String pid = "" + program.pid();
        assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
        // The incomplete file is rejected and read again.
        String line = program.inputReader().readLine();
        while (!line.contains("configuration-reload-rejected")) {
            line = program.inputReader().readLine();
        }
        Files.writeString(configFile, completeConfiguration);
        Socket oldAgent = agentLink;
        acceptAgentLink(1);
        // The old link remains in use until the agent sends its greeting on the new link.
        Socket newAgent = agentLink;
        agentLink = oldAgent;
        sendOutcome(2, second, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readResponse(running).body());
        agentLink = newAgent;
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        sendOutcome(2, second, "ERROR", new byte[0]);
        // The call in flight completes on its connection; the next call goes to the new address.
        recordsConnection
                .getOutputStream()
                .write((first.get("req") + " DONE 1\r\na\r\n").getBytes(StandardCharsets.US_ASCII));
        assertEquals("YQ==", awaitCommand("deliver").get("payload"));
        sendToBackend("{\"cmd\":\"request\",\"offset\":3,\"req\":\"" + first.get("req") + "\",\"payload\":\"AQI=\"}");
        recordsConnection = recordsListener.accept();
        assertTrue(readRecordsLine().startsWith("OP " + first.get("req")));
        recordsConnection
                .getOutputStream()
                .write((first.get("req") + " DONE 1\r\nb\r\n").getBytes(StandardCharsets.US_ASCII));
        assertEquals("Yg==", awaitCommand("deliver").get("payload"));
        sendOutcome(4, first, "OK", new byte[] {8});
        assertArrayEquals(new byte[] {8}, readResponse(calling).body());
        directorySocket.receive(new DatagramPacket(new byte[100], 100));
    }

    /** The connection to a peer that reads but never writes is replaced after a timeout. */
    @Test
    void silentPeerIsNotWaitedForIndefinitely() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        Socket slow = send("POST /svc/look HTTP/1.1\r\nReq-Id: ");
        Socket check = send("GET /status/live?real=1 HTTP/1.1\r\n\r\n");
        awaitCommand("exercise");
        assertEquals(503, readResponse(check).status());
        send(httpRequest("look", "", ""));
        Map<?, ?> waiting = awaitCommand("launch");
        sendToBackend("{\"cmd\":\"request\",\"offset\":1,\"req\":\"" + waiting.get("req") + "\",\"payload\":\"AQI=\"}");
        recordsConnection = recordsListener.accept();
        assertTrue(readRecordsLine().startsWith("OP " + waiting.get("req")));
        acceptAgentLink(1);
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        send(httpRequest("look", "", ""));
        Map<?, ?> launch = awaitCommand("launch");
        sendToBackend("{\"cmd\":\"request\",\"offset\":2,\"req\":\"" + launch.get("req") + "\",\"payload\":\"AQI=\"}");
        recordsConnection = recordsListener.accept();
        assertTrue(readRecordsLine().startsWith("OP " + launch.get("req")));
        assertEquals(-1, slow.getInputStream().read());
    }

    /**
     * A connection without a complete message is closed within 3 s; one that carried a request may be idle for longer.
     */
    @Test
    void connectionWithoutACompleteMessageIsClosedInTime() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        Socket used = send("GET /status/live HTTP/1.1\r\n\r\n");
        assertEquals(200, readResponse(used).status());
        long startNanos = System.nanoTime();
        Socket silent = send("");
        Socket half = send(httpRequest("look", "", "body").replace("Length: 4", "Length: 40"));
        assertEquals(-1, silent.getInputStream().read());
        assertEquals(-1, half.getInputStream().read());
        long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(elapsedMs < 3000, elapsedMs + " ms");
        send(used, "GET /status/live HTTP/1.1\r\n\r\n");
        assertEquals(200, readResponse(used).status());
    }

    @Test
    void sigtermAnswersRequestsInFlightAndExits() throws IOException, InterruptedException {
        startAndLinkAgent();
        sendGreeting();
        Socket edge = send(httpRequest("buy", "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n", "a"));
        Map<?, ?> launch = awaitCommand("launch");
        Socket check = send("GET /status/live HTTP/1.1\r\n\r\n");
        program.destroy();
        // Waits until the drain has started: the health check fails from then on.
        while (readResponse(check).status() != 503) {
            send(check, "GET /status/live HTTP/1.1\r\n\r\n");
        }
        sendOutcome(1, launch, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readResponse(edge).body());
        // All requests are answered and the grace period is over: a request on a connection still open is rejected.
        Thread.sleep(500);
        HttpResponse late = readResponse(send(check, httpRequest("look", "", "")));
        assertEquals(503, late.status());
        assertTrue(late.head().contains("Connection: close"), late.head());
        check.close();
        edge.close();
        assertTrue(
                program.waitFor(5, TimeUnit.SECONDS),
                "without connections the process does not wait for the stop time");
        assertEquals(143, program.exitValue());
    }

    @Test
    void unusableConfigurationIsReportedInOneLine() throws IOException, InterruptedException {
        String good = "{\"listen\":\"127.0.0.1:" + agentListener.getLocalPort()
                + "\",\"agent\":\"127.0.0.1:1\",\"lookup\":\"127.0.0.1:1\"}";
        String[] invalidConfigurations = {
            "{",
            "[]",
            "{}",
            good.replace("\"agent\":", "\"other\":"),
            good.replace("127.0.0.1:1\"}", "nowhere\"}"),
            good,
            good.replace("}", ",\"settings\":{\"family-info\":{\"idle\":\"soon\"}}}"),
            good.replace(
                    "}",
                    ",\"settings\":{\"family-info\":{\"class-skip-worth\":[\"x\"]},\"services\":[{\"name\":\"a\"}]}}")
        };
        for (String invalid : invalidConfigurations) {
            start(invalid);
            String errorOutput = new String(program.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(1, program.waitFor(), invalid);
            assertTrue(
                    errorOutput.startsWith("merlinlever: ") && errorOutput.indexOf('\n') == errorOutput.length() - 1,
                    errorOutput);
        }
    }
}
