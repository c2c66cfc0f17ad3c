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
import net.jqwik.api.Example;

/** What the whole program does on sockets. */
class ServeCommandTest extends ServeProcessFixture {

    ServeCommandTest() throws IOException {}

    @Example
    void anOperationWithACallIsServedAndItsRepeatGetsTheSameBytes() throws IOException {
        startUp();
        greet();
        byte[] bytes = new byte[256];
        for (int i = 0; i < 256; i++) {
            bytes[i] = (byte) i;
        }
        String token = "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n";
        Socket edge = new Socket(HERE, port);
        edge.setTcpNoDelay(true);
        for (char c : operation("buy", token, new String(bytes, StandardCharsets.ISO_8859_1))
                .toCharArray()) {
            ask(edge, "" + c);
        }
        Map<?, ?> launch = hear("launch");
        assertEquals("buy", launch.get("method"));
        assertArrayEquals(bytes, Base64.getDecoder().decode((String) launch.get("payload")));
        tell("{\"cmd\":\"request\",\"offset\":1,\"req\":\"" + launch.get("req") + "\",\"payload\":\"AQI=\"}");
        record = records.accept();
        assertTrue(recordsLine().matches("OP " + launch.get("req") + " [0-9]+ 2"));
        assertArrayEquals(new byte[] {1, 2, '\r', '\n'}, record.getInputStream().readNBytes(4));
        record.getOutputStream().write((launch.get("req") + " DONE 2\r\n\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        Map<?, ?> deliver = hear("deliver");
        assertArrayEquals(new byte[] {'\r', '\n'}, Base64.getDecoder().decode((String) deliver.get("payload")));
        outcome(2, launch, "OK", bytes);
        outcome(2, launch, "ERROR", new byte[0]);
        HttpAnswer first = answer(edge);
        assertEquals(200, first.status());
        assertArrayEquals(bytes, first.body());
        HttpAnswer repeat = answer(ask(operation("buy", token, new String(bytes, StandardCharsets.ISO_8859_1))));
        assertEquals(200, repeat.status());
        assertArrayEquals(bytes, repeat.body());
        // The connection goes on; the next that reaches the agent is the next operation, not the repeat.
        ask(edge, operation("look", "", ""));
        Map<?, ?> next = hear("launch");
        assertEquals("look", next.get("method"));
        outcome(3, next, "ERROR", new byte[0]);
        assertEquals(500, answer(edge).status());
        DatagramPacket report = new DatagramPacket(new byte[100], 100);
        directory.receive(report);
        assertEquals("PULSE n3 open", new String(report.getData(), 0, report.getLength(), StandardCharsets.UTF_8));
    }

    @Example
    void beforeTheAgentIsUpOperationsArePushedBackAndChecksAreBad() throws IOException {
        startUp();
        assertEquals(503, answer(ask(operation("look", "", ""))).status());
        assertEquals(503, answer(ask("GET /status/live HTTP/1.1\r\n\r\n")).status());
        greet();
        assertEquals(200, answer(ask("GET /status/live HTTP/1.1\r\n\r\n")).status());
        for (String how : new String[] {"OK", "ERROR"}) {
            Socket check = ask("GET /status/live?real=1 HTTP/1.1\r\n\r\n");
            tell("{\"cmd\":\"exercised\",\"token\":\"" + hear("exercise").get("token") + "\",\"result\":\"" + how
                    + "\"}");
            assertEquals(how.equals("OK") ? 200 : 503, answer(check).status());
        }
    }

    @Example
    void whatIsNoOperationGetsItsStatusAndNeverReachesTheAgent() throws IOException {
        startUp();
        greet();
        String good = operation("look", "", "");
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
            {"400", operation("buy", "", "")},
            {"400", good.replace("Req-Time: ", "Req-Time: 9")}
        };
        for (String[] each : bad) {
            assertEquals(Integer.parseInt(each[0]), answer(ask(each[1])).status(), each[1]);
        }
        Socket edge = ask(good);
        outcome(1, hear("launch"), "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, answer(edge).body());
    }

    /** More connections than there is room for: the idlest make room, and those with an operation stay. */
    @Example
    void outOfDescriptorsTheIdlestConnectionsMakeRoom() throws IOException {
        startUp();
        greet();
        Socket busy = ask(operation("look", "", ""));
        Map<?, ?> launch = hear("launch");
        for (int i = 0; i < 60; i++) {
            assertEquals(200, answer(ask("GET /status/live HTTP/1.1\r\n\r\n")).status());
        }
        outcome(1, launch, "OK", new byte[] {7});
        assertEquals(200, answer(busy).status());
    }

    @Example
    void aCallerThatGoesEndsTheRunAndALostLinkDoesNot() throws IOException {
        startUp();
        greet();
        Socket gone = ask(operation("look", "", ""));
        Map<?, ?> first = hear("launch");
        gone.close();
        assertEquals(first.get("req"), hear("freeze").get("req"));
        outcome(1, first, "STOPPED", new byte[0]);
        Socket edge = ask(operation("look", "", ""));
        Map<?, ?> launch = hear("launch");
        agent.close();
        link(1);
        tell("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        // What may have been lost with the link is asked again once all notices are read; here it runs already.
        assertEquals(launch.get("req"), hear("launch").get("req"));
        tell("no json");
        outcome(2, launch, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, answer(edge).body());
    }

    private void reachesCall(long offset, Map<?, ?> launch) throws IOException {
        tell("{\"cmd\":\"request\",\"offset\":" + offset + ",\"req\":\"" + launch.get("req")
                + "\",\"payload\":\"AQI=\"}");
    }

    private void reply(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private Socket callOf(Map<?, ?> launch) throws IOException {
        record = records.accept();
        assertTrue(recordsLine().startsWith("OP " + launch.get("req")));
        return record;
    }

    /** A reply that is spoilt costs its own call; one that brings more than belongs to it is taken once, alone. */
    @Example
    void aSpoiltReplyCostsOneCallAndASecondCopyNone() throws IOException {
        startUp();
        greet();
        Socket spoilt = ask(operation("buy", "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n", "a"));
        Map<?, ?> first = hear("launch");
        reachesCall(1, first);
        Socket its = callOf(first);
        Socket edge = ask(operation("look", "", ""));
        Map<?, ?> second = hear("launch");
        String id = "" + second.get("req");
        reachesCall(2, second);
        Socket other = callOf(second);
        reply(its, "\u0007noise");
        assertEquals(500, answer(spoilt).status());
        reply(other, "0123456789abcdef DONE 1\r\nx\r\n");
        reply(other, id + " DONE 1\r\na\r\n" + id + " DONE 1\r\na\r\n");
        assertEquals("YQ==", hear("deliver").get("payload"));
        reachesCall(3, second);
        Socket next = callOf(second);
        assertEquals(4, its.getInputStream().readAllBytes().length);
        reply(next, id + " DONE 1\r\nb\r\n");
        assertEquals("Yg==", hear("deliver").get("payload"));
        // A copy may follow late: the run's next call is on another connection even where this one is of use still.
        reachesCall(4, second);
        Socket last = callOf(second);
        reply(next, id + " DONE 1\r\nb\r\n");
        // A length that does not fit: the rest never comes, and it is not waited for until the end.
        reply(last, id + " DONE 9\r\nc\r\n");
        assertEquals(4, last.getInputStream().readAllBytes().length);
    }

    /** Replaced under load, the configuration moves the parties and costs no run, no call, no notice and no connection. */
    @Example
    void aReplacedConfigurationMovesThePartiesUnderWorkInHand() throws IOException, InterruptedException {
        startUp();
        greet();
        Socket calling = ask(operation("look", "", ""));
        Map<?, ?> first = hear("launch");
        tell("{\"cmd\":\"request\",\"offset\":1,\"req\":\"" + first.get("req") + "\",\"payload\":\"AQI=\"}");
        record = records.accept();
        assertTrue(recordsLine().startsWith("OP " + first.get("req")));
        Socket running = ask(operation("look", "", ""));
        Map<?, ?> second = hear("launch");
        agents.close();
        records.close();
        directory.close();
        agents = new ServerSocket(0, 50, HERE);
        records = new ServerSocket(0, 50, HERE);
        directory = new DatagramSocket(0, HERE);
        patience();
        String whole = configuration();
        Files.writeString(file, whole.substring(0, 100));
        String pid = "" + program.pid();
        assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
        // What is half written is not taken over, and is read again.
        String line = program.inputReader().readLine();
        while (!line.contains("not taken over")) {
            line = program.inputReader().readLine();
        }
        Files.writeString(file, whole);
        Socket oldAgent = agent;
        link(1);
        // Until the new link is greeted the old one carries what there is.
        Socket newAgent = agent;
        agent = oldAgent;
        outcome(2, second, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, answer(running).body());
        agent = newAgent;
        tell("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        outcome(2, second, "ERROR", new byte[0]);
        // The call in hand ends where it is; the next one goes to the new place.
        record.getOutputStream().write((first.get("req") + " DONE 1\r\na\r\n").getBytes(StandardCharsets.US_ASCII));
        assertEquals("YQ==", hear("deliver").get("payload"));
        tell("{\"cmd\":\"request\",\"offset\":3,\"req\":\"" + first.get("req") + "\",\"payload\":\"AQI=\"}");
        record = records.accept();
        assertTrue(recordsLine().startsWith("OP " + first.get("req")));
        record.getOutputStream().write((first.get("req") + " DONE 1\r\nb\r\n").getBytes(StandardCharsets.US_ASCII));
        assertEquals("Yg==", hear("deliver").get("payload"));
        outcome(4, first, "OK", new byte[] {8});
        assertArrayEquals(new byte[] {8}, answer(calling).body());
        directory.receive(new DatagramPacket(new byte[100], 100));
    }

    /** A party that takes what is written and says nothing: its connection is made anew, and not waited on for ever. */
    @Example
    void whoFallsSilentIsNotWaitedOnForEver() throws IOException {
        startUp();
        greet();
        Socket slow = ask("POST /svc/look HTTP/1.1\r\nReq-Id: ");
        Socket check = ask("GET /status/live?real=1 HTTP/1.1\r\n\r\n");
        hear("exercise");
        assertEquals(503, answer(check).status());
        ask(operation("look", "", ""));
        Map<?, ?> waiting = hear("launch");
        tell("{\"cmd\":\"request\",\"offset\":1,\"req\":\"" + waiting.get("req") + "\",\"payload\":\"AQI=\"}");
        record = records.accept();
        assertTrue(recordsLine().startsWith("OP " + waiting.get("req")));
        link(1);
        tell("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":70000}");
        ask(operation("look", "", ""));
        Map<?, ?> launch = hear("launch");
        tell("{\"cmd\":\"request\",\"offset\":2,\"req\":\"" + launch.get("req") + "\",\"payload\":\"AQI=\"}");
        record = records.accept();
        assertTrue(recordsLine().startsWith("OP " + launch.get("req")));
        assertEquals(-1, slow.getInputStream().read());
    }

    /** Within 3 s of connecting each hears something; a connection that was of use may be idle for longer. */
    @Example
    void whoConnectsAndBringsNothingWholeIsClosedInTime() throws IOException {
        startUp();
        greet();
        Socket used = ask("GET /status/live HTTP/1.1\r\n\r\n");
        assertEquals(200, answer(used).status());
        long from = System.nanoTime();
        Socket silent = ask("");
        Socket half = ask(operation("look", "", "body").replace("Length: 4", "Length: 40"));
        assertEquals(-1, silent.getInputStream().read());
        assertEquals(-1, half.getInputStream().read());
        long took = (System.nanoTime() - from) / 1_000_000;
        assertTrue(took < 3000, took + " ms");
        ask(used, "GET /status/live HTTP/1.1\r\n\r\n");
        assertEquals(200, answer(used).status());
    }

    @Example
    void toldToLeaveItAnswersWhatItHasAndEnds() throws IOException, InterruptedException {
        startUp();
        greet();
        Socket edge = ask(operation("buy", "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n", "a"));
        Map<?, ?> launch = hear("launch");
        Socket check = ask("GET /status/live HTTP/1.1\r\n\r\n");
        program.destroy();
        // Its health is bad from the notice on, and that is seen before anything else is told.
        while (answer(check).status() != 503) {
            ask(check, "GET /status/live HTTP/1.1\r\n\r\n");
        }
        outcome(1, launch, "OK", new byte[] {7});
        assertArrayEquals(new byte[] {7}, answer(edge).body());
        // All is answered and the grace is over: what still comes on a connection that stayed open hears that it did
        // not run.
        Thread.sleep(500);
        HttpAnswer late = answer(ask(check, operation("look", "", "")));
        assertEquals(503, late.status());
        assertTrue(late.head().contains("Connection: close"), late.head());
        check.close();
        edge.close();
        assertTrue(program.waitFor(5, TimeUnit.SECONDS), "with nobody connected it does not wait for its stop");
        assertEquals(143, program.exitValue());
    }

    @Example
    void whatItCannotStartWithIsSaidInOneLine() throws IOException, InterruptedException {
        String good = "{\"listen\":\"127.0.0.1:" + agents.getLocalPort()
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
