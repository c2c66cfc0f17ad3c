package merlinlever.backend.records;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import merlinlever.backend.TestRequests;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.ManualClockLoop;
import merlinlever.testing.faults.process.PortAllocator;
import org.junit.jupiter.api.Test;

/** Races on the connections to the records service. */
class RecordsClientRaceTest extends RecordsClientFixture {

    /**
     * The close of an idle connection has been read but not processed when a call is made: the call gets another one.
     */
    @Test
    void aCallIsNotSentOnAConnectionWhoseCloseWasRead() {
        List<InMemoryRecordsService> services = new ArrayList<>();
        ManualClockLoop loop = new ManualClockLoop(address -> {
            services.add(new InMemoryRecordsService());
            return services.get(services.size() - 1);
        });
        try (loop) {
            client = createClient(loop, new InetSocketAddress(1), 4);
            call(1);
            loop.runBatches(3);
            loop.runOnLoop(() -> services.get(0).send(doneReply(1, "r")));
            loop.runBatches(3);
            loop.runOnLoop(() -> {
                services.get(0).end().close(CloseReason.IDLE);
                client.call(TestRequests.tracked(2), new byte[] {'b'}, CALL_TIMEOUT);
            });
            loop.runBatches(3);
            assertEquals(2, services.size());
            loop.runOnLoop(() -> services.get(1).send(doneReply(2, "s")));
            assertCallOutcomes("1 OK r", "2 OK s");
        }
    }

    /** Without a file descriptor for its connection a call waits for one, not for its timeout. */
    @Test
    void aCallWithoutAFileDescriptorIsMadeOnceOneIsFree() {
        boolean[] full = {true};
        InMemoryRecordsService service = new InMemoryRecordsService();
        ManualClockLoop loop = new ManualClockLoop(address -> {
            if (full[0]) {
                RecordsClientRaceTest.<RuntimeException>sneakyThrow(new IOException("Too many open files"));
            }
            return service;
        });
        try (loop) {
            client = createClient(loop, new InetSocketAddress(1), 4);
            call(1);
            loop.runBatches(2);
            loop.runOnLoop(() -> full[0] = false);
            loop.advance(100);
            loop.runBatches(3);
            assertEquals("OP 0000000000000001 200 1\r\nb\r\n", loop.callOnLoop(service.received::toString));
        }
    }

    @SuppressWarnings("unchecked")
    private static <E extends Throwable> void sneakyThrow(Throwable throwable) throws E {
        throw (E) throwable;
    }

    /** Fills the backlog, so that the address neither accepts nor refuses. */
    private static List<Socket> fillBacklog(ServerSocket server) throws IOException {
        List<Socket> queued = new ArrayList<>();
        assertThrows(SocketTimeoutException.class, () -> {
            while (queued.size() < 20) {
                Socket socket = new Socket();
                queued.add(socket);
                socket.connect(addressOf(server), 200);
            }
        });
        return queued;
    }

    /**
     * Connect attempts that hang: each call ends at its own timeout and its attempt with it, so that the next one has
     * room; calls that have not been sent go to the new address at once when the service moves.
     */
    @Test
    void aHangingConnectAttemptEndsWithItsCallOrMovesWithTheService() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 1, LOOPBACK);
                ServerSocket server = openServer();
                ManualClockLoop loop = new ManualClockLoop()) {
            List<Socket> queued = fillBacklog(silent);
            client = createClient(loop, addressOf(silent), 2);
            call(1);
            call(2);
            call(3);
            loop.advance(200);
            call(4);
            loop.advance(120);
            loop.runBatches(1);
            assertCallOutcomes("1 TIMED_OUT", "2 TIMED_OUT", "3 TIMED_OUT");
            call(5);
            loop.runOnLoop(() -> client.setAddress(addressOf(server)));
            Socket one = acceptCall(server, 4);
            Socket other = acceptCall(server, 5);
            send(other, doneReply(5, "s"));
            assertCallOutcomes("1 TIMED_OUT", "2 TIMED_OUT", "3 TIMED_OUT", "5 OK s");
            send(one, doneReply(4, "r"));
            assertCallOutcomes("1 TIMED_OUT", "2 TIMED_OUT", "3 TIMED_OUT", "5 OK s", "4 OK r");
            for (Socket socket : queued) {
                socket.close();
            }
        }
    }

    /**
     * The service moves: a sent call ends on its connection, which is closed then; the next goes to the new address.
     */
    @Test
    void aSentCallCompletesOnItsConnectionWhenTheServiceMoves() throws IOException {
        try (ServerSocket old = openServer();
                ServerSocket server = openServer();
                ManualClockLoop loop = new ManualClockLoop()) {
            client = createClient(loop, addressOf(old), 1);
            call(1);
            Socket socket = acceptCall(old, 1);
            call(2);
            loop.runOnLoop(() -> client.setAddress(addressOf(server)));
            send(socket, doneReply(1, "r"));
            assertCallOutcomes("1 OK r");
            assertEquals(-1, socket.getInputStream().read());
            Socket next = acceptCall(server, 2);
            call(3);
            // Without an address there is nobody to call; a waiting call has not been sent.
            loop.runOnLoop(() -> client.setAddress(null));
            send(next, doneReply(2, "s"));
            assertCallOutcomes("1 OK r", "3 UNREACHABLE", "2 OK s");
        }
    }

    /**
     * All connections carried the request's own last call, whose reply may be repeated: one is closed for a new one.
     */
    @Test
    void aRequestIsNotSentOnTheConnectionOfItsOwnLastCall() throws IOException {
        try (ServerSocket server = openServer();
                ManualClockLoop loop = new ManualClockLoop()) {
            client = createClient(loop, addressOf(server), 1);
            call(1);
            Socket socket = acceptCall(server, 1);
            send(socket, doneReply(1, "r"));
            assertCallOutcomes("1 OK r");
            call(1);
            Socket next = acceptCall(server, 1);
            send(next, doneReply(1, "s"));
            assertCallOutcomes("1 OK r", "1 OK s");
        }
    }

    /** A second call for a request cancels the first, here as at the service: only the second one's end is reported. */
    @Test
    void aSecondCallForARequestCancelsTheFirst() throws IOException {
        try (ServerSocket server = openServer();
                ManualClockLoop loop = new ManualClockLoop()) {
            client = createClient(loop, addressOf(server), 4);
            call(1);
            Socket socket = acceptCall(server, 1);
            call(1);
            Socket next = acceptCall(server, 1);
            assertEquals(-1, socket.getInputStream().read());
            send(next, doneReply(1, "s"));
            assertCallOutcomes("1 OK s");
            loop.advance(400);
            loop.runBatches(1);
            assertCallOutcomes("1 OK s");
        }
    }

    /**
     * Calls that wait while every connect attempt is refused: each is reported as never run, however many there are.
     */
    @Test
    void manyWaitingCallsEndOneByOneWhenConnectsFail() throws IOException {
        try (ManualClockLoop loop = new ManualClockLoop()) {
            client = createClient(loop, new InetSocketAddress(LOOPBACK, PortAllocator.free()), 4);
            loop.runOnLoop(() -> {
                for (int i = 1; i <= 3000; i++) {
                    client.call(TestRequests.tracked(i), new byte[] {'b'}, CALL_TIMEOUT);
                }
            });
            loop.awaitCondition(() -> callOutcomes.size() == 3000, "all endings");
            assertEquals(
                    3000,
                    callOutcomes.stream()
                            .filter(each -> each.endsWith(" UNREACHABLE"))
                            .distinct()
                            .count());
        }
    }
}
