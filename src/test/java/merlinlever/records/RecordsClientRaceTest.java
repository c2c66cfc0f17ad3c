package merlinlever.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import merlinlever.core.TestRequests;
import merlinlever.faults.process.PortAllocator;
import merlinlever.net.CloseReason;
import merlinlever.net.ManualClockLoop;
import net.jqwik.api.Example;

/** Events that cross on the connections to the records service. */
class RecordsClientRaceTest extends RecordsClientFixture {

    /** The close of an idle connection has been read, but not gone through, as a call is made: it gets another one. */
    @Example
    void aCallDoesNotGoOnAConnectionWhoseCloseWasRead() {
        List<InMemoryRecordsService> parties = new ArrayList<>();
        ManualClockLoop on = new ManualClockLoop(address -> {
            parties.add(new InMemoryRecordsService());
            return parties.get(parties.size() - 1);
        });
        try (on) {
            link = link(on, new InetSocketAddress(1), 4);
            call(1);
            on.batches(3);
            on.run(() -> parties.get(0).say(done(1, "r")));
            on.batches(3);
            on.run(() -> {
                parties.get(0).mine.end(CloseReason.IDLE);
                link.call(TestRequests.tracked(2), new byte[] {'b'}, LIMIT);
            });
            on.batches(3);
            assertEquals(2, parties.size());
            on.run(() -> parties.get(1).say(done(2, "s")));
            hasEnded("1 OK r", "2 OK s");
        }
    }

    /** Without a descriptor for its connection a call waits for one, and not for its limit. */
    @Example
    void aCallThatFoundNoDescriptorIsMadeOnceThereIsOne() {
        boolean[] full = {true};
        InMemoryRecordsService party = new InMemoryRecordsService();
        ManualClockLoop on = new ManualClockLoop(address -> {
            if (full[0]) {
                RecordsClientRaceTest.<RuntimeException>fail(new IOException("Too many open files"));
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
        try (ServerSocket silent = new ServerSocket(0, 1, HERE);
                ServerSocket place = place();
                ManualClockLoop on = new ManualClockLoop()) {
            List<Socket> queued = fill(silent);
            link = link(on, at(silent), 2);
            call(1);
            call(2);
            call(3);
            on.later(200);
            call(4);
            on.later(120);
            on.batches(1);
            hasEnded("1 TIMED_OUT", "2 TIMED_OUT", "3 TIMED_OUT");
            call(5);
            on.run(() -> link.moveTo(at(place)));
            Socket one = accept(place, 4);
            Socket other = accept(place, 5);
            say(other, done(5, "s"));
            hasEnded("1 TIMED_OUT", "2 TIMED_OUT", "3 TIMED_OUT", "5 OK s");
            say(one, done(4, "r"));
            hasEnded("1 TIMED_OUT", "2 TIMED_OUT", "3 TIMED_OUT", "5 OK s", "4 OK r");
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    /** The service moves: a call that has left ends where it is, and its connection with it; the next goes to the new place. */
    @Example
    void aCallThatHasLeftEndsWhereItIsWhenTheServiceMoves() throws IOException {
        try (ServerSocket old = place();
                ServerSocket place = place();
                ManualClockLoop on = new ManualClockLoop()) {
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
        try (ServerSocket place = place();
                ManualClockLoop on = new ManualClockLoop()) {
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
        try (ServerSocket place = place();
                ManualClockLoop on = new ManualClockLoop()) {
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

    /** Calls that wait for a connection while each dial is refused: each is told that it never ran, however many there are. */
    @Example
    void manyWaitingCallsAndRefusedDialsEndOneByOne() throws IOException {
        try (ManualClockLoop on = new ManualClockLoop()) {
            link = link(on, new InetSocketAddress(HERE, PortAllocator.free()), 4);
            on.run(() -> {
                for (int i = 1; i <= 3000; i++) {
                    link.call(TestRequests.tracked(i), new byte[] {'b'}, LIMIT);
                }
            });
            on.until(() -> ended.size() == 3000, "all endings");
            assertEquals(
                    3000,
                    ended.stream()
                            .filter(each -> each.endsWith(" UNREACHABLE"))
                            .distinct()
                            .count());
        }
    }
}
