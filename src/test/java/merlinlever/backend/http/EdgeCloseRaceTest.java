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

/** Bytes of an edge node that race the close of its connection: idle, unused, half read, evicted, draining. */
class EdgeCloseRaceTest extends EdgeServerFixture {

    EdgeCloseRaceTest() throws IOException {}

    /**
     * The edge node reads an end of stream and may write more than once without a reset, and nothing of that reaches
     * the agent. Closing at once would reset the connection because of the unread bytes.
     */
    private void assertBytesAfterCloseAreDropped(Socket socket, String rest) throws Exception {
        assertEndOfStream(socket);
        for (int i = 0; i < 20; i++) {
            write(socket, i == 0 ? rest : request("", "again"));
            runPendingWork();
        }
        assertEquals(List.of(), agentCommands);
        // After the lingering time it is closed, which resets it for a peer that goes on writing.
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
        assertTrue(closed, "it stays open");
        runOnLoop(() -> assertTrue(edge.hasNoConnections()));
    }

    @Test
    void aRequestRacingTheCloseOfAnIdleConnectionIsReadAndNotRun() throws Exception {
        listen(100);
        Socket socket = send(HEALTH_CHECK);
        assertStatus(200, socket);
        advance(8_300);
        assertBytesAfterCloseAreDropped(socket, request("", "body"));
    }

    @Test
    void aRequestRacingTheCloseOfAnUnusedConnectionIsReadAndNotRun() throws Exception {
        listen(100);
        Socket socket = connect();
        await(State.NEW, 1);
        advance(2_700);
        assertBytesAfterCloseAreDropped(socket, request("", "body"));
    }

    @Test
    void theRestOfAnIncompleteRequestRacingTheCloseIsReadAndNotRun() throws Exception {
        listen(100);
        Socket socket = send(HEALTH_CHECK);
        assertStatus(200, socket);
        String operation = request("", "body");
        write(socket, operation.substring(0, 10));
        await(State.RECEIVING, 1);
        advance(5_200);
        assertBytesAfterCloseAreDropped(socket, operation.substring(10));
    }

    /**
     * A request that was read before the idle timeout, but not processed as the loop has more than a batch to do, is
     * run.
     */
    @Test
    void aRequestAlreadyQueuedInTheLoopAtTheIdleTimeoutIsRun() throws Exception {
        listen(100);
        StringBuilder heard = new StringBuilder();
        Connection[] mine = new Connection[1];
        runOnLoop(() -> edge.addConnection(user -> Connection.inMemory(
                loop,
                user,
                new Connection.InMemoryPeer() {
                    @Override
                    public void attach(Connection connection) {
                        mine[0] = connection;
                    }

                    @Override
                    public void onReceived(ByteBuffer in) {
                        heard.append(StandardCharsets.ISO_8859_1.decode(in));
                    }

                    @Override
                    public void onClosed(CloseReason how) {
                        heard.append(how);
                    }
                },
                EdgeConnection.READ_BUFFER_BYTES,
                EdgeConnection.MAX_QUEUED_BYTES)));
        runOnLoop(() -> mine[0].write(ByteBuffer.wrap(HEALTH_CHECK.getBytes(StandardCharsets.US_ASCII))));
        await(State.IDLE, 1);
        advance(7_900);
        // Batches of 256: the written bytes are queued behind these tasks at the end of the first batch, time advances
        // in the second, whose timers are due at once, and the third reads the bytes.
        runOnLoop(() -> {
            mine[0].write(ByteBuffer.wrap(request("", "body").getBytes(StandardCharsets.ISO_8859_1)));
            for (int i = 0; i < 600; i++) {
                loop.execute(i == 400 ? () -> nanos.addAndGet(400_000_000) : () -> {});
            }
        });
        runPendingWork();
        awaitAgentCommands(1);
        heard.setLength(0);
        completeRun(agentCommands.get(0), new byte[] {'7'});
        assertTrue(
                heard.toString().startsWith("HTTP/1.1 200 OK")
                        && heard.toString().endsWith("\r\n\r\n7"),
                heard.toString());
    }

    /** The machine pauses for longer than any time limit: bytes that were written meanwhile are read first. */
    @Test
    void aProcessPauseDoesNotCountTowardsTimeouts() throws Exception {
        listen(100);
        Socket fresh = connect();
        Socket half = send(HEALTH_CHECK);
        assertStatus(200, half);
        write(half, HEALTH_CHECK.substring(0, 10));
        await(State.RECEIVING, 1);
        await(State.NEW, 1);
        advanceAtOnce(30_000);
        advance(200);
        write(fresh, HEALTH_CHECK);
        assertStatus(200, fresh);
        write(half, HEALTH_CHECK.substring(10));
        assertStatus(200, half);
    }

    /** Draining: idle connections end in good order and drop what comes then; requests in flight are answered. */
    @Test
    void onShutdownIdleConnectionsCloseAndInFlightRequestsAreAnswered() throws Exception {
        listen(100);
        Socket resting = send(HEALTH_CHECK);
        assertStatus(200, resting);
        Socket busy = send(request("", "body"));
        awaitAgentCommands(1);
        runOnLoop(() -> {
            edge.close();
            edge.closeIdleConnections();
        });
        assertEndOfStream(resting);
        write(resting, request("", "late"));
        completeRun(agentCommands.get(0), new byte[] {'7'});
        String answer = readResponse(busy);
        assertTrue(answer.contains("Connection: close\r\n") && answer.endsWith("7"), answer);
        assertEquals(1, agentCommands.size());
    }

    /**
     * A request behind one whose response says "close" is neither answered nor run, and the connection is not reset.
     */
    @Test
    void aRequestBehindTheLastResponseIsNotRunAndResetsNothing() throws Exception {
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

    /** Half a request as the acceptor closes: its rest is read and answered, and the connection ends. */
    @Test
    void aRequestCompletedAfterTheAcceptorClosedIsAnswered() throws Exception {
        listen(100);
        String operation = request("", "body");
        Socket half = send(operation.substring(0, operation.length() - 3));
        await(State.NEW, 1);
        runOnLoop(edge::close);
        advance(100);
        runOnLoop(() -> backend.startDrain(
                loop.clock().now().minusMillis(200), loop.clock().now().plusSeconds(2)));
        write(half, operation.substring(operation.length() - 3));
        String answer = readResponse(half);
        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Connection: close\r\n"), answer);
        assertEndOfStream(half);
        assertEquals(List.of(), agentCommands);
    }

    /** Connections in the system's backlog as the acceptor closes are accepted and answered. */
    @Test
    void connectionsInTheBacklogWhenTheAcceptorClosesAreAnswered() throws Exception {
        listen(4);
        List<Socket> busy = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            busy.add(send(request("", "body")));
            awaitAgentCommands(i + 1);
        }
        // Beyond the limit: these wait in the system's backlog with a complete request each.
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            waiting.add(send("GET /none HTTP/1.1\r\n\r\n"));
        }
        runOnLoop(edge::close);
        runOnLoop(() -> assertTrue(!edge.hasNoConnections()));
        for (Socket each : busy) {
            completeRun(agentCommands.get(busy.indexOf(each)), new byte[] {'7'});
            assertTrue(readResponse(each).contains("Connection: close\r\n"));
            each.close();
        }
        for (Socket each : waiting) {
            String answer = readResponse(each);
            assertTrue(answer.startsWith("HTTP/1.1 404 ") && answer.contains("Connection: close\r\n"), answer);
        }
    }
}
