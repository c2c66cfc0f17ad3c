package merlinlever.records;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import merlinlever.Ending;
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

    private final Loop loop;
    private final InetSocketAddress address;
    private final Backend backend;
    private final Log log;
    private Line line;

    /** One connection, with the calls in hand on it. */
    private final class Line implements Connection.User {
        private final Map<Long, Work> inHand = new LinkedHashMap<>();
        private Connection connection;
        private Duration used;

        @Override public void read(ByteBuffer in) {
            try {
                Reply reply = Reply.read(in.array(), in.position(), in.limit());
                while (reply != null) {
                    in.position(reply.end());
                    used = loop.clock().now();
                    if (inHand.remove(reply.id()) != null) {
                        backend.callEnded(used, reply.id(), reply.ending(), reply.body());
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
            if (!inHand.isEmpty()) {
                log.warn("connection to the records service over: " + how + ", " + inHand.size() + " calls in hand");
            }
            // One may be made again while these are told.
            List.copyOf(inHand.keySet()).forEach(id ->
                    backend.callEnded(loop.clock().now(), id, how.ofCall(), null));
        }

        void watch() {
            Duration left = used.plus(IDLE).minus(loop.clock().now());
            if (connection.ended() != null) {
                return;
            }
            if (!inHand.isEmpty()) {
                loop.in(IDLE, this::watch);
            } else if (left.isNegative() || left.isZero()) {
                connection.end(Ended.IDLE);
            } else {
                loop.in(left, this::watch);
            }
        }
    }

    public RecordsLink(Loop loop, InetSocketAddress address, Backend backend, Log log) {
        this.loop = loop;
        this.address = address;
        this.backend = backend;
        this.log = log;
    }

    public void call(Work work, Duration giveUpAfter) {
        byte[] body = work.callBody();
        long id = Long.parseUnsignedLong(work.name(), 16);
        if (line == null) {
            Line made = new Line();
            made.used = loop.clock().now();
            try {
                made.connection = Connection.to(loop, address, made, Reply.LONGEST_LINE + Reply.LONGEST_BODY + 4,
                        MOST_QUEUED, CONNECT);
            } catch (IOException e) {
                log.error("no channel to the records service", e);
                loop.execute(() -> backend.callEnded(loop.clock().now(), id, Ending.UNREACHABLE, null));
                return;
            }
            line = made;
            made.watch();
        }
        line.used = loop.clock().now();
        line.inHand.put(id, work);
        line.connection.write(ascii("OP " + work.name() + " " + Math.max(1, giveUpAfter.toMillis()) + " "
                + body.length + "\r\n"), ByteBuffer.wrap(body), ascii("\r\n"));
    }

    public void giveUp(Work work) {
        if (line != null && line.inHand.remove(Long.parseUnsignedLong(work.name(), 16)) != null) {
            line.connection.write(ascii("UNOP " + work.name() + "\r\n"));
        }
    }

    private static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }
}
