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

/** What the whole program does on sockets. */
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
        HttpAnswer first = readAnswer(edge);
        assertEquals(200, first.status());
        assertArrayEquals(bytes, first.body());
        HttpAnswer repeat = readAnswer(send(httpRequest("buy", token, new String(bytes, StandardCharsets.ISO_8859_1))));
        assertEquals(200, repeat.status());
        assertArrayEquals(bytes, repeat.body());
        // The connection goes on; the next that reaches the agent is the next operation, not the repeat.
        send(edge, httpRequest("look", "", ""));
        Map<?, ?> next = awaitCommand("launch");
        assertEquals("look", next.get("method"));
        sendOutcome(3, next, "ERROR", new byte[0]);
        assertEquals(500, readAnswer(edge).status());
        DatagramPacket report = new DatagramPacket(new byte[100], 100);
        directorySocket.receive(report);
        assertEquals("PULSE n3 open", new String(report.getData(), 0, report.getLength(), StandardCharsets.UTF_8));
    }

    @Test
    void requestsAreRejectedAndChecksFailUntilTheAgentIsUp() throws IOException {
        startAndLinkAgent();
        assertEquals(503, readAnswer(send(httpRequest("look", "", ""))).status());
        assertEquals(503, readAnswer(send("GET /status/live HTTP/1.1\r\n\r\n")).status());
        sendGreeting();
        assertEquals(200, readAnswer(send("GET /status/live HTTP/1.1\r\n\r\n")).status());
        for (String how : new String[] {"OK", "ERROR"}) {
            Socket check = send("GET /status/live?real=1 HTTP/1.1\r\n\r\n");
            sendToBackend("{\"cmd\":\"exercised\",\"token\":\""
                    + awaitCommand("exercise").get("token") + "\",\"result\":\"" + how + "\"}");
            assertEquals(how.equals("OK") ? 200 : 503, readAnswer(check).status());
        }
    }

    @Test
    void invalidRequestGetsItsStatusAndNeverReachesTheAgent() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        String good = httpRequest("look", "", "");
        String[][] bad = {
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
        for (String[] each : bad) {
            assertEquals(Integer.parseInt(each[0]), readAnswer(send(each[1])).status(), each[1]);
        }
        Socket edge = send(good);
        sendOutcome(1, awaitCommand("launch"), "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readAnswer(edge).body());
    }

    /** More connections than there is room for: the idlest make room, and those with an operation stay. */
    @Test
    void idlestConnectionsAreClosedWhenDescriptorsRunOut() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        Socket busy = send(httpRequest("look", "", ""));
        Map<?, ?> launch = awaitCommand("launch");
        for (int i = 0; i < 60; i++) {
            assertEquals(
                    200, readAnswer(send("GET /status/live HTTP/1.1\r\n\r\n")).status());
        }
        sendOutcome(1, launch, "OK", new byte[] {7});
        assertEquals(200, readAnswer(busy).status());
    }

    @Test
    void callersDisconnectEndsTheRunAndALostLinkDoesNot() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        Socket gone = send(httpRequest("look", "", ""));
        Map<?, ?> first = awaitCommand("launch");
        gone.close();
        assertEquals(first.get("req"), awaitCommand("freeze").get("req"));
        sendOutcome(1, first, "STOPPED", new byte[0]);
        Socket edge = send(httpRequest("look", "", ""));
        Map<?, ?> launch = awaitCommand("launch");
        agentLink.close();
        acceptAgentLink(1);
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        // What may have been lost with the link is asked again once all notices are read; here it runs already.
        assertEquals(launch.get("req"), awaitCommand("launch").get("req"));
        sendToBackend("no json");
        sendOutcome(2, launch, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readAnswer(edge).body());
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

    /** A reply that is spoilt costs its own call; one that brings more than belongs to it is taken once, alone. */
    @Test
    void malformedReplyFailsOneCallAndASecondCopyNone() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        Socket spoilt = send(httpRequest("buy", "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n", "a"));
        Map<?, ?> first = awaitCommand("launch");
        sendDownstreamCall(1, first);
        Socket its = acceptCall(first);
        // Held open until the end of the test.
        Socket unusedEdge = send(httpRequest("look", "", ""));
        Map<?, ?> second = awaitCommand("launch");
        String id = "" + second.get("req");
        sendDownstreamCall(2, second);
        Socket other = acceptCall(second);
        sendReply(its, "\u0007noise");
        assertEquals(500, readAnswer(spoilt).status());
        sendReply(other, "0123456789abcdef DONE 1\r\nx\r\n");
        sendReply(other, id + " DONE 1\r\na\r\n" + id + " DONE 1\r\na\r\n");
        assertEquals("YQ==", awaitCommand("deliver").get("payload"));
        sendDownstreamCall(3, second);
        Socket next = acceptCall(second);
        assertEquals(4, its.getInputStream().readAllBytes().length);
        sendReply(next, id + " DONE 1\r\nb\r\n");
        assertEquals("Yg==", awaitCommand("deliver").get("payload"));
        // A copy may follow late: the run's next call is on another connection even where this one is of use still.
        sendDownstreamCall(4, second);
        Socket last = acceptCall(second);
        sendReply(next, id + " DONE 1\r\nb\r\n");
        // A length that does not fit: the rest never comes, and it is not waited for until the end.
        sendReply(last, id + " DONE 9\r\nc\r\n");
        assertEquals(4, last.getInputStream().readAllBytes().length);
    }

    /** Replaced under load, the configuration moves the parties and costs no run, no call, no notice and no connection. */
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
        String whole = configuration();
        Files.writeString(configFile, whole.substring(0, 100));
        String pid = "" + program.pid();
        assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
        // What is half written is not taken over, and is read again.
        String line = program.inputReader().readLine();
        while (!line.contains("configuration-reload-rejected")) {
            line = program.inputReader().readLine();
        }
        Files.writeString(configFile, whole);
        Socket oldAgent = agentLink;
        acceptAgentLink(1);
        // Until the new link is greeted the old one carries what there is.
        Socket newAgent = agentLink;
        agentLink = oldAgent;
        sendOutcome(2, second, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readAnswer(running).body());
        agentLink = newAgent;
        sendToBackend("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        sendOutcome(2, second, "ERROR", new byte[0]);
        // The call in hand ends where it is; the next one goes to the new place.
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
        assertArrayEquals(new byte[] {8}, readAnswer(calling).body());
        directorySocket.receive(new DatagramPacket(new byte[100], 100));
    }

    /** A party that takes what is written and says nothing: its connection is made anew, and not waited on for ever. */
    @Test
    void silentPeerIsNotWaitedForIndefinitely() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        Socket slow = send("POST /svc/look HTTP/1.1\r\nReq-Id: ");
        Socket check = send("GET /status/live?real=1 HTTP/1.1\r\n\r\n");
        awaitCommand("exercise");
        assertEquals(503, readAnswer(check).status());
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

    /** Within 3 s of connecting each hears something; a connection that was of use may be idle for longer. */
    @Test
    void connectionWithoutACompleteMessageIsClosedInTime() throws IOException {
        startAndLinkAgent();
        sendGreeting();
        Socket used = send("GET /status/live HTTP/1.1\r\n\r\n");
        assertEquals(200, readAnswer(used).status());
        long from = System.nanoTime();
        Socket silent = send("");
        Socket half = send(httpRequest("look", "", "body").replace("Length: 4", "Length: 40"));
        assertEquals(-1, silent.getInputStream().read());
        assertEquals(-1, half.getInputStream().read());
        long took = (System.nanoTime() - from) / 1_000_000;
        assertTrue(took < 3000, took + " ms");
        send(used, "GET /status/live HTTP/1.1\r\n\r\n");
        assertEquals(200, readAnswer(used).status());
    }

    @Test
    void sigtermAnswersWhatIsInFlightAndEnds() throws IOException, InterruptedException {
        startAndLinkAgent();
        sendGreeting();
        Socket edge = send(httpRequest("buy", "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n", "a"));
        Map<?, ?> launch = awaitCommand("launch");
        Socket check = send("GET /status/live HTTP/1.1\r\n\r\n");
        program.destroy();
        // Its health is bad from the notice on, and that is seen before anything else is told.
        while (readAnswer(check).status() != 503) {
            send(check, "GET /status/live HTTP/1.1\r\n\r\n");
        }
        sendOutcome(1, launch, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, readAnswer(edge).body());
        // All is answered and the grace is over: what still comes on a connection that stayed open hears that it did
        // not run.
        Thread.sleep(500);
        HttpAnswer late = readAnswer(send(check, httpRequest("look", "", "")));
        assertEquals(503, late.status());
        assertTrue(late.head().contains("Connection: close"), late.head());
        check.close();
        edge.close();
        assertTrue(program.waitFor(5, TimeUnit.SECONDS), "with nobody connected it does not wait for its stop");
        assertEquals(143, program.exitValue());
    }

    @Test
    void unusableConfigurationIsReportedInOneLine() throws IOException, InterruptedException {
        String good = "{\"listen\":\"127.0.0.1:" + agentListener.getLocalPort()
                + "\",\"agent\":\"127.0.0.1:1\",\"lookup\":\"127.0.0.1:1\"}";
        String[] bad = {
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
        for (String each : bad) {
            start(each);
            String said = new String(program.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(1, program.waitFor(), each);
            assertTrue(said.startsWith("merlinlever: ") && said.indexOf('\n') == said.length() - 1, said);
        }
    }
}
