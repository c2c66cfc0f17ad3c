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

/** Replies of the records service that race with other events or are followed by surplus bytes. */
class RecordsReplyRaceTest extends RecordsClientFixture {

    /** A complete reply just before the close is accepted; a close without one leaves the outcome unknown. */
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
            Socket truncated = acceptCall(server, 2);
            send(truncated, doneReply(2, "r").substring(0, 22));
            truncated.close();
            assertCallOutcomes("1 OK r", "2 CONNECTION_LOST");
        }
    }

    /** A reply that was read before the timeout is in time, even if other tasks delay its processing. */
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
                // Queues more tasks than one batch runs ahead of the reply, then lets the timeout become due.
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
     * If a call is cancelled while its reply arrives, the reply is ignored and the connection is closed. A cancellation
     * after the reply has no effect.
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

    /** Surplus bytes before or after a reply are ignored, and the connection is not reused. */
    @Test
    void surplusBytesAroundAReplyAreIgnoredAndCloseTheConnection() throws IOException {
        try (ServerSocket server = openServer();
                ManualClockLoop loop = new ManualClockLoop()) {
            client = createClient(loop, addressOf(server), 4);
            String[] replies = {
                doneReply(99, "ahead") + doneReply(1, "r"),
                doneReply(1, "r") + doneReply(1, "copy"),
                doneReply(1, "r") + "\u0007noise",
                doneReply(1, "r") + "half a li"
            };
            List<String> expected = new ArrayList<>();
            for (String reply : replies) {
                call(1);
                Socket socket = acceptCall(server, 1);
                send(socket, reply);
                expected.add("1 OK r");
                assertCallOutcomes(expected.toArray(String[]::new));
                assertEquals(-1, socket.getInputStream().read(), reply);
            }
            // A reply may arrive byte by byte. A repeated reply must not be mistaken for the reply to the next call.
            call(1);
            Socket socket = acceptCall(server, 1);
            for (char c : doneReply(1, "r").toCharArray()) {
                send(socket, "" + c);
            }
            expected.add("1 OK r");
            assertCallOutcomes(expected.toArray(String[]::new));
            call(2);
            readCall(socket, 2);
            send(socket, doneReply(1, "copy"));
            send(socket, doneReply(2, "s"));
            expected.add("2 OK s");
            assertCallOutcomes(expected.toArray(String[]::new));
            assertEquals(-1, socket.getInputStream().read());
        }
    }

    /** Replies with wrong lengths, endless lines or missing bytes each end their call in time with unknown outcome. */
    @Test
    void aMalformedReplyEndsItsCallAtOnceOrWithinItsTimeout() throws IOException {
        try (ServerSocket server = openServer();
                ManualClockLoop loop = new ManualClockLoop()) {
            client = createClient(loop, addressOf(server), 4);
            String[] malformedReplies = {
                "0000000000000001 DONE 3221225472\r\nabc",
                "0000000000000001 DONE -1\r\n",
                "x".repeat(200),
                "\u0000\u0000",
                "0000000000000001 DONE 2\r\nabcd"
            };
            List<String> expected = new ArrayList<>();
            // Keeps the sockets reachable, as the runtime may close unreachable sockets.
            List<Socket> sockets = new ArrayList<>();
            for (String reply : malformedReplies) {
                call(1);
                sockets.add(acceptCall(server, 1));
                send(sockets.get(sockets.size() - 1), reply);
                expected.add("1 CONNECTION_LOST");
                assertCallOutcomes(expected.toArray(String[]::new));
            }
            call(1);
            Socket partial = acceptCall(server, 1);
            call(2);
            Socket unanswered = acceptCall(server, 2);
            send(partial, "0000000000000001 DO");
            // The reply to the third call is read after the partial reply to the first.
            call(3);
            send(acceptCall(server, 3), doneReply(3, "r"));
            expected.add("3 OK r");
            assertCallOutcomes(expected.toArray(String[]::new));
            loop.advance(200);
            loop.advance(100);
            expected.add("1 CONNECTION_LOST");
            assertCallOutcomes(expected.toArray(String[]::new));
            loop.advance(20);
            loop.runBatches(1);
            expected.add("2 TIMED_OUT");
            assertCallOutcomes(expected.toArray(String[]::new));
            assertEquals(-1, unanswered.getInputStream().read());
        }
    }
}
