package merlinlever.records;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import merlinlever.core.TestRequests;
import merlinlever.net.ManualClockLoop;
import net.jqwik.api.Example;

/** Replies of the records service that cross other events, or come with what does not belong to them. */
class RecordsReplyRaceTest extends RecordsClientFixture {

    /** A whole reply with a close right behind it is a reply; a close without one proves nothing. */
    @Example
    void aReplyJustBeforeTheCloseCounts() throws IOException {
        try (ServerSocket place = openServer();
                ManualClockLoop on = new ManualClockLoop()) {
            client = createClient(on, addressOf(place), 4);
            call(1);
            Socket line = acceptCall(place, 1);
            send(line, doneReply(1, "r"));
            line.close();
            assertCallOutcomes("1 OK r");
            call(2);
            Socket cut = acceptCall(place, 2);
            send(cut, doneReply(2, "r").substring(0, 22));
            cut.close();
            assertCallOutcomes("1 OK r", "2 CONNECTION_LOST");
        }
    }

    /** Read before the limit is gone through, and found behind other work: such a reply is in time. */
    @Example
    void aReplyReadBeforeTheDeadlineIsInTime() {
        InMemoryRecordsService party = new InMemoryRecordsService();
        ManualClockLoop on = new ManualClockLoop(address -> party);
        try (on) {
            client = createClient(on, new InetSocketAddress(1), 4);
            call(1);
            on.runBatches(3);
            on.runOnLoop(() -> {
                party.send(doneReply(1, "r"));
                // More is ready than one batch takes, the reply behind it; then the limit is due.
                on.loop.setAfterBatch(() -> {
                    on.loop.setAfterBatch(() -> {});
                    for (int i = 0; i < 300; i++) {
                        on.loop.execute(() -> {});
                    }
                    on.advanceOnLoop(400);
                });
            });
            assertCallOutcomes("1 OK r");
        }
    }

    /** Given up as its reply arrives, in either order: the reply is nobody's, and its connection carries no other call. */
    @Example
    void aCancelledCallClosesItsConnectionAndItsReplyIsIgnored() throws IOException {
        try (ServerSocket place = openServer();
                ManualClockLoop on = new ManualClockLoop()) {
            client = createClient(on, addressOf(place), 4);
            call(1);
            Socket line = acceptCall(place, 1);
            on.runOnLoop(() -> {
                try {
                    send(line, doneReply(1, "late"));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
                client.cancel(TestRequests.tracked(1));
            });
            call(2);
            Socket next = acceptCall(place, 2);
            send(next, doneReply(2, "r"));
            assertCallOutcomes("2 OK r");
            on.runOnLoop(() -> client.cancel(TestRequests.tracked(2)));
            call(3);
            send(readCall(next, 3), doneReply(3, "s"));
            assertCallOutcomes("2 OK r", "3 OK s");
        }
    }

    /** What comes with a reply, before or behind it or much later, is nobody's reply; the connection gets no call after it. */
    @Example
    void surplusBytesAroundAReplyAreIgnoredAndCloseTheConnection() throws IOException {
        try (ServerSocket place = openServer();
                ManualClockLoop on = new ManualClockLoop()) {
            client = createClient(on, addressOf(place), 4);
            String[] beside = {
                doneReply(99, "ahead") + doneReply(1, "r"),
                doneReply(1, "r") + doneReply(1, "copy"),
                doneReply(1, "r") + "\u0007noise",
                doneReply(1, "r") + "half a li"
            };
            List<String> all = new ArrayList<>();
            for (String each : beside) {
                call(1);
                Socket line = acceptCall(place, 1);
                send(line, each);
                all.add("1 OK r");
                assertCallOutcomes(all.toArray(String[]::new));
                assertEquals(-1, line.getInputStream().read(), each);
            }
            // In pieces of a byte it is the same reply; a copy that follows while another has the connection is not
            // that one's.
            call(1);
            Socket line = acceptCall(place, 1);
            for (char c : doneReply(1, "r").toCharArray()) {
                send(line, "" + c);
            }
            all.add("1 OK r");
            assertCallOutcomes(all.toArray(String[]::new));
            call(2);
            readCall(line, 2);
            send(line, doneReply(1, "copy"));
            send(line, doneReply(2, "s"));
            all.add("2 OK s");
            assertCallOutcomes(all.toArray(String[]::new));
            assertEquals(-1, line.getInputStream().read());
        }
    }

    /** Lengths that do not fit, lines without end, a rest that never comes: each ends its call, which proves nothing, in time. */
    @Example
    void aMalformedReplyEndsItsCallAtOnceOrWithinItsTimeout() throws IOException {
        try (ServerSocket place = openServer();
                ManualClockLoop on = new ManualClockLoop()) {
            client = createClient(on, addressOf(place), 4);
            String[] spoilt = {
                "0000000000000001 DONE 3221225472\r\nabc",
                "0000000000000001 DONE -1\r\n",
                "x".repeat(200),
                "\u0000\u0000",
                "0000000000000001 DONE 2\r\nabcd"
            };
            List<String> all = new ArrayList<>();
            // Not to be closed from here: what is let go of may be.
            List<Socket> held = new ArrayList<>();
            for (String each : spoilt) {
                call(1);
                held.add(acceptCall(place, 1));
                send(held.get(held.size() - 1), each);
                all.add("1 CONNECTION_LOST");
                assertCallOutcomes(all.toArray(String[]::new));
            }
            call(1);
            Socket half = acceptCall(place, 1);
            call(2);
            Socket silent = acceptCall(place, 2);
            send(half, "0000000000000001 DO");
            // What is read of this one behind it shows that the half has been read, too.
            call(3);
            send(acceptCall(place, 3), doneReply(3, "r"));
            all.add("3 OK r");
            assertCallOutcomes(all.toArray(String[]::new));
            on.advance(200);
            on.advance(100);
            all.add("1 CONNECTION_LOST");
            assertCallOutcomes(all.toArray(String[]::new));
            on.advance(20);
            on.runBatches(1);
            all.add("2 TIMED_OUT");
            assertCallOutcomes(all.toArray(String[]::new));
            assertEquals(-1, silent.getInputStream().read());
        }
    }
}
