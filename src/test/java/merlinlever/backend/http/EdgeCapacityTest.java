package merlinlever.backend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import merlinlever.backend.http.EdgeConnection.State;
import org.junit.jupiter.api.Test;

/** Tests that a new connection is served soon, and no connection is reset, when the connection table is full. */
class EdgeCapacityTest extends EdgeServerFixture {

    private static final int MAX_CONNECTIONS = 8;
    private final List<Socket> openSockets = new ArrayList<>();

    EdgeCapacityTest() throws IOException {}

    /** Asserts that a health check on a new connection is answered within the time, measured on the loop's clock. */
    private void assertHealthCheckAnsweredWithin(long maxMs) throws Exception {
        Socket socket = send(HEALTH_CHECK);
        long elapsedMs = 0;
        while (socket.getInputStream().available() == 0) {
            advance(50);
            elapsedMs += 50;
            assertTrue(elapsedMs <= maxMs, "no response after " + elapsedMs + " ms");
            // Connections are accepted on a thread of the channel group, which needs real time.
            for (int i = 0; i < 20 && socket.getInputStream().available() == 0; i++) {
                Thread.sleep(1);
                runPendingWork();
            }
        }
        assertStatus(200, socket);
    }

    @Test
    void evictsConnectionsThatBecomeIdleAfterTheTableIsFull() throws Exception {
        listen(MAX_CONNECTIONS);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            openSockets.add(send(request("", "body")));
            awaitAgentCommands(i + 1);
        }
        // The table became full while each connection had a request in flight.
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            completeRun(agentCommands.get(i), new byte[] {'7'});
            assertStatus(200, openSockets.get(i));
        }
        assertHealthCheckAnsweredWithin(250);
        // An evicted connection reads an end of stream.
        assertEndOfStream(openSockets.get(0));
    }

    @Test
    void evictsConnectionsThatNeverSentARequest() throws Exception {
        listen(MAX_CONNECTIONS);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            openSockets.add(connect());
            await(State.NEW, i + 1);
        }
        assertHealthCheckAnsweredWithin(450);
        assertEndOfStream(openSockets.get(0));
    }

    @Test
    void evictsConnectionsWithAnIncompleteRequest() throws Exception {
        listen(MAX_CONNECTIONS);
        // All other connections are busy, so that only the one with the incomplete request can be evicted.
        for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
            openSockets.add(send("GET /status/live?real=1 HTTP/1.1\r\n\r\n"));
            await(State.IN_FLIGHT, i + 1);
        }
        Socket incomplete = send(HEALTH_CHECK + "POST ");
        assertStatus(200, incomplete);
        await(State.RECEIVING, 1);
        assertHealthCheckAnsweredWithin(1300);
        assertEndOfStream(incomplete);
    }

    @Test
    void evictsLingeringConnections() throws Exception {
        listen(MAX_CONNECTIONS);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            openSockets.add(send("nonsense\r\n\r\n"));
            await(State.LINGERING, i + 1);
        }
        assertHealthCheckAnsweredWithin(250);
        assertStatus(400, openSockets.get(0));
        assertEndOfStream(openSockets.get(0));
    }

    /** A connection that was just accepted is not evicted, even if all other connections are busy. */
    @Test
    void doesNotEvictANewConnectionWhileAllOthersAreBusy() throws Exception {
        listen(MAX_CONNECTIONS);
        for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
            openSockets.add(send(request("", "body")));
            awaitAgentCommands(i + 1);
        }
        Socket newSocket = connect();
        await(State.NEW, 1);
        advance(100);
        write(newSocket, HEALTH_CHECK);
        assertStatus(200, newSocket);
        assertEquals(MAX_CONNECTIONS - 1, agentCommands.size());
    }

    /** Idle connections are evicted ahead of demand, so that the next connections are served without delay. */
    @Test
    void evictsIdleConnectionsBeforeTheTableIsFull() throws Exception {
        listen(16);
        for (int i = 0; i < 16; i++) {
            openSockets.add(send(HEALTH_CHECK));
            assertStatus(200, openSockets.get(i));
            await(State.LINGERING, Math.max(0, i - 11));
        }
        assertEndOfStream(openSockets.get(3));
        for (int i = 0; i < 3; i++) {
            openSockets.get(i).close();
        }
        for (int i = 0; i < 3; i++) {
            assertStatus(200, send(HEALTH_CHECK));
        }
    }

    /** Connections far above the limit, each used once and left idle, are all answered without a reset. */
    @Test
    void answersMoreConnectionsThanTheLimit() throws Exception {
        listen(16);
        for (int i = 0; i < 60; i++) {
            assertHealthCheckAnsweredWithin(250);
            assertTrue(edge.count() <= 16);
        }
    }
}
