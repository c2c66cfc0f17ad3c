package merlinlever.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import merlinlever.http.EdgeConnection.State;
import merlinlever.net.CloseReason;
import merlinlever.net.Connection;
import net.jqwik.api.Example;

/** Bytes of an edge node that cross the close of its connection: idle, never used, half read, out of room, leaving. */
class EdgeCloseRaceTest extends EdgeServerFixture {

    EdgeCloseRaceTest() throws IOException {}

    /**
     * What crosses the close of a resting connection: the edge node sees a good end and may write more than once without a
     * reset, and nothing of it reaches the agent. A close at once would reset the connection over what is unread.
     */
    private void crosses(Socket socket, String rest) throws Exception {
        assertEnds(socket);
        for (int i = 0; i < 20; i++) {
            write(socket, i == 0 ? rest : operation("", "again"));
            settle();
        }
        assertEquals(List.of(), asked);
        // It is not read on for ever: with its time over it is closed, and that is a reset for who writes on.
        pass(1200);
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
        on(() -> assertTrue(edge.none()));
    }

    @Example
    void aRequestThatCrossesTheCloseOfAnIdleConnectionIsReadAndNotRun() throws Exception {
        listen(100);
        Socket socket = ask(CHECK);
        assertStatus(200, socket);
        pass(8_300);
        crosses(socket, operation("", "body"));
    }

    @Example
    void aRequestThatCrossesTheCloseOfAConnectionNeverUsedIsReadAndNotRun() throws Exception {
        listen(100);
        Socket socket = connect();
        await(State.NEW, 1);
        pass(2_700);
        crosses(socket, operation("", "body"));
    }

    @Example
    void theRestOfHalfALineThatCrossesTheCloseIsReadAndNotRun() throws Exception {
        listen(100);
        Socket socket = ask(CHECK);
        assertStatus(200, socket);
        String operation = operation("", "body");
        write(socket, operation.substring(0, 10));
        await(State.RECEIVING, 1);
        pass(5_200);
        crosses(socket, operation.substring(10));
    }

    /** Read before the close was due but not looked at yet: the loop has more than a batch to do. It is run. */
    @Example
    void aRequestThatWaitsInTheLoopAsTheIdleTimeEndsIsRun() throws Exception {
        listen(100);
        StringBuilder heard = new StringBuilder();
        Connection[] mine = new Connection[1];
        on(() -> edge.take(user -> Connection.pair(
                loop,
                user,
                new Connection.InMemoryPeer() {
                    @Override
                    public void on(Connection connection) {
                        mine[0] = connection;
                    }

                    @Override
                    public void read(ByteBuffer in) {
                        heard.append(StandardCharsets.ISO_8859_1.decode(in));
                    }

                    @Override
                    public void ended(CloseReason how) {
                        heard.append(how);
                    }
                },
                EdgeConnection.BUFFER,
                EdgeConnection.MOST_QUEUED)));
        on(() -> mine[0].write(ByteBuffer.wrap(CHECK.getBytes(StandardCharsets.US_ASCII))));
        await(State.IDLE, 1);
        pass(7_900);
        // Batches of 256: what is written is queued behind these with the end of the first, the time passes in the
        // second,
        // whose timers are due at once, and the third comes to what was written.
        on(() -> {
            mine[0].write(ByteBuffer.wrap(operation("", "body").getBytes(StandardCharsets.ISO_8859_1)));
            for (int i = 0; i < 600; i++) {
                loop.execute(i == 400 ? () -> nanos.addAndGet(400_000_000) : () -> {});
            }
        });
        settle();
        awaitAsked(1);
        heard.setLength(0);
        ends(asked.get(0), new byte[] {'7'});
        assertTrue(
                heard.toString().startsWith("HTTP/1.1 200 OK")
                        && heard.toString().endsWith("\r\n\r\n7"),
                heard.toString());
    }

    /** The machine stands still for longer than any time limit: what was written to it meanwhile is read first. */
    @Example
    void aStallIsNoReasonToCloseWhatHasNotBeenRead() throws Exception {
        listen(100);
        Socket fresh = connect();
        Socket half = ask(CHECK);
        assertStatus(200, half);
        write(half, CHECK.substring(0, 10));
        await(State.RECEIVING, 1);
        await(State.NEW, 1);
        stall(30_000);
        pass(200);
        write(fresh, CHECK);
        assertStatus(200, fresh);
        write(half, CHECK.substring(10));
        assertStatus(200, half);
    }

    /** Leaving: what rests ends in good order, and what comes then is not sent on; what is in hand is answered. */
    @Example
    void whatRestsAsTheProcessEndsIsShutAndWhatIsInHandIsAnswered() throws Exception {
        listen(100);
        Socket resting = ask(CHECK);
        assertStatus(200, resting);
        Socket busy = ask(operation("", "body"));
        awaitAsked(1);
        on(() -> {
            edge.close();
            edge.shutResting();
        });
        assertEnds(resting);
        write(resting, operation("", "late"));
        ends(asked.get(0), new byte[] {'7'});
        String answer = answer(busy);
        assertTrue(answer.contains("Connection: close\r\n") && answer.endsWith("7"), answer);
        assertEquals(1, asked.size());
    }

    /** A second request behind one whose answer says "close" gets no answer and is never run; nor is the connection reset. */
    @Example
    void aRequestBehindTheLastAnswerIsNotRunAndResetsNothing() throws Exception {
        listen(100);
        Socket socket = ask(operation("Connection: close\r\n", "body") + operation("", "second"));
        awaitAsked(1);
        ends(asked.get(0), new byte[] {'7'});
        write(socket, operation("", "third"));
        settle();
        assertTrue(answer(socket).contains("Connection: close\r\n"));
        assertEnds(socket);
        assertEquals(1, asked.size());
    }

    /** Half a message as the listener closes: its rest is read and answered, with the end of the connection. */
    @Example
    void theRestOfAMessageAfterTheListenerHasClosedIsAnswered() throws Exception {
        listen(100);
        String operation = operation("", "body");
        Socket half = ask(operation.substring(0, operation.length() - 3));
        await(State.NEW, 1);
        on(edge::close);
        pass(100);
        on(() -> backend.startDrain(
                loop.clock().now().minusMillis(200), loop.clock().now().plusSeconds(2)));
        write(half, operation.substring(operation.length() - 3));
        String answer = answer(half);
        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Connection: close\r\n"), answer);
        assertEnds(half);
        assertEquals(List.of(), asked);
    }

    /** Connections that the system has accepted and the program not yet, as the listener closes: they are let in. */
    @Example
    void whoWaitsAtTheDoorAsTheListenerClosesIsAnswered() throws Exception {
        listen(4);
        List<Socket> busy = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            busy.add(ask(operation("", "body")));
            awaitAsked(i + 1);
        }
        // No room for these: they wait in the system's queue with a whole request each.
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            waiting.add(ask("GET /none HTTP/1.1\r\n\r\n"));
        }
        on(edge::close);
        on(() -> assertTrue(!edge.none()));
        for (Socket each : busy) {
            ends(asked.get(busy.indexOf(each)), new byte[] {'7'});
            assertTrue(answer(each).contains("Connection: close\r\n"));
            each.close();
        }
        for (Socket each : waiting) {
            String answer = answer(each);
            assertTrue(answer.startsWith("HTTP/1.1 404 ") && answer.contains("Connection: close\r\n"), answer);
        }
    }
}
