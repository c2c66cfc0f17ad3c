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

    private static final int MOST = 8;
    private final List<Socket> full = new ArrayList<>();

    EdgeCapacityTest() throws IOException {}

    /** A health check on a new connection has its answer after so much time, and no sooner than it takes to make room. */
    private void checkIsAnsweredWithin(long ms) throws Exception {
        Socket check = ask(CHECK);
        long passed = 0;
        while (check.getInputStream().available() == 0) {
            pass(50);
            passed += 50;
            assertTrue(passed <= ms, "no answer after " + passed + " ms");
            // The group's thread, which accepts, is not the loop's: it gets a moment, and no more of the clock for it.
            for (int i = 0; i < 20 && check.getInputStream().available() == 0; i++) {
                Thread.sleep(1);
                settle();
            }
        }
        assertStatus(200, check);
    }

    @Example
    void fullOfIdleOnesThatCameToRestAfterRoomWasAskedFor() throws Exception {
        listen(MOST);
        for (int i = 0; i < MOST; i++) {
            full.add(ask(operation("", "body")));
            awaitAsked(i + 1);
        }
        // The listener looked for room as the last one came, and found all of them with an operation in hand.
        for (int i = 0; i < MOST; i++) {
            ends(asked.get(i), new byte[] {'7'});
            assertStatus(200, full.get(i));
        }
        checkIsAnsweredWithin(250);
        // Those that were shut for it hear a good end.
        assertEnds(full.get(0));
    }

    @Example
    void fullOfSilentOnes() throws Exception {
        listen(MOST);
        for (int i = 0; i < MOST; i++) {
            full.add(connect());
            await(State.NEW, i + 1);
        }
        checkIsAnsweredWithin(450);
        assertEnds(full.get(0));
    }

    @Example
    void fullOfHalfMessages() throws Exception {
        listen(MOST);
        // Busy ones leave no room but for the half message, so that nothing else can be shut.
        for (int i = 0; i < MOST - 1; i++) {
            full.add(ask("GET /status/live?real=1 HTTP/1.1\r\n\r\n"));
            await(State.IN_HAND, i + 1);
        }
        Socket half = ask(CHECK + "POST ");
        assertStatus(200, half);
        await(State.RECEIVING, 1);
        checkIsAnsweredWithin(1300);
        assertEnds(half);
    }

    @Example
    void fullOfAnsweredOnesThatDoNotEndTheirSide() throws Exception {
        listen(MOST);
        for (int i = 0; i < MOST; i++) {
            full.add(ask("nonsense\r\n\r\n"));
            await(State.LINGERING, i + 1);
        }
        checkIsAnsweredWithin(250);
        assertStatus(400, full.get(0));
        assertEnds(full.get(0));
    }

    /** A connection that has just come is not shut to make room for the next, however busy the others are. */
    @Example
    void whoHasJustComeIsNotShutWhereAllOthersAreBusy() throws Exception {
        listen(MOST);
        for (int i = 0; i < MOST - 1; i++) {
            full.add(ask(operation("", "body")));
            awaitAsked(i + 1);
        }
        Socket fresh = connect();
        await(State.NEW, 1);
        pass(100);
        write(fresh, CHECK);
        assertStatus(200, fresh);
        assertEquals(MOST - 1, asked.size());
    }

    /** Some room is made ahead of time: whoever comes next is let in at once, with no time passing on the clock. */
    @Example
    void someAreShutBeforeTheTableIsFull() throws Exception {
        listen(16);
        for (int i = 0; i < 16; i++) {
            full.add(ask(CHECK));
            assertStatus(200, full.get(i));
            await(State.LINGERING, Math.max(0, i - 11));
        }
        assertEnds(full.get(3));
        for (int i = 0; i < 3; i++) {
            full.get(i).close();
        }
        for (int i = 0; i < 3; i++) {
            assertStatus(200, ask(CHECK));
        }
    }

    /** Many more than there is room for, each used once and then left: all are answered, and none of them is reset. */
    @Example
    void manyThatAskOnceAndRestAreAllAnswered() throws Exception {
        listen(16);
        for (int i = 0; i < 60; i++) {
            checkIsAnsweredWithin(250);
            assertTrue(edge.count() <= 16);
        }
    }
}
