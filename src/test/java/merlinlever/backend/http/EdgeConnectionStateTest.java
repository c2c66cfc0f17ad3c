package merlinlever.backend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import merlinlever.backend.http.EdgeConnection.State;
import org.junit.jupiter.api.Test;

/** Resets, late health results and floods in each state of a connection. */
class EdgeConnectionStateTest extends EdgeServerFixture {

    EdgeConnectionStateTest() throws IOException {}

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** A reset in each state leaves nothing in any table, and stops the request's run once. */
    @Test
    void aResetInEachStateLeavesNothingBehind() throws Exception {
        listen(100);
        List<Socket> all = new ArrayList<>();
        all.add(connect());
        await(State.NEW, 1);
        all.add(send(HEALTH_CHECK));
        await(State.IDLE, 1);
        all.add(send(HEALTH_CHECK + "POST "));
        await(State.RECEIVING, 1);
        all.add(send(request("", "body")));
        await(State.IN_FLIGHT, 1);
        all.add(send("nonsense\r\n\r\n"));
        await(State.LINGERING, 1);
        // Responses that nobody reads: the system buffers only so many.
        Socket answering = connect();
        all.add(answering);
        Thread flood = new Thread(() -> {
            try {
                while (true) {
                    write(answering, "GET /none HTTP/1.1\r\n\r\n".repeat(5000));
                }
            } catch (IOException e) {
                // Reset, as it should be.
            }
        });
        flood.start();
        await(State.RESPONDING, 1);
        assertEquals(6, edge.count());
        for (Socket each : all) {
            reset(each);
        }
        flood.join();
        await(() -> edge.count() == 0, "some are left");
        awaitAgentCommands(2);
        assertEquals(
                List.of("launch", "stop"),
                agentCommands.stream().map(word -> word.split(" ")[0]).toList());
        // The run ends after its caller has disconnected: nobody is answered.
        completeRun(agentCommands.get(0), new byte[] {'7'});
        runOnLoop(() -> assertTrue(edge.hasFlushedAllResponses() && edge.hasNoConnections()));
    }

    /** A health result that comes after its client has disconnected answers nobody else. */
    @Test
    void aLateHealthResultAnswersOnlyItsOwnCheck() throws Exception {
        listen(100);
        Socket gone = send("GET /status/live?real=1 HTTP/1.1\r\n\r\n");
        await(State.IN_FLIGHT, 1);
        reset(gone);
        await(() -> edge.count() == 0, "it is still there");
        Socket other = send("GET /status/live?real=1 HTTP/1.1\r\n\r\n" + request("", "body"));
        await(State.IN_FLIGHT, 1);
        // The result answers the check; the request behind it is read then, and a second result does not affect it.
        runOnLoop(() -> backend.deepCheckCompleted(true));
        assertStatus(200, other);
        awaitAgentCommands(2);
        runOnLoop(() -> backend.deepCheckCompleted(false));
        completeRun(agentCommands.get(1), new byte[] {'7'});
        String answer = readResponse(other);
        assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("\r\n\r\n7"), answer);
        assertEquals(List.of("deep-check"), agentCommands.subList(0, 1));
    }

    /** Thousands of pipelined requests are answered in order, without delaying another client. */
    @Test
    void thousandsOfRequestsAtOnceAreAnsweredInOrder() throws Exception {
        listen(100);
        Socket many = connect();
        Thread writer = new Thread(() -> {
            try {
                for (int i = 0; i < 2000; i++) {
                    write(many, (i % 2 == 0 ? HEALTH_CHECK : "GET /none HTTP/1.1\r\n\r\n").repeat(1));
                }
            } catch (IOException e) {
                failures.add(e);
            }
        });
        writer.start();
        assertStatus(200, send(HEALTH_CHECK));
        for (int i = 0; i < 2000; i++) {
            assertStatus(i % 2 == 0 ? 200 : 404, many);
        }
        writer.join();
    }

    /** The bytes of a body that is too long are dropped for a bounded time, and the rejection arrives before. */
    @Test
    void anUnboundedBodyIsRejectedAndTheConnectionClosed() throws Exception {
        listen(100);
        for (String head : new String[] {
            "Content-Length: 60000000\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n",
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
            "Content-Length: -1\r\n\r\n"
        }) {
            Socket socket = send("POST /svc/look HTTP/1.1\r\n" + head);
            String answer = readResponse(socket);
            assertTrue(
                    answer.startsWith("HTTP/1.1 413 ")
                            || answer.startsWith("HTTP/1.1 501 ")
                            || answer.startsWith("HTTP/1.1 400 "),
                    answer);
            assertTrue(answer.contains("Connection: close\r\n"));
            for (int i = 0; i < 20; i++) {
                write(socket, request("", "hidden"));
            }
            assertEndOfStream(socket);
            advance(1200);
            assertEquals(0, edge.count());
        }
        assertEquals(List.of(), agentCommands);
    }

    /** "100 Continue" is sent once, before the response and not within another one. */
    @Test
    void continueIsSentOnceAndBeforeItsOwnResponse() throws Exception {
        listen(100);
        String operation = request("Expect: 100-continue\r\n", "body");
        int body = operation.length() - 4;
        Socket socket = send(HEALTH_CHECK + operation.substring(0, body));
        assertStatus(200, socket);
        assertStatus(100, socket);
        write(socket, operation.substring(body, body + 2));
        runPendingWork();
        write(socket, operation.substring(body + 2) + HEALTH_CHECK);
        awaitAgentCommands(1);
        completeRun(agentCommands.get(0), new byte[] {'7'});
        assertTrue(readResponse(socket).endsWith("\r\n\r\n7"));
        assertStatus(200, socket);
    }

    /** A client that reads no responses is disconnected after 5 s, however long it goes on sending. */
    @Test
    void aClientThatReadsNoResponsesIsDisconnected() throws Exception {
        listen(100);
        Socket socket = connect();
        Thread flood = new Thread(() -> {
            try {
                while (true) {
                    write(socket, "GET /none HTTP/1.1\r\n\r\n".repeat(5000));
                }
            } catch (IOException e) {
                // Closed, as it should be.
            }
        });
        flood.start();
        // Until the system's buffers are full it is in RESPONDING now and then; from then on it stays there.
        long until = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (flood.isAlive()) {
            assertTrue(System.nanoTime() < until, "it is not ended");
            advance(500);
        }
        await(() -> edge.count() == 0, "it is still there");
    }
}
