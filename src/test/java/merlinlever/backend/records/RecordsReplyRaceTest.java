package merlinlever.backend.records;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import merlinlever.backend.TestRequests;
import merlinlever.common.net.ManualClockLoop;
import org.junit.jupiter.api.Test;

/** Replies of the records service that race other events, or come with surplus bytes. */
class RecordsReplyRaceTest extends RecordsClientFixture {

    /** A complete reply right before the close counts; a close without one proves nothing about the call. */
    @Test
    void aReplyJustBeforeTheCloseCounts() throws IOException {
        try (ServerSocket server = openServer();
                ManualClockLoop loop = new ManualClockLoop()) {
            client = createClient(loop, addressOf(server), 4);
            call(1);
            Socket socket = acceptCall(server, 1);
            send(socket, doneReply(1, "r"));
            socket.close();
            assertCallOutcomes("1 OK r");
            call(2);
            Socket cut = acceptCall(server, 2);
            send(cut, doneReply(2, "r").substring(0, 22));
            cut.close();
            assertCallOutcomes("1 OK r", "2 CONNECTION_LOST");
        }
    }

    /** A reply that was read before the timeout is processed, behind other tasks, is in time. */
    @Test
    void aReplyReadBeforeTheDeadlineIsInTime() {
        InMemoryRecordsService service = new InMemoryRecordsService();
        ManualClockLoop loop = new ManualClockLoop(address -> service);
        try (loop) {
            client = createClient(loop, new InetSocketAddress(1), 4);
            call(1);
            loop.runBatches(3);
            loop.runOnLoop(() -> {
                service.send(doneReply(1, "r"));
                // More tasks are ready than one batch runs, with the reply behind them; then the timeout is due.
                loop.loop.setAfterBatch(() -> {
                    loop.loop.setAfterBatch(() -> {});
                    for (int i = 0; i < 300; i++) {
                        loop.loop.execute(() -> {});
                    }
                    loop.advanceOnLoop(400);
                });
            });
            assertCallOutcomes("1 OK r");
        }
    }

    /**
     * Cancelled as its reply arrives, in either order: the reply is ignored, and its connection carries no other call.
     */
    @Test
    void aCancelledCallClosesItsConnectionAndItsReplyIsIgnored() throws IOException {
        try (ServerSocket server = openServer();
                ManualClockLoop loop = new ManualClockLoop()) {
            client = createClient(loop, addressOf(server), 4);
            call(1);
            Socket socket = acceptCall(server, 1);
            loop.runOnLoop(() -> {
                try {
                    send(socket, doneReply(1, "late"));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
                client.cancel(TestRequests.tracked(1));
            });
            call(2);
            Socket next = acceptCall(server, 2);
            send(next, doneReply(2, "r"));
            assertCallOutcomes("2 OK r");
            loop.runOnLoop(() -> client.cancel(TestRequests.tracked(2)));
            call(3);
            send(readCall(next, 3), doneReply(3, "s"));
            assertCallOutcomes("2 OK r", "3 OK s");
        }
    }

    /** Bytes before, behind or long after a reply are ignored, and the connection carries no further call. */
    @Test
    void surplusBytesAroundAReplyAreIgnoredAndCloseTheConnection() throws IOException {
        try (ServerSocket server = openServer();
                ManualClockLoop loop = new ManualClockLoop()) {
            client = createClient(loop, addressOf(server), 4);
            String[] beside = {
                doneReply(99, "ahead") + doneReply(1, "r"),
                doneReply(1, "r") + doneReply(1, "copy"),
                doneReply(1, "r") + "\u0007noise",
                doneReply(1, "r") + "half a li"
            };
            List<String> all = new ArrayList<>();
            for (String each : beside) {
                call(1);
                Socket socket = acceptCall(server, 1);
                send(socket, each);
                all.add("1 OK r");
                assertCallOutcomes(all.toArray(String[]::new));
                assertEquals(-1, socket.getInputStream().read(), each);
            }
            // Byte by byte it is the same reply; a repeated reply during the next call does not count for that.
            call(1);
            Socket socket = acceptCall(server, 1);
            for (char c : doneReply(1, "r").toCharArray()) {
                send(socket, "" + c);
            }
            all.add("1 OK r");
            assertCallOutcomes(all.toArray(String[]::new));
            call(2);
            readCall(socket, 2);
            send(socket, doneReply(1, "copy"));
            send(socket, doneReply(2, "s"));
            all.add("2 OK s");
            assertCallOutcomes(all.toArray(String[]::new));
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /** Wrong lengths, endless lines and missing rests each end their call in time, with nothing proven about it. */
    @Test
    void aMalformedReplyEndsItsCallAtOnceOrWithinItsTimeout() throws IOException {
        try (ServerSocket server = openServer();
                ManualClockLoop loop = new ManualClockLoop()) {
            client = createClient(loop, addressOf(server), 4);
            String[] spoilt = {
                "0000000000000001 DONE 3221225472\r\nabc",
                "0000000000000001 DONE -1\r\n",
                "x".repeat(200),
                "\u0000\u0000",
                "0000000000000001 DONE 2\r\nabcd"
            };
            List<String> all = new ArrayList<>();
            // Kept reachable, as the runtime may close sockets that are not.
            List<Socket> held = new ArrayList<>();
            for (String each : spoilt) {
                call(1);
                held.add(acceptCall(server, 1));
                send(held.get(held.size() - 1), each);
                all.add("1 CONNECTION_LOST");
                assertCallOutcomes(all.toArray(String[]::new));
            }
            call(1);
            Socket half = acceptCall(server, 1);
            call(2);
            Socket silent = acceptCall(server, 2);
            send(half, "0000000000000001 DO");
            // Once this one's reply has been read, the half has been read, too.
            call(3);
            send(acceptCall(server, 3), doneReply(3, "r"));
            all.add("3 OK r");
            assertCallOutcomes(all.toArray(String[]::new));
            loop.advance(200);
            loop.advance(100);
            all.add("1 CONNECTION_LOST");
            assertCallOutcomes(all.toArray(String[]::new));
            loop.advance(20);
            loop.runBatches(1);
            all.add("2 TIMED_OUT");
            assertCallOutcomes(all.toArray(String[]::new));
            assertEquals(-1, silent.getInputStream().read());
        }
    }
}
