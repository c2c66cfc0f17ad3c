package merlinlever.records;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import merlinlever.core.Backend;
import merlinlever.core.Work;
import merlinlever.log.Log;
import merlinlever.net.Connection;
import merlinlever.net.Ended;
import merlinlever.net.Loop;

/** All calls to the records service, on one connection that is made when there is a call and closed when idle. */
public final class RecordsLink {

    private static final int MOST_QUEUED = 8 * 1024 * 1024;
    private static final Duration CONNECT = Duration.ofSeconds(2);
    /** The service closes after 10 s; a call that crosses that would be cut off. */
    private static final Duration IDLE = Duration.ofSeconds(8);
    private static final Duration WATCH = Duration.ofMillis(500);
    /** A connection that says nothing for so long while calls wait is not given more of them. */
    private static final Duration SILENT = Duration.ofSeconds(2);

    private final Loop loop;
    private final Backend backend;
    private final Log log;
    private InetSocketAddress address;
    /** The calls in hand, and the connection that each is on. */
    private final Map<Long, Line> calls = new LinkedHashMap<>();
    private Line line;

    /** One connection. */
    private final class Line implements Connection.User {
        private Connection connection;
        private int inHand;
        /** When it last said something, or was given a call with none in hand. */
        private Duration used = loop.clock().uptime();

        @Override public void read(ByteBuffer in) {
            try {
                Reply reply = Reply.read(in.array(), in.position(), in.limit());
                while (reply != null) {
                    in.position(reply.end());
                    used = loop.clock().uptime();
                    if (calls.get(reply.id()) == this) {
                        over(reply.id());
                        backend.callEnded(loop.clock().now(), reply.id(), reply.ending(), reply.body());
                    }
                    reply = Reply.read(in.array(), in.position(), in.limit());
                }
            } catch (Reply.Malformed e) {
                log.warn("records service: " + e.getMessage());
                connection.end(Ended.MALFORMED);
            }
        }

        @Override public void ended(Ended how) {
            if (line == this) {
                line = null;
            }
            if (inHand > 0) {
                log.warn("connection to the records service over: " + how + ", " + inHand + " calls in hand");
                List<Long> ids = calls.keySet().stream().filter(id -> calls.get(id) == this).toList();
                ids.forEach(RecordsLink.this::over);
                ids.forEach(id -> backend.callEnded(loop.clock().now(), id, how.ofCall(), null));
            }
        }

        private boolean silent(Duration since) {
            return used.plus(since).compareTo(loop.clock().uptime()) <= 0;
        }

        private void watch() {
            if (connection.ended() == null && inHand == 0 && (line != this || silent(IDLE))) {
                connection.end(Ended.IDLE);
            } else if (connection.ended() == null) {
                loop.in(WATCH, this::watch);
            }
        }
    }

    /** @param address of the service, or null where there is none */
    public RecordsLink(Loop loop, InetSocketAddress address, Backend backend, Log log) {
        this.loop = loop;
        this.address = address;
        this.backend = backend;
        this.log = log;
    }

    /** The service is to be reached there from now on; the calls in hand end where they are. */
    public void moveTo(InetSocketAddress there) {
        if (!Objects.equals(there, address)) {
            address = there;
            line = null;
        }
    }

    public void call(Work work, Duration giveUpAfter) {
        if (address == null) {
            notMade(work);
            return;
        }
        if (line != null && line.inHand > 0 && line.silent(SILENT)) {
            log.warn("records service silent, " + line.inHand + " calls in hand: another connection");
            line = null;
        }
        try {
            if (line == null) {
                Line made = new Line();
                made.connection = Connection.to(loop, address, made, Reply.LONGEST_LINE + Reply.LONGEST_BODY + 4,
                        MOST_QUEUED, CONNECT);
                line = made;
                made.watch();
            }
        } catch (IOException e) {
            log.error("no channel to the records service", e);
            notMade(work);
            return;
        }
        if (line.inHand++ == 0) {
            line.used = loop.clock().uptime();
        }
        calls.put(work.id(), line);
        byte[] body = work.callBody();
        line.connection.write(ascii("OP " + work.name() + " " + Math.max(1, giveUpAfter.toMillis()) + " "
                + body.length + "\r\n"), ByteBuffer.wrap(body), ascii("\r\n"));
    }

    private void notMade(Work work) {
        loop.execute(() -> backend.callEnded(loop.clock().now(), work.id(), Ended.NOT_MADE.ofCall(), null));
    }

    public void giveUp(Work work) {
        Line its = over(work.id());
        if (its != null) {
            its.connection.write(ascii("UNOP " + work.name() + "\r\n"));
        }
    }

    /** The call is in hand no longer; returns the connection that it was on, or null. */
    private Line over(long id) {
        Line its = calls.remove(id);
        if (its != null) {
            its.inHand--;
        }
        return its;
    }

    private static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }
}
