package merlinlever.backend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import merlinlever.backend.http.EdgeConnection.State;
import org.junit.jupiter.api.Test;

/** A table full of connections in each state: the next one is served after a short time, and none is reset. */
class EdgeCapacityTest extends EdgeServerFixture {

    private static final int MAX_CONNECTIONS = 8;
    private final List<Socket> openSockets = new ArrayList<>();

    EdgeCapacityTest() throws IOException {}

    /** Asserts that a health check on a new connection is answered within the time on the loop's clock. */
    private void assertHealthCheckAnsweredWithin(long ms) throws Exception {
        Socket check = send(HEALTH_CHECK);
        long passed = 0;
        while (check.getInputStream().available() == 0) {
            advance(50);
            passed += 50;
            assertTrue(passed <= ms, "no answer after " + passed + " ms");
            // The channel group's own thread accepts: it gets real time, while the loop's clock stands still.
            for (int i = 0; i < 20 && check.getInputStream().available() == 0; i++) {
                Thread.sleep(1);
                runPendingWork();
            }
        }
        assertStatus(200, check);
    }

    @Test
    void connectionsThatBecomeIdleAfterTheTableFilledAreEvicted() throws Exception {
        listen(MAX_CONNECTIONS);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            openSockets.add(send(request("", "body")));
            awaitAgentCommands(i + 1);
        }
        // The table was full when the last one came, and all of them had a request in flight.
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            completeRun(agentCommands.get(i), new byte[] {'7'});
            assertStatus(200, openSockets.get(i));
        }
        assertHealthCheckAnsweredWithin(250);
        // Those that were evicted for it read an end of stream.
        assertEndOfStream(openSockets.get(0));
    }

    @Test
    void connectionsThatNeverSentARequestAreEvicted() throws Exception {
        listen(MAX_CONNECTIONS);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            openSockets.add(connect());
            await(State.NEW, i + 1);
        }
        assertHealthCheckAnsweredWithin(450);
        assertEndOfStream(openSockets.get(0));
    }

    @Test
    void connectionsWithAnIncompleteRequestAreEvicted() throws Exception {
        listen(MAX_CONNECTIONS);
        // All but the one with half a request are busy, so that no other can be evicted.
        for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
            openSockets.add(send("GET /status/live?real=1 HTTP/1.1\r\n\r\n"));
            await(State.IN_FLIGHT, i + 1);
        }
        Socket half = send(HEALTH_CHECK + "POST ");
        assertStatus(200, half);
        await(State.RECEIVING, 1);
        assertHealthCheckAnsweredWithin(1300);
        assertEndOfStream(half);
    }

    @Test
    void lingeringConnectionsAreEvicted() throws Exception {
        listen(MAX_CONNECTIONS);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            openSockets.add(send("nonsense\r\n\r\n"));
            await(State.LINGERING, i + 1);
        }
        assertHealthCheckAnsweredWithin(250);
        assertStatus(400, openSockets.get(0));
        assertEndOfStream(openSockets.get(0));
    }

    /** A new connection is not evicted for the next one, however busy the others are. */
    @Test
    void aNewConnectionIsNotEvictedWhileAllOthersAreBusy() throws Exception {
        listen(MAX_CONNECTIONS);
        for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
            openSockets.add(send(request("", "body")));
            awaitAgentCommands(i + 1);
        }
        Socket fresh = connect();
        await(State.NEW, 1);
        advance(100);
        write(fresh, HEALTH_CHECK);
        assertStatus(200, fresh);
        assertEquals(MAX_CONNECTIONS - 1, agentCommands.size());
    }

    /** Some connections are evicted ahead of time: the next ones are served without waiting. */
    @Test
    void idleConnectionsAreEvictedBeforeTheTableIsFull() throws Exception {
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

    /** Many more connections than the limit, each used once and left idle: all are answered, and none is reset. */
    @Test
    void manyConnectionsUsedOnceAreAllAnswered() throws Exception {
        listen(16);
        for (int i = 0; i < 60; i++) {
            assertHealthCheckAnsweredWithin(250);
            assertTrue(edge.count() <= 16);
        }
    }
}
