package merlinlever.backend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import merlinlever.backend.http.EdgeConnection.State;
import org.junit.jupiter.api.Test;

/** Tests resets, late health results and floods of requests in each state of a connection. */
class EdgeConnectionStateTest extends EdgeServerFixture {

    EdgeConnectionStateTest() throws IOException {}

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** After a reset in any state, the connection is removed and the run of a request in flight is stopped once. */
    @Test
    void removesAConnectionResetInAnyState() throws Exception {
        listen(100);
        List<Socket> sockets = new ArrayList<>();
        sockets.add(connect());
        await(State.NEW, 1);
        sockets.add(send(HEALTH_CHECK));
        await(State.IDLE, 1);
        sockets.add(send(HEALTH_CHECK + "POST "));
        await(State.RECEIVING, 1);
        sockets.add(send(request("", "body")));
        await(State.IN_FLIGHT, 1);
        sockets.add(send("nonsense\r\n\r\n"));
        await(State.LINGERING, 1);
        // The client reads no responses, so that the system's buffers fill up and the server cannot finish writing.
        Socket respondingSocket = connect();
        sockets.add(respondingSocket);
        Thread flood = new Thread(() -> {
            try {
                while (true) {
                    write(respondingSocket, "GET /none HTTP/1.1\r\n\r\n".repeat(5000));
                }
            } catch (IOException e) {
                // The test resets the connection.
            }
        });
        flood.start();
        await(State.RESPONDING, 1);
        assertEquals(6, edge.count());
        for (Socket socket : sockets) {
            reset(socket);
        }
        flood.join();
        await(() -> edge.count() == 0, "connections are still open");
        awaitAgentCommands(2);
        assertEquals(
                List.of("launch", "stop"),
                agentCommands.stream().map(command -> command.split(" ")[0]).toList());
        // The outcome of the run is ignored because the caller has disconnected.
        completeRun(agentCommands.get(0), new byte[] {'7'});
        runOnLoop(() -> assertTrue(edge.hasFlushedAllResponses() && edge.hasNoConnections()));
    }

    /** A health result that arrives after its client has disconnected is not sent to another client. */
    @Test
    void doesNotSendALateHealthResultToAnotherClient() throws Exception {
        listen(100);
        Socket disconnected = send("GET /status/live?real=1 HTTP/1.1\r\n\r\n");
        await(State.IN_FLIGHT, 1);
        reset(disconnected);
        await(() -> edge.count() == 0, "connection is still open");
        Socket connected = send("GET /status/live?real=1 HTTP/1.1\r\n\r\n" + request("", "body"));
        await(State.IN_FLIGHT, 1);
        // The first result answers the health check. The server then reads the pipelined request, which a second result
        // must not answer.
        runOnLoop(() -> backend.deepCheckCompleted(true));
        assertStatus(200, connected);
        awaitAgentCommands(2);
        runOnLoop(() -> backend.deepCheckCompleted(false));
        completeRun(agentCommands.get(1), new byte[] {'7'});
        String response = readResponse(connected);
        assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("\r\n\r\n7"), response);
        assertEquals(List.of("deep-check"), agentCommands.subList(0, 1));
    }

    /** Thousands of pipelined requests are answered in order, without delaying another client. */
    @Test
    void answersThousandsOfPipelinedRequestsInOrder() throws Exception {
        listen(100);
        Socket pipelining = connect();
        Thread writer = new Thread(() -> {
            try {
                for (int i = 0; i < 2000; i++) {
                    write(pipelining, (i % 2 == 0 ? HEALTH_CHECK : "GET /none HTTP/1.1\r\n\r\n").repeat(1));
                }
            } catch (IOException e) {
                failures.add(e);
            }
        });
        writer.start();
        assertStatus(200, send(HEALTH_CHECK));
        for (int i = 0; i < 2000; i++) {
            assertStatus(i % 2 == 0 ? 200 : 404, pipelining);
        }
        writer.join();
    }

    /** A request with an invalid or too long body is rejected; its further bytes are dropped for a limited time. */
    @Test
    void rejectsAnUnboundedBodyAndClosesTheConnection() throws Exception {
        listen(100);
        for (String bodyHeaders : new String[] {
            "Content-Length: 60000000\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n",
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
            "Content-Length: -1\r\n\r\n"
        }) {
            Socket socket = send("POST /svc/look HTTP/1.1\r\n" + bodyHeaders);
            String response = readResponse(socket);
            assertTrue(
                    response.startsWith("HTTP/1.1 413 ")
                            || response.startsWith("HTTP/1.1 501 ")
                            || response.startsWith("HTTP/1.1 400 "),
                    response);
            assertTrue(response.contains("Connection: close\r\n"));
            for (int i = 0; i < 20; i++) {
                write(socket, request("", "hidden"));
            }
            assertEndOfStream(socket);
            advance(1200);
            assertEquals(0, edge.count());
        }
        assertEquals(List.of(), agentCommands);
    }

    /** "100 Continue" is sent once, after the previous response and before the response to its own request. */
    @Test
    void sendsContinueOnceBeforeItsOwnResponse() throws Exception {
        listen(100);
        String request = request("Expect: 100-continue\r\n", "body");
        int bodyStart = request.length() - 4;
        Socket socket = send(HEALTH_CHECK + request.substring(0, bodyStart));
        assertStatus(200, socket);
        assertStatus(100, socket);
        write(socket, request.substring(bodyStart, bodyStart + 2));
        runPendingWork();
        write(socket, request.substring(bodyStart + 2) + HEALTH_CHECK);
        awaitAgentCommands(1);
        completeRun(agentCommands.get(0), new byte[] {'7'});
        assertTrue(readResponse(socket).endsWith("\r\n\r\n7"));
        assertStatus(200, socket);
    }

    /** A client that reads no responses is disconnected after 5 s, even while the client continues to send requests. */
    @Test
    void disconnectsAClientThatReadsNoResponses() throws Exception {
        listen(100);
        Socket socket = connect();
        Thread flood = new Thread(() -> {
            try {
                while (true) {
                    write(socket, "GET /none HTTP/1.1\r\n\r\n".repeat(5000));
                }
            } catch (IOException e) {
                // The server has closed the connection.
            }
        });
        flood.start();
        // Once the system's buffers are full, the connection remains in state RESPONDING.
        long deadlineNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (flood.isAlive()) {
            assertTrue(System.nanoTime() < deadlineNanos, "connection was not closed");
            advance(500);
        }
        await(() -> edge.count() == 0, "connection is still open");
    }
}
