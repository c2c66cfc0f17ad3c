package merlinlever.cli;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import merlinlever.agent.LineDecoder;
import merlinlever.json.Json;
import merlinlever.log.Log;
import merlinlever.net.CloseReason;
import merlinlever.net.Connection;
import merlinlever.net.EventLoop;
import merlinlever.net.MonotonicClock;

/**
 * Takes the program's own code through some operations before the first real one, on connections in memory and with
 * everything of its own, so that the runtime has read and compiled it: on part of a core the first seconds of cold code
 * cost a good part of the operations that came in them.
 */
final class WarmUp {

    private static final Duration LONGEST = Duration.ofMillis(2500);
    /** From the beginning of the program; with what the first answers take it is to be ready in twice that. */
    private static final Duration THROUGH = Duration.ofSeconds(5);
    /** What the runtime takes before the program begins, in parts of what the program takes up to here: a little under one. */
    private static final int RUNTIME = 1;

    private static final int OPERATIONS = 1500;
    private static final int CALLERS = 6;
    private static final InetSocketAddress AGENT = new InetSocketAddress(1);
    private static final InetSocketAddress RECORDS = new InetSocketAddress(2);
    private static final int BUFFER = 8 * 1024;

    private final Map<String, String> given;
    private final EventLoop loop;
    private int asked;

    /** What all stand-ins are: they say things on their connection, and what happens to it does not matter to them. */
    private abstract static class StubPeer implements Connection.InMemoryPeer {
        private Connection connection;

        @Override
        public void on(Connection mine) {
            connection = mine;
        }

        void say(String text) {
            connection.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
        }

        @Override
        public void ended(CloseReason how) {}
    }

    /** Runs each operation at once, with a call in it where there is someone to call. */
    private static final class StubAgent extends StubPeer {
        private final LineDecoder lines = new LineDecoder(BUFFER * 8);
        private final boolean calls;
        private int offset;

        StubAgent(boolean calls) {
            this.calls = calls;
        }

        @Override
        public void read(ByteBuffer in) {
            lines.take(in, this::command);
        }

        private void command(String line) {
            try {
                Map<?, ?> command = Json.object(line);
                String request = "\",\"offset\":" + (offset + 1) + ",\"req\":\"" + command.get("req")
                        + "\",\"payload\":\"AQID\"";
                switch (String.valueOf(command.get("cmd"))) {
                    case "subscribe" -> say("{\"cmd\":\"greeting\",\"result\":\"WARM\",\"elapsed_ms\":1.5}\n");
                    case "sample" -> say("{\"cmd\":\"sampled\",\"token\":\"" + command.get("token")
                            + "\",\"load\":[0.1,0,0.1,9]}\n");
                    case "launch" -> numbered(calls ? "{\"cmd\":\"request" + request : done(request));
                    case "deliver" -> numbered(done(request));
                    default -> {}
                }
            } catch (Json.MalformedJsonException e) {
                throw new IllegalStateException(e);
            }
        }

        private static String done(String request) {
            return "{\"cmd\":\"outcome" + request + ",\"result\":\"OK\",\"elapsed_ms\":1.25";
        }

        private void numbered(String notice) {
            offset++;
            say(notice + "}\n");
        }
    }

    /** Answers each call at once. */
    private static final class StubRecordsService extends StubPeer {
        @Override
        public void read(ByteBuffer in) {
            String text = StandardCharsets.ISO_8859_1.decode(in.duplicate()).toString();
            int end = text.indexOf("\r\n");
            int length = end < 0 ? 0 : Integer.parseInt(text.substring(text.lastIndexOf(' ', end) + 1, end));
            if (end >= 0 && text.length() >= end + 4 + length) {
                in.position(in.limit());
                say(text.substring(3, 19) + " DONE 3\r\nabc\r\n");
            }
        }
    }

    /** Asks for one operation after the other. */
    private final class StubEdgeClient extends StubPeer {
        @Override
        public void read(ByteBuffer in) {
            // Answers come whole; the next message may follow each.
            in.position(in.limit());
            ask();
        }

        void ask() {
            if (asked++ >= OPERATIONS) {
                loop.stop();
                return;
            }
            int tariffs = 0;
            while (given.containsKey("tariffs." + tariffs + ".name")) {
                tariffs++;
            }
            String at = "tariffs." + asked % tariffs + ".";
            String token = given.getOrDefault(at + "kind", "").equals("fingerprinted")
                    ? "Req-Token: " + String.format("%032x", asked) + "\r\n"
                    : "";
            say("POST /svc/" + given.get(at + "name") + " HTTP/1.1\r\nHost: rehearsal\r\nReq-Id: "
                    + String.format("%016x", asked) + "\r\nReq-Time: " + System.currentTimeMillis()
                    + "\r\nReq-From: 1\r\nReq-Wait-Ms: 5000\r\nReq-Cost: 1.25\r\nReq-Kb: 1.5\r\nReq-Rank: 0.5000\r\n"
                    + token
                    + "Content-Length: 3\r\n\r\nabc");
        }
    }

    private WarmUp(Map<String, String> given, boolean calls) {
        this.given = given;
        loop = new EventLoop(
                MonotonicClock.system(),
                failure -> {},
                address -> address.equals(AGENT) ? new StubAgent(calls) : new StubRecordsService());
        Log unheard = new Log(new PrintStream(OutputStream.nullOutputStream()), Instant::now);
        BackendAssembly assembly = new BackendAssembly(loop, given, 1, AGENT, RECORDS, 64, unheard);
        for (int i = 0; i < CALLERS; i++) {
            StubEdgeClient caller = new StubEdgeClient();
            assembly.edge.take(user -> Connection.pair(loop, user, caller, BUFFER, 8 * BUFFER));
            loop.in(Duration.ofMillis(5), caller::ask);
        }
    }

    /**
     * For how long it may rehearse, given what the program took up to here: that is so much work on any machine, and where
     * processor is short it took long. The rehearsal gives way then, and the program is ready in time.
     */
    static Duration longest(Duration took) {
        Duration left = THROUGH.minus(took.multipliedBy(1 + RUNTIME));
        return left.isNegative() ? Duration.ZERO : left.compareTo(LONGEST) < 0 ? left : LONGEST;
    }

    /** Returns how many operations it came to. */
    static int run(Map<String, String> given, boolean calls, Duration longest) {
        if (longest.isZero()) {
            return 0;
        }
        long began = System.nanoTime();
        WarmUp rehearsal = new WarmUp(given, calls);
        // Putting it together loads most of the classes: where processor is short that alone takes a second or more.
        rehearsal.loop.in(longest.minusNanos(System.nanoTime() - began), rehearsal.loop::stop);
        rehearsal.loop.run();
        return Math.min(rehearsal.asked, OPERATIONS);
    }
}
