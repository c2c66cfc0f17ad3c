package merlinlever.backend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import merlinlever.backend.http.EdgeConnection.State;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import org.junit.jupiter.api.Test;

/** Tests input that races the close of a connection, for the various reasons to close. */
class EdgeCloseRaceTest extends EdgeServerFixture {

    EdgeCloseRaceTest() throws IOException {}

    /**
     * Asserts that the edge node reads an end of stream and can continue to write without a reset, and that no request
     * is run. If the server closed the connection immediately, the unread bytes would cause a reset.
     */
    private void assertBytesAfterCloseAreDropped(Socket socket, String firstBytes) throws Exception {
        assertEndOfStream(socket);
        for (int i = 0; i < 20; i++) {
            write(socket, i == 0 ? firstBytes : request("", "again"));
            runPendingWork();
        }
        assertEquals(List.of(), agentCommands);
        // After the lingering time the server closes the connection, so that further writes fail.
        advance(1200);
        boolean closed = false;
        for (int i = 0; i < 200 && !closed; i++) {
            try {
                write(socket, "x");
                Thread.sleep(1);
            } catch (IOException e) {
                closed = true;
            }
        }
        assertTrue(closed, "connection is still open");
        runOnLoop(() -> assertTrue(edge.hasNoConnections()));
    }

    @Test
    void doesNotRunARequestRacingTheCloseOfAnIdleConnection() throws Exception {
        listen(100);
        Socket socket = send(HEALTH_CHECK);
        assertStatus(200, socket);
        advance(8_300);
        assertBytesAfterCloseAreDropped(socket, request("", "body"));
    }

    @Test
    void doesNotRunARequestRacingTheCloseOfAnUnusedConnection() throws Exception {
        listen(100);
        Socket socket = connect();
        await(State.NEW, 1);
        advance(2_700);
        assertBytesAfterCloseAreDropped(socket, request("", "body"));
    }

    @Test
    void doesNotRunARequestCompletedDuringTheClose() throws Exception {
        listen(100);
        Socket socket = send(HEALTH_CHECK);
        assertStatus(200, socket);
        String request = request("", "body");
        write(socket, request.substring(0, 10));
        await(State.RECEIVING, 1);
        advance(5_200);
        assertBytesAfterCloseAreDropped(socket, request.substring(10));
    }

    /**
     * A request is run if its bytes were queued in the loop before the idle timeout, even if a backlog of tasks delays
     * the processing until after the timeout.
     */
    @Test
    void runsARequestQueuedInTheLoopBeforeTheIdleTimeout() throws Exception {
        listen(100);
        StringBuilder received = new StringBuilder();
        Connection[] clientEnd = new Connection[1];
        runOnLoop(() -> edge.addConnection(handler -> Connection.inMemory(
                loop,
                handler,
                new Connection.InMemoryPeer() {
                    @Override
                    public void attach(Connection connection) {
                        clientEnd[0] = connection;
                    }

                    @Override
                    public void onReceived(ByteBuffer input) {
                        received.append(StandardCharsets.ISO_8859_1.decode(input));
                    }

                    @Override
                    public void onClosed(CloseReason reason) {
                        received.append(reason);
                    }
                },
                EdgeConnection.READ_BUFFER_BYTES,
                EdgeConnection.MAX_QUEUED_BYTES)));
        runOnLoop(() -> clientEnd[0].write(ByteBuffer.wrap(HEALTH_CHECK.getBytes(StandardCharsets.US_ASCII))));
        await(State.IDLE, 1);
        advance(7_900);
        // A batch has 256 tasks. The written bytes are queued after these tasks at the end of the first batch. The
        // clock
        // advances in the second batch, after which the timers run. The third batch reads the bytes.
        runOnLoop(() -> {
            clientEnd[0].write(ByteBuffer.wrap(request("", "body").getBytes(StandardCharsets.ISO_8859_1)));
            for (int i = 0; i < 600; i++) {
                loop.execute(i == 400 ? () -> nanos.addAndGet(400_000_000) : () -> {});
            }
        });
        runPendingWork();
        awaitAgentCommands(1);
        received.setLength(0);
        completeRun(agentCommands.get(0), new byte[] {'7'});
        assertTrue(
                received.toString().startsWith("HTTP/1.1 200 OK")
                        && received.toString().endsWith("\r\n\r\n7"),
                received.toString());
    }

    /** After a pause longer than any time limit, connections remain open and their input is processed. */
    @Test
    void doesNotCountAProcessPauseTowardsTimeouts() throws Exception {
        listen(100);
        Socket unused = connect();
        Socket incomplete = send(HEALTH_CHECK);
        assertStatus(200, incomplete);
        write(incomplete, HEALTH_CHECK.substring(0, 10));
        await(State.RECEIVING, 1);
        await(State.NEW, 1);
        advanceAtOnce(30_000);
        advance(200);
        write(unused, HEALTH_CHECK);
        assertStatus(200, unused);
        write(incomplete, HEALTH_CHECK.substring(10));
        assertStatus(200, incomplete);
    }

    /** During a drain, idle connections are shut down and drop further input, and requests in flight are answered. */
    @Test
    void closesIdleConnectionsAndAnswersRequestsInFlightOnShutdown() throws Exception {
        listen(100);
        Socket idle = send(HEALTH_CHECK);
        assertStatus(200, idle);
        Socket busy = send(request("", "body"));
        awaitAgentCommands(1);
        runOnLoop(() -> {
            edge.close();
            edge.closeIdleConnections();
        });
        assertEndOfStream(idle);
        write(idle, request("", "late"));
        completeRun(agentCommands.get(0), new byte[] {'7'});
        String response = readResponse(busy);
        assertTrue(response.contains("Connection: close\r\n") && response.endsWith("7"), response);
        assertEquals(1, agentCommands.size());
    }

    /** A pipelined request after the last request of a connection is not run and does not cause a reset. */
    @Test
    void doesNotRunARequestAfterTheLastResponse() throws Exception {
        listen(100);
        Socket socket = send(request("Connection: close\r\n", "body") + request("", "second"));
        awaitAgentCommands(1);
        completeRun(agentCommands.get(0), new byte[] {'7'});
        write(socket, request("", "third"));
        runPendingWork();
        assertTrue(readResponse(socket).contains("Connection: close\r\n"));
        assertEndOfStream(socket);
        assertEquals(1, agentCommands.size());
    }

    /** A request that is incomplete when the acceptor closes is read and answered before the connection is closed. */
    @Test
    void answersARequestCompletedAfterTheAcceptorClosed() throws Exception {
        listen(100);
        String request = request("", "body");
        Socket incomplete = send(request.substring(0, request.length() - 3));
        await(State.NEW, 1);
        runOnLoop(edge::close);
        advance(100);
        runOnLoop(() -> backend.startDrain(
                loop.clock().now().minusMillis(200), loop.clock().now().plusSeconds(2)));
        write(incomplete, request.substring(request.length() - 3));
        String response = readResponse(incomplete);
        assertTrue(response.startsWith("HTTP/1.1 503 ") && response.contains("Connection: close\r\n"), response);
        assertEndOfStream(incomplete);
        assertEquals(List.of(), agentCommands);
    }

    /** Connections in the system's backlog when the acceptor closes are accepted and answered. */
    @Test
    void answersConnectionsInTheBacklogWhenTheAcceptorCloses() throws Exception {
        listen(4);
        List<Socket> busy = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            busy.add(send(request("", "body")));
            awaitAgentCommands(i + 1);
        }
        // The connection limit is reached, so these connections wait in the system's backlog, with complete requests.
        List<Socket> backlog = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            backlog.add(send("GET /none HTTP/1.1\r\n\r\n"));
        }
        runOnLoop(edge::close);
        runOnLoop(() -> assertTrue(!edge.hasNoConnections()));
        for (Socket socket : busy) {
            completeRun(agentCommands.get(busy.indexOf(socket)), new byte[] {'7'});
            assertTrue(readResponse(socket).contains("Connection: close\r\n"));
            socket.close();
        }
        for (Socket socket : backlog) {
            String response = readResponse(socket);
            assertTrue(response.startsWith("HTTP/1.1 404 ") && response.contains("Connection: close\r\n"), response);
        }
    }
}
