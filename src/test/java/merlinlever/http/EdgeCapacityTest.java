package merlinlever.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import merlinlever.http.EdgeConnection.State;
import net.jqwik.api.Example;

/** A table full of connections of each kind: whoever comes next is let in within a short time, and nobody is reset. */
class EdgeCapacityTest extends EdgeServerFixture {

    private static final int MAX_CONNECTIONS = 8;
    private final List<Socket> openSockets = new ArrayList<>();

    EdgeCapacityTest() throws IOException {}

    /** A health check on a new connection has its answer after so much time, and no sooner than it takes to make room. */
    private void assertHealthCheckAnsweredWithin(long ms) throws Exception {
        Socket check = send(HEALTH_CHECK);
        long passed = 0;
        while (check.getInputStream().available() == 0) {
            advance(50);
            passed += 50;
            assertTrue(passed <= ms, "no answer after " + passed + " ms");
            // The group's thread, which accepts, is not the loop's: it gets a moment, and no more of the clock for it.
            for (int i = 0; i < 20 && check.getInputStream().available() == 0; i++) {
                Thread.sleep(1);
                runPendingWork();
            }
        }
        assertStatus(200, check);
    }

    @Example
    void connectionsThatBecomeIdleAfterTheTableFilledAreEvicted() throws Exception {
        listen(MAX_CONNECTIONS);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            openSockets.add(send(request("", "body")));
            awaitAgentCommands(i + 1);
        }
        // The listener looked for room as the last one came, and found all of them with an operation in hand.
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            completeRun(agentCommands.get(i), new byte[] {'7'});
            assertStatus(200, openSockets.get(i));
        }
        assertHealthCheckAnsweredWithin(250);
        // Those that were shut for it hear a good end.
        assertEndOfStream(openSockets.get(0));
    }

    @Example
    void connectionsThatNeverSentARequestAreEvicted() throws Exception {
        listen(MAX_CONNECTIONS);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            openSockets.add(connect());
            await(State.NEW, i + 1);
        }
        assertHealthCheckAnsweredWithin(450);
        assertEndOfStream(openSockets.get(0));
    }

    @Example
    void connectionsWithAnIncompleteRequestAreEvicted() throws Exception {
        listen(MAX_CONNECTIONS);
        // Busy ones leave no room but for the half message, so that nothing else can be shut.
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

    @Example
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

    /** A connection that has just come is not shut to make room for the next, however busy the others are. */
    @Example
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

    /** Some room is made ahead of time: whoever comes next is let in at once, with no time passing on the clock. */
    @Example
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

    /** Many more than there is room for, each used once and then left: all are answered, and none of them is reset. */
    @Example
    void manyConnectionsUsedOnceAreAllAnswered() throws Exception {
        listen(16);
        for (int i = 0; i < 60; i++) {
            assertHealthCheckAnsweredWithin(250);
            assertTrue(edge.count() <= 16);
        }
    }
}
