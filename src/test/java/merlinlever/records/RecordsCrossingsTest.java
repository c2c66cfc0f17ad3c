package merlinlever.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import merlinlever.core.Works;
import merlinlever.faults.proc.Ports;
import merlinlever.log.Log;
import merlinlever.net.Connection;
import merlinlever.net.DrivenLoop;
import merlinlever.net.Ended;
import net.jqwik.api.Example;

/** Events that cross on the connections to the records service; time stands still but where a test moves it on. */
class RecordsCrossingsTest {

    private static final InetAddress HERE = InetAddress.getLoopbackAddress();
    private static final Duration LIMIT = Duration.ofMillis(300);

    /** How each call ended, in order, as "id ending reply". */
    private final List<String> ended = new ArrayList<>();
    private DrivenLoop driven;
    private RecordsLink link;

    private RecordsLink link(DrivenLoop on, InetSocketAddress address, int most) {
        driven = on;
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream()), Instant::now);
        return driven.on(() -> new RecordsLink(driven.loop, address, (now, id, how, reply) -> ended.add(id + " " + how
                + (reply == null ? "" : " " + new String(reply, StandardCharsets.UTF_8))), log, most));
    }

    private void call(long id) {
        driven.run(() -> link.call(Works.of(id), new byte[] {'b'}, LIMIT));
    }

    /** So many calls have ended, and these were they. */
    private void hasEnded(String... what) {
        driven.until(() -> ended.size() >= what.length, String.join(", ", what) + " after " + ended);
        assertEquals(List.of(what), driven.on(() -> List.copyOf(ended)));
    }

    private static InetSocketAddress at(ServerSocket place) {
        return new InetSocketAddress(HERE, place.getLocalPort());
    }

    private static ServerSocket place() throws IOException {
        ServerSocket place = new ServerSocket(0, 50, HERE);
        place.setSoTimeout(DrivenLoop.PATIENCE_MS);
        return place;
    }

    /** The next connection, on which the operation's call has come. */
    private static Socket accept(ServerSocket place, long id) throws IOException {
        Socket socket = place.accept();
        socket.setSoTimeout(DrivenLoop.PATIENCE_MS);
        socket.setTcpNoDelay(true);
        return hear(socket, id);
    }

    private static Socket hear(Socket socket, long id) throws IOException {
        StringBuilder heard = new StringBuilder();
        while (!heard.toString().endsWith("\r\nb\r\n")) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("closed after " + heard);
            }
            heard.append((char) next);
        }
        assertEquals(String.format("OP %016x", id), heard.substring(0, 19));
        return socket;
    }

    private static void say(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String done(long id, String body) {
        return String.format("%016x DONE %d\r\n%s\r\n", id, body.length(), body);
    }

    /** The service in memory: every connection takes all and says what the test says. */
    private static final class Party implements Connection.Party {
        private Connection mine;
        private final StringBuilder heard = new StringBuilder();

        @Override public void on(Connection connection) {
            mine = connection;
        }

        @Override public void read(ByteBuffer in) {
            while (in.hasRemaining()) {
                heard.append((char) in.get());
            }
        }

        @Override public void ended(Ended how) {
        }

        void say(String text) {
            mine.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
        }
    }

    /** A whole reply with a close or a reset right behind it is a reply; a close without one proves nothing. */
    @Example
    void aReplyThatCrossesTheEndOfItsConnectionCounts() throws IOException {
        try (ServerSocket place = place(); DrivenLoop on = new DrivenLoop()) {
            link = link(on, at(place), 4);
            call(1);
            Socket line = accept(place, 1);
            say(line, done(1, "r"));
            line.close();
            hasEnded("1 OK r");
            call(2);
            Socket cut = accept(place, 2);
            say(cut, done(2, "r").substring(0, 22));
            cut.close();
            hasEnded("1 OK r", "2 CUT_OFF");
        }
    }

    /** The close of an idle connection has been read, but not gone through, as a call is made: it gets another one. */
    @Example
    void aCallDoesNotGoOnAConnectionWhoseCloseWasRead() {
        List<Party> parties = new ArrayList<>();
        DrivenLoop on = new DrivenLoop(address -> {
            parties.add(new Party());
            return parties.get(parties.size() - 1);
        });
        try (on) {
            link = link(on, new InetSocketAddress(1), 4);
            call(1);
            on.batches(3);
            on.run(() -> parties.get(0).say(done(1, "r")));
            on.batches(3);
            on.run(() -> {
                parties.get(0).mine.end(Ended.IDLE);
                link.call(Works.of(2), new byte[] {'b'}, LIMIT);
            });
            on.batches(3);
            assertEquals(2, parties.size());
            on.run(() -> parties.get(1).say(done(2, "s")));
            hasEnded("1 OK r", "2 OK s");
        }
    }

    /** Read before the limit is gone through, and found behind other work: such a reply is in time. */
    @Example
    void aReplyThatWasReadBeforeTheLimitIsInTime() {
        Party party = new Party();
        DrivenLoop on = new DrivenLoop(address -> party);
        try (on) {
            link = link(on, new InetSocketAddress(1), 4);
            call(1);
            on.batches(3);
            on.run(() -> {
                party.say(done(1, "r"));
                // More is ready than one batch takes, the reply behind it; then the limit is due.
                on.loop.after(() -> {
                    on.loop.after(() -> { });
                    for (int i = 0; i < 300; i++) {
                        on.loop.execute(() -> { });
                    }
                    on.laterNow(400);
                });
            });
            hasEnded("1 OK r");
        }
    }

    /** Without a descriptor for its connection a call waits for one, and not for its limit. */
    @Example
    void aCallThatFoundNoDescriptorIsMadeOnceThereIsOne() {
        boolean[] full = {true};
        Party party = new Party();
        DrivenLoop on = new DrivenLoop(address -> {
            if (full[0]) {
                RecordsCrossingsTest.<RuntimeException>fail(new IOException("Too many open files"));
            }
            return party;
        });
        try (on) {
            link = link(on, new InetSocketAddress(1), 4);
            call(1);
            on.batches(2);
            on.run(() -> full[0] = false);
            on.later(100);
            on.batches(3);
            assertEquals("OP 0000000000000001 200 1\r\nb\r\n", on.on(party.heard::toString));
        }
    }

    @SuppressWarnings("unchecked")
    private static <E extends Throwable> void fail(Throwable how) throws E {
        throw (E) how;
    }

    /** A place that neither accepts nor refuses: all whose queue of connections is full. */
    private static List<Socket> fill(ServerSocket place) throws IOException {
        List<Socket> queued = new ArrayList<>();
        assertThrows(SocketTimeoutException.class, () -> {
            while (queued.size() < 20) {
                Socket socket = new Socket();
                queued.add(socket);
                socket.connect(at(place), 200);
            }
        });
        return queued;
    }

    /**
     * Dials that hang: each call ends at its own limit and its dial with it, so that they take no room from the next; and
     * what has not left yet goes to the new place at once when the service moves.
     */
    @Example
    void aDialThatHangsEndsWithItsCallOrMovesWithTheService() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 1, HERE); ServerSocket place = place(); DrivenLoop on = new DrivenLoop()) {
            List<Socket> queued = fill(silent);
            link = link(on, at(silent), 2);
            call(1);
            call(2);
            call(3);
            on.later(200);
            call(4);
            on.later(120);
            on.batches(1);
            hasEnded("1 GIVEN_UP", "2 GIVEN_UP", "3 GIVEN_UP");
            call(5);
            on.run(() -> link.moveTo(at(place)));
            Socket one = accept(place, 4);
            Socket other = accept(place, 5);
            say(other, done(5, "s"));
            hasEnded("1 GIVEN_UP", "2 GIVEN_UP", "3 GIVEN_UP", "5 OK s");
            say(one, done(4, "r"));
            hasEnded("1 GIVEN_UP", "2 GIVEN_UP", "3 GIVEN_UP", "5 OK s", "4 OK r");
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    /** The service moves: a call that has left ends where it is, and its connection with it; the next goes to the new place. */
    @Example
    void aCallThatHasLeftEndsWhereItIsWhenTheServiceMoves() throws IOException {
        try (ServerSocket old = place(); ServerSocket place = place(); DrivenLoop on = new DrivenLoop()) {
            link = link(on, at(old), 1);
            call(1);
            Socket line = accept(old, 1);
            call(2);
            on.run(() -> link.moveTo(at(place)));
            say(line, done(1, "r"));
            hasEnded("1 OK r");
            assertEquals(-1, line.getInputStream().read());
            Socket next = accept(place, 2);
            call(3);
            // Without any place there is nobody to call: what waits has not left.
            on.run(() -> link.moveTo(null));
            say(next, done(2, "s"));
            hasEnded("1 OK r", "3 UNREACHABLE", "2 OK s");
        }
    }

    /** All connections had the operation's own last call, on which a copy may follow: one makes room for a new one. */
    @Example
    void anOperationWhoseOwnConnectionsAreAllThatIsIdleGetsANewOne() throws IOException {
        try (ServerSocket place = place(); DrivenLoop on = new DrivenLoop()) {
            link = link(on, at(place), 1);
            call(1);
            Socket line = accept(place, 1);
            say(line, done(1, "r"));
            hasEnded("1 OK r");
            call(1);
            Socket next = accept(place, 1);
            say(next, done(1, "s"));
            hasEnded("1 OK r", "1 OK s");
        }
    }

    /** A second call for an operation gives up its first, here as at the service: one ending is heard, the second's. */
    @Example
    void aSecondCallForAnOperationGivesUpItsFirst() throws IOException {
        try (ServerSocket place = place(); DrivenLoop on = new DrivenLoop()) {
            link = link(on, at(place), 4);
            call(1);
            Socket line = accept(place, 1);
            call(1);
            Socket next = accept(place, 1);
            assertEquals(-1, line.getInputStream().read());
            say(next, done(1, "s"));
            hasEnded("1 OK s");
            on.later(400);
            on.batches(1);
            hasEnded("1 OK s");
        }
    }

    /** Given up as its reply arrives, in either order: the reply is nobody's, and its connection carries no other call. */
    @Example
    void aCallThatIsGivenUpTakesItsConnectionAndItsReplyAlong() throws IOException {
        try (ServerSocket place = place(); DrivenLoop on = new DrivenLoop()) {
            link = link(on, at(place), 4);
            call(1);
            Socket line = accept(place, 1);
            on.run(() -> {
                try {
                    say(line, done(1, "late"));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
                link.giveUp(Works.of(1));
            });
            call(2);
            Socket next = accept(place, 2);
            say(next, done(2, "r"));
            hasEnded("2 OK r");
            on.run(() -> link.giveUp(Works.of(2)));
            call(3);
            say(hear(next, 3), done(3, "s"));
            hasEnded("2 OK r", "3 OK s");
        }
    }

    /** What comes with a reply, before or behind it or much later, is nobody's reply; the connection gets no call after it. */
    @Example
    void whatComesBesideAReplyIsNobodys() throws IOException {
        try (ServerSocket place = place(); DrivenLoop on = new DrivenLoop()) {
            link = link(on, at(place), 4);
            String[] beside = {done(99, "ahead") + done(1, "r"), done(1, "r") + done(1, "copy"), done(1, "r") + "\u0007noise",
                done(1, "r") + "half a li"};
            List<String> all = new ArrayList<>();
            for (String each : beside) {
                call(1);
                Socket line = accept(place, 1);
                say(line, each);
                all.add("1 OK r");
                hasEnded(all.toArray(String[]::new));
                assertEquals(-1, line.getInputStream().read(), each);
            }
            // In pieces of a byte it is the same reply; a copy that follows while another has the connection is not that one's.
            call(1);
            Socket line = accept(place, 1);
            for (char c : done(1, "r").toCharArray()) {
                say(line, "" + c);
            }
            all.add("1 OK r");
            hasEnded(all.toArray(String[]::new));
            call(2);
            hear(line, 2);
            say(line, done(1, "copy"));
            say(line, done(2, "s"));
            all.add("2 OK s");
            hasEnded(all.toArray(String[]::new));
            assertEquals(-1, line.getInputStream().read());
        }
    }

    /** Lengths that do not fit, lines without end, a rest that never comes: each ends its call, which proves nothing, in time. */
    @Example
    void aSpoiltReplyEndsItsCallAtOnceOrInItsBound() throws IOException {
        try (ServerSocket place = place(); DrivenLoop on = new DrivenLoop()) {
            link = link(on, at(place), 4);
            String[] spoilt = {"0000000000000001 DONE 3221225472\r\nabc", "0000000000000001 DONE -1\r\n", "x".repeat(200),
                "\u0000\u0000", "0000000000000001 DONE 2\r\nabcd"};
            List<String> all = new ArrayList<>();
            // Not to be closed from here: what is let go of may be.
            List<Socket> held = new ArrayList<>();
            for (String each : spoilt) {
                call(1);
                held.add(accept(place, 1));
                say(held.get(held.size() - 1), each);
                all.add("1 CUT_OFF");
                hasEnded(all.toArray(String[]::new));
            }
            call(1);
            Socket half = accept(place, 1);
            call(2);
            Socket silent = accept(place, 2);
            say(half, "0000000000000001 DO");
            // What is read of this one behind it shows that the half has been read, too.
            call(3);
            say(accept(place, 3), done(3, "r"));
            all.add("3 OK r");
            hasEnded(all.toArray(String[]::new));
            on.later(200);
            on.later(100);
            all.add("1 CUT_OFF");
            hasEnded(all.toArray(String[]::new));
            on.later(20);
            on.batches(1);
            all.add("2 GIVEN_UP");
            hasEnded(all.toArray(String[]::new));
            assertEquals(-1, silent.getInputStream().read());
        }
    }

    /** Calls that wait for a connection while each dial is refused: each is told that it never ran, however many there are. */
    @Example
    void manyWaitingCallsAndRefusedDialsEndOneByOne() throws IOException {
        try (DrivenLoop on = new DrivenLoop()) {
            link = link(on, new InetSocketAddress(HERE, Ports.free()), 4);
            on.run(() -> {
                for (int i = 1; i <= 3000; i++) {
                    link.call(Works.of(i), new byte[] {'b'}, LIMIT);
                }
            });
            on.until(() -> ended.size() == 3000, "all endings");
            assertEquals(3000, ended.stream().filter(each -> each.endsWith(" UNREACHABLE")).distinct().count());
        }
    }
}
