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
    void aReplyThatCrossesTheEndOfItsConnectionCounts() throws IOException {
        try (ServerSocket place = place();
                ManualClockLoop on = new ManualClockLoop()) {
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
            hasEnded("1 OK r", "2 CONNECTION_LOST");
        }
    }

    /** Read before the limit is gone through, and found behind other work: such a reply is in time. */
    @Example
    void aReplyThatWasReadBeforeTheLimitIsInTime() {
        InMemoryRecordsService party = new InMemoryRecordsService();
        ManualClockLoop on = new ManualClockLoop(address -> party);
        try (on) {
            link = link(on, new InetSocketAddress(1), 4);
            call(1);
            on.batches(3);
            on.run(() -> {
                party.say(done(1, "r"));
                // More is ready than one batch takes, the reply behind it; then the limit is due.
                on.loop.after(() -> {
                    on.loop.after(() -> {});
                    for (int i = 0; i < 300; i++) {
                        on.loop.execute(() -> {});
                    }
                    on.laterNow(400);
                });
            });
            hasEnded("1 OK r");
        }
    }

    /** Given up as its reply arrives, in either order: the reply is nobody's, and its connection carries no other call. */
    @Example
    void aCallThatIsGivenUpTakesItsConnectionAndItsReplyAlong() throws IOException {
        try (ServerSocket place = place();
                ManualClockLoop on = new ManualClockLoop()) {
            link = link(on, at(place), 4);
            call(1);
            Socket line = accept(place, 1);
            on.run(() -> {
                try {
                    say(line, done(1, "late"));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
                link.cancel(TestRequests.tracked(1));
            });
            call(2);
            Socket next = accept(place, 2);
            say(next, done(2, "r"));
            hasEnded("2 OK r");
            on.run(() -> link.cancel(TestRequests.tracked(2)));
            call(3);
            say(hear(next, 3), done(3, "s"));
            hasEnded("2 OK r", "3 OK s");
        }
    }

    /** What comes with a reply, before or behind it or much later, is nobody's reply; the connection gets no call after it. */
    @Example
    void whatComesBesideAReplyIsNobodys() throws IOException {
        try (ServerSocket place = place();
                ManualClockLoop on = new ManualClockLoop()) {
            link = link(on, at(place), 4);
            String[] beside = {
                done(99, "ahead") + done(1, "r"),
                done(1, "r") + done(1, "copy"),
                done(1, "r") + "\u0007noise",
                done(1, "r") + "half a li"
            };
            List<String> all = new ArrayList<>();
            for (String each : beside) {
                call(1);
                Socket line = accept(place, 1);
                say(line, each);
                all.add("1 OK r");
                hasEnded(all.toArray(String[]::new));
                assertEquals(-1, line.getInputStream().read(), each);
            }
            // In pieces of a byte it is the same reply; a copy that follows while another has the connection is not
            // that one's.
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
        try (ServerSocket place = place();
                ManualClockLoop on = new ManualClockLoop()) {
            link = link(on, at(place), 4);
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
                held.add(accept(place, 1));
                say(held.get(held.size() - 1), each);
                all.add("1 CONNECTION_LOST");
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
            all.add("1 CONNECTION_LOST");
            hasEnded(all.toArray(String[]::new));
            on.later(20);
            on.batches(1);
            all.add("2 TIMED_OUT");
            hasEnded(all.toArray(String[]::new));
            assertEquals(-1, silent.getInputStream().read());
        }
    }
}
