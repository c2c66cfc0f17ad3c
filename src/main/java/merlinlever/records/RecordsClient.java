package merlinlever.records;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import merlinlever.Outcome;
import merlinlever.core.DownstreamService;
import merlinlever.core.TrackedRequest;
import merlinlever.log.Log;
import merlinlever.net.CloseReason;
import merlinlever.net.Connection;
import merlinlever.net.EventLoop;

/**
 * All calls to the records service. Each has a connection to itself while it is in hand, so that one spoilt reply, one
 * that never comes or one broken connection costs one call; a connection that brought its one whole reply and nothing
 * else is used again, the one used last first.
 */
public final class RecordsClient implements DownstreamService {

    private static final int MAX_QUEUED_BYTES = 64 * 1024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);
    /** What is idle for longer may have been forgotten there, and a call on it would be cut off with nothing proven. */
    private static final Duration MAX_IDLE = Duration.ofMillis(300);
    /** A reply whose rest takes longer has a length that does not fit. */
    private static final Duration MAX_PARTIAL_REPLY_TIME = Duration.ofMillis(200);
    /** A reply may take so much longer than the service was told that we wait. */
    private static final Duration REPLY_GRACE = Duration.ofMillis(20);

    private final EventLoop loop;
    private final CompletionListener maker;
    private final Log log;
    private final int maxConnections;
    private InetSocketAddress address;
    private final Map<Long, PendingCall> calls = new LinkedHashMap<>();
    /** Calls in hand that have no line yet. */
    private final ArrayDeque<PendingCall> waiting = new ArrayDeque<>();
    /** Lines without a call, the one used last first. */
    private final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();

    private int lines;
    /** While calls get their lines, a line that ends has the next one to do. */
    private boolean dealing;

    /** One call, from its asking to its end. */
    private static final class PendingCall {
        private final TrackedRequest work;
        private final byte[] body;
        private final Duration until;
        private EventLoop.Timer limit;
        private PooledConnection line;

        PendingCall(TrackedRequest work, byte[] body, Duration until) {
            this.work = work;
            this.body = body;
            this.until = until;
        }
    }

    /** One connection. */
    private final class PooledConnection implements Connection.Handler {
        private final InetSocketAddress to = address;
        private Connection connection;
        private PendingCall call;
        private long lastId;
        private boolean made, surplus;
        /** Since when it has been idle, or has held a part of a reply. */
        private Duration since;

        private boolean partly;

        private void carry(PendingCall next) {
            call = next;
            next.line = this;
            lastId = next.work.id();
            long wait = Math.max(1, next.until.minus(loop.clock().uptime()).toMillis());
            connection.write(
                    ascii("OP " + next.work.idText() + " " + wait + " " + next.body.length + "\r\n"),
                    ByteBuffer.wrap(next.body),
                    ascii("\r\n"));
        }

        @Override
        public void onConnected() {
            made = true;
        }

        @Override
        public void onReceived(ByteBuffer in) {
            try {
                RecordsReply reply = RecordsReply.parse(in.array(), in.position(), in.limit());
                while (reply != null) {
                    in.position(reply.end());
                    if (call != null && reply.id() == lastId) {
                        over(call, reply.ending(), reply.body());
                    } else {
                        surplus = true;
                    }
                    reply = RecordsReply.parse(in.array(), in.position(), in.limit());
                }
            } catch (RecordsReply.MalformedReplyException e) {
                log.warn("records service: " + e.getMessage());
                connection.close(CloseReason.PROTOCOL_ERROR);
                return;
            }
            since = loop.clock().uptime();
            partly = in.hasRemaining();
            if (call != null) {
                return;
            }
            if (surplus || in.hasRemaining() || !to.equals(address)) {
                connection.close(surplus || in.hasRemaining() ? CloseReason.PROTOCOL_ERROR : CloseReason.COMPLETED);
            } else {
                idle.addFirst(this);
                nextWaiting();
            }
        }

        @Override
        public void onClosed(CloseReason how) {
            lines--;
            idle.remove(this);
            if (call != null) {
                log.warn("connection to the records service over: " + how + ", a call in hand");
                over(call, how.callOutcome(), null);
            }
            nextWaiting();
        }
    }

    /**
     * @param address of the service, or null where there is none
     * @param maxConnections connections at the same time; calls beyond that wait for one
     */
    public RecordsClient(EventLoop loop, InetSocketAddress address, CompletionListener maker, Log log, int maxConnections) {
        this.loop = loop;
        this.address = address;
        this.maker = maker;
        this.log = log;
        this.maxConnections = maxConnections;
        loop.runNowAndEvery(SWEEP_INTERVAL, this::sweep);
    }

    /** The service is to be reached there from now on; calls end where they are, but where nothing of them has left. */
    public void setAddress(InetSocketAddress there) {
        if (Objects.equals(there, address)) {
            return;
        }
        address = there;
        List<PooledConnection> unmade = calls.values().stream()
                .map(call -> call.line)
                .filter(line -> line != null && !line.made)
                .toList();
        for (int i = unmade.size(); i-- > 0; ) {
            PooledConnection line = unmade.get(i);
            waiting.addFirst(line.call);
            line.call.line = null;
            line.call = null;
        }
        unmade.forEach(line -> line.connection.close(CloseReason.COMPLETED));
        if (there == null) {
            List.copyOf(waiting).forEach(call -> over(call, CloseReason.CONNECT_TIMEOUT.callOutcome(), null));
        }
        sweep();
    }

    private void sweep() {
        Duration now = loop.clock().uptime();
        calls.values().stream()
                .map(call -> call.line)
                .filter(line ->
                        line != null && line.partly && line.since.plus(MAX_PARTIAL_REPLY_TIME).compareTo(now) <= 0)
                .toList()
                .forEach(line -> line.connection.close(CloseReason.TIMED_OUT));
        while (!idle.isEmpty()
                && (!idle.peekLast().to.equals(address)
                        || idle.peekLast().since.plus(MAX_IDLE).compareTo(now) <= 0)) {
            idle.pollLast().connection.close(CloseReason.IDLE);
        }
        // There may be a descriptor now where there was none.
        nextWaiting();
    }

    @Override
    public void call(TrackedRequest work, byte[] body, Duration within) {
        if (address == null) {
            loop.execute(() -> maker.callEnded(loop.clock().now(), work.id(), CloseReason.CONNECT_TIMEOUT.callOutcome(), null));
            return;
        }
        // The service takes a second call for an operation as the end of its first.
        cancel(work);
        PendingCall call = new PendingCall(work, body, loop.clock().uptime().plus(within));
        calls.put(work.id(), call);
        // What has been read is gone through before: a reply that is among it is in time, and an idle line whose end is
        // among it gets no call.
        call.limit = loop.schedule(within.plus(REPLY_GRACE), () -> loop.execute(() -> expired(call)));
        waiting.add(call);
        loop.execute(this::nextWaiting);
    }

    private void expired(PendingCall call) {
        if (calls.get(call.work.id()) == call) {
            giveUp(call, Outcome.TIMED_OUT);
        }
    }

    @Override
    public void cancel(TrackedRequest work) {
        PendingCall call = calls.get(work.id());
        if (call != null) {
            giveUp(call, null);
        }
    }

    /** With its connection, on which the reply may still come. */
    private void giveUp(PendingCall call, Outcome how) {
        PooledConnection its = call.line;
        over(call, how, null);
        if (its != null) {
            its.connection.close(CloseReason.TIMED_OUT);
        }
    }

    /** The call is in hand no longer; where it matters how it ended, the backend hears of it. */
    private void over(PendingCall call, Outcome how, byte[] reply) {
        calls.remove(call.work.id());
        waiting.remove(call);
        call.limit.cancel();
        if (call.line != null) {
            call.line.call = null;
        }
        if (how != null) {
            maker.callEnded(loop.clock().now(), call.work.id(), how, reply);
        }
    }

    private void nextWaiting() {
        if (dealing || address == null) {
            return;
        }
        dealing = true;
        try {
            PooledConnection line = null;
            while (!waiting.isEmpty() && (line = line(waiting.peek().work.id())) != null) {
                line.carry(waiting.poll());
            }
        } finally {
            dealing = false;
        }
    }

    /** One for the operation's call, or null as long as there is none; never the one that its last call was on. */
    private PooledConnection line(long id) {
        for (Iterator<PooledConnection> all = idle.iterator(); all.hasNext(); ) {
            PooledConnection line = all.next();
            if (line.lastId != id) {
                all.remove();
                return line;
            }
        }
        if (lines >= maxConnections && !idle.isEmpty()) {
            // All that are idle had this operation's last call: one of them makes room.
            idle.peekLast().connection.close(CloseReason.IDLE);
        }
        if (lines >= maxConnections) {
            return null;
        }
        PooledConnection made = new PooledConnection();
        try {
            made.connection = Connection.connect(
                    loop,
                    address,
                    made,
                    RecordsReply.MAX_LINE_BYTES + RecordsReply.MAX_BODY_BYTES + 4,
                    MAX_QUEUED_BYTES,
                    CONNECT_TIMEOUT);
        } catch (IOException e) {
            log.error("no channel to the records service", e);
            return null;
        }
        lines++;
        return made;
    }

    private static ByteBuffer ascii(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
    }
}
