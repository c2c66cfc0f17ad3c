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

/** Races of calls with the opening, closing and reuse of connections to the records service. */
class RecordsClientRaceTest extends RecordsClientFixture {

    /** A call is not sent on an idle connection whose close was read but is not processed yet. */
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
                services.get(0).connection().close(CloseReason.IDLE);
                client.call(TestRequests.tracked(2), new byte[] {'b'}, CALL_TIMEOUT);
            });
            loop.runBatches(3);
            assertEquals(2, services.size());
            loop.runOnLoop(() -> services.get(1).send(doneReply(2, "s")));
            assertCallOutcomes("1 OK r", "2 OK s");
        }
    }

    /** A call for which no file descriptor is free is sent as soon as one is free, rather than timing out. */
    @Test
    void aCallWithoutAFileDescriptorIsMadeOnceOneIsFree() {
        boolean[] descriptorsExhausted = {true};
        InMemoryRecordsService service = new InMemoryRecordsService();
        ManualClockLoop loop = new ManualClockLoop(address -> {
            if (descriptorsExhausted[0]) {
                RecordsClientRaceTest.<RuntimeException>sneakyThrow(new IOException("Too many open files"));
            }
            return service;
        });
        try (loop) {
            client = createClient(loop, new InetSocketAddress(1), 4);
            call(1);
            loop.runBatches(2);
            loop.runOnLoop(() -> descriptorsExhausted[0] = false);
            loop.advance(100);
            loop.runBatches(3);
            assertEquals("OP 0000000000000001 200 1\r\nb\r\n", loop.callOnLoop(service.received::toString));
        }
    }

    @SuppressWarnings("unchecked")
    private static <E extends Throwable> void sneakyThrow(Throwable throwable) throws E {
        throw (E) throwable;
    }

    /** Fills the server's backlog, so that further connect attempts hang, and returns the sockets. */
    private static List<Socket> fillBacklog(ServerSocket server) throws IOException {
        List<Socket> backlogSockets = new ArrayList<>();
        assertThrows(SocketTimeoutException.class, () -> {
            while (backlogSockets.size() < 20) {
                Socket socket = new Socket();
                backlogSockets.add(socket);
                socket.connect(addressOf(server), 200);
            }
        });
        return backlogSockets;
    }

    /**
     * A hanging connect attempt ends at the timeout of its call and frees its place in the pool. Calls that are not
     * sent yet go to the new address when the service moves.
     */
    @Test
    void aHangingConnectAttemptEndsWithItsCallOrWhenTheServiceMoves() throws IOException {
        try (ServerSocket unresponsive = new ServerSocket(0, 1, LOOPBACK);
                ServerSocket server = openServer();
                ManualClockLoop loop = new ManualClockLoop()) {
            List<Socket> backlogSockets = fillBacklog(unresponsive);
            client = createClient(loop, addressOf(unresponsive), 2);
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
            Socket fourth = acceptCall(server, 4);
            Socket fifth = acceptCall(server, 5);
            send(fifth, doneReply(5, "s"));
            assertCallOutcomes("1 TIMED_OUT", "2 TIMED_OUT", "3 TIMED_OUT", "5 OK s");
            send(fourth, doneReply(4, "r"));
            assertCallOutcomes("1 TIMED_OUT", "2 TIMED_OUT", "3 TIMED_OUT", "5 OK s", "4 OK r");
            for (Socket socket : backlogSockets) {
                socket.close();
            }
        }
    }

    /**
     * When the service moves, a call that was sent finishes on its connection, which is then closed. The next call goes
     * to the new address.
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
            // Without an address, a waiting call ends as unreachable, as it was never sent.
            loop.runOnLoop(() -> client.setAddress(null));
            send(next, doneReply(2, "s"));
            assertCallOutcomes("1 OK r", "3 UNREACHABLE", "2 OK s");
        }
    }

    /**
     * If all connections carried the last call of the same request, one is closed and replaced, as the reply to that
     * call may be repeated.
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

    /** A second call for a request cancels the first, and only the end of the second call is reported. */
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

    /** If every connect attempt is refused, each of many waiting calls is reported as unreachable. */
    @Test
    void manyWaitingCallsEndOneByOneWhenConnectsFail() throws IOException {
        try (ManualClockLoop loop = new ManualClockLoop()) {
            client = createClient(loop, new InetSocketAddress(LOOPBACK, PortAllocator.free()), 4);
            loop.runOnLoop(() -> {
                for (int i = 1; i <= 3000; i++) {
                    client.call(TestRequests.tracked(i), new byte[] {'b'}, CALL_TIMEOUT);
                }
            });
            loop.awaitCondition(() -> callOutcomes.size() == 3000, "end of all calls");
            assertEquals(
                    3000,
                    callOutcomes.stream()
                            .filter(callOutcome -> callOutcome.endsWith(" UNREACHABLE"))
                            .distinct()
                            .count());
        }
    }
}
