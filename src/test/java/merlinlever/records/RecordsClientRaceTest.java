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
    void aCallIsNotSentOnAConnectionWhoseCloseWasRead() {
        List<InMemoryRecordsService> parties = new ArrayList<>();
        ManualClockLoop on = new ManualClockLoop(address -> {
            parties.add(new InMemoryRecordsService());
            return parties.get(parties.size() - 1);
        });
        try (on) {
            client = createClient(on, new InetSocketAddress(1), 4);
            call(1);
            on.runBatches(3);
            on.runOnLoop(() -> parties.get(0).send(doneReply(1, "r")));
            on.runBatches(3);
            on.runOnLoop(() -> {
                parties.get(0).serviceEnd.close(CloseReason.IDLE);
                client.call(TestRequests.tracked(2), new byte[] {'b'}, CALL_TIMEOUT);
            });
            on.runBatches(3);
            assertEquals(2, parties.size());
            on.runOnLoop(() -> parties.get(1).send(doneReply(2, "s")));
            assertCallOutcomes("1 OK r", "2 OK s");
        }
    }

    /** Without a descriptor for its connection a call waits for one, and not for its limit. */
    @Example
    void aCallWithoutAFileDescriptorIsMadeOnceOneIsFree() {
        boolean[] full = {true};
        InMemoryRecordsService party = new InMemoryRecordsService();
        ManualClockLoop on = new ManualClockLoop(address -> {
            if (full[0]) {
                RecordsClientRaceTest.<RuntimeException>sneakyThrow(new IOException("Too many open files"));
            }
            return party;
        });
        try (on) {
            client = createClient(on, new InetSocketAddress(1), 4);
            call(1);
            on.runBatches(2);
            on.runOnLoop(() -> full[0] = false);
            on.advance(100);
            on.runBatches(3);
            assertEquals("OP 0000000000000001 200 1\r\nb\r\n", on.callOnLoop(party.received::toString));
        }
    }

    @SuppressWarnings("unchecked")
    private static <E extends Throwable> void sneakyThrow(Throwable how) throws E {
        throw (E) how;
    }

    /** A place that neither accepts nor refuses: all whose queue of connections is full. */
    private static List<Socket> fillBacklog(ServerSocket place) throws IOException {
        List<Socket> queued = new ArrayList<>();
        assertThrows(SocketTimeoutException.class, () -> {
            while (queued.size() < 20) {
                Socket socket = new Socket();
                queued.add(socket);
                socket.connect(addressOf(place), 200);
            }
        });
        return queued;
    }

    /**
     * Dials that hang: each call ends at its own limit and its dial with it, so that they take no room from the next; and
     * what has not left yet goes to the new place at once when the service moves.
     */
    @Example
    void aHangingConnectAttemptEndsWithItsCallOrMovesWithTheService() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 1, LOOPBACK);
                ServerSocket place = openServer();
                ManualClockLoop on = new ManualClockLoop()) {
            List<Socket> queued = fillBacklog(silent);
            client = createClient(on, addressOf(silent), 2);
            call(1);
            call(2);
            call(3);
            on.advance(200);
            call(4);
            on.advance(120);
            on.runBatches(1);
            assertCallOutcomes("1 TIMED_OUT", "2 TIMED_OUT", "3 TIMED_OUT");
            call(5);
            on.runOnLoop(() -> client.setAddress(addressOf(place)));
            Socket one = acceptCall(place, 4);
            Socket other = acceptCall(place, 5);
            send(other, doneReply(5, "s"));
            assertCallOutcomes("1 TIMED_OUT", "2 TIMED_OUT", "3 TIMED_OUT", "5 OK s");
            send(one, doneReply(4, "r"));
            assertCallOutcomes("1 TIMED_OUT", "2 TIMED_OUT", "3 TIMED_OUT", "5 OK s", "4 OK r");
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    /** The service moves: a call that has left ends where it is, and its connection with it; the next goes to the new place. */
    @Example
    void aSentCallCompletesOnItsConnectionWhenTheServiceMoves() throws IOException {
        try (ServerSocket old = openServer();
                ServerSocket place = openServer();
                ManualClockLoop on = new ManualClockLoop()) {
            client = createClient(on, addressOf(old), 1);
            call(1);
            Socket line = acceptCall(old, 1);
            call(2);
            on.runOnLoop(() -> client.setAddress(addressOf(place)));
            send(line, doneReply(1, "r"));
            assertCallOutcomes("1 OK r");
            assertEquals(-1, line.getInputStream().read());
            Socket next = acceptCall(place, 2);
            call(3);
            // Without any place there is nobody to call: what waits has not left.
            on.runOnLoop(() -> client.setAddress(null));
            send(next, doneReply(2, "s"));
            assertCallOutcomes("1 OK r", "3 UNREACHABLE", "2 OK s");
        }
    }

    /** All connections had the operation's own last call, on which a copy may follow: one makes room for a new one. */
    @Example
    void aRequestIsNotSentOnTheConnectionOfItsOwnLastCall() throws IOException {
        try (ServerSocket place = openServer();
                ManualClockLoop on = new ManualClockLoop()) {
            client = createClient(on, addressOf(place), 1);
            call(1);
            Socket line = acceptCall(place, 1);
            send(line, doneReply(1, "r"));
            assertCallOutcomes("1 OK r");
            call(1);
            Socket next = acceptCall(place, 1);
            send(next, doneReply(1, "s"));
            assertCallOutcomes("1 OK r", "1 OK s");
        }
    }

    /** A second call for an operation gives up its first, here as at the service: one ending is heard, the second's. */
    @Example
    void aSecondCallForARequestCancelsTheFirst() throws IOException {
        try (ServerSocket place = openServer();
                ManualClockLoop on = new ManualClockLoop()) {
            client = createClient(on, addressOf(place), 4);
            call(1);
            Socket line = acceptCall(place, 1);
            call(1);
            Socket next = acceptCall(place, 1);
            assertEquals(-1, line.getInputStream().read());
            send(next, doneReply(1, "s"));
            assertCallOutcomes("1 OK s");
            on.advance(400);
            on.runBatches(1);
            assertCallOutcomes("1 OK s");
        }
    }

    /** Calls that wait for a connection while each dial is refused: each is told that it never ran, however many there are. */
    @Example
    void manyWaitingCallsEndOneByOneWhenConnectsFail() throws IOException {
        try (ManualClockLoop on = new ManualClockLoop()) {
            client = createClient(on, new InetSocketAddress(LOOPBACK, PortAllocator.free()), 4);
            on.runOnLoop(() -> {
                for (int i = 1; i <= 3000; i++) {
                    client.call(TestRequests.tracked(i), new byte[] {'b'}, CALL_TIMEOUT);
                }
            });
            on.awaitCondition(() -> callOutcomes.size() == 3000, "all endings");
            assertEquals(
                    3000,
                    callOutcomes.stream()
                            .filter(each -> each.endsWith(" UNREACHABLE"))
                            .distinct()
                            .count());
        }
    }
}
