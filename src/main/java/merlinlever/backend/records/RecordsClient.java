package merlinlever.backend.records;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import merlinlever.backend.DownstreamService;
import merlinlever.backend.TrackedRequest;
import merlinlever.common.log.Log;
import merlinlever.common.log.LogEvent;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.EventLoop;
import merlinlever.controller.Outcome;

/**
 * All calls to the records service. A call has a connection to itself until its outcome is known, so that a malformed
 * reply, one that never comes or a broken connection costs one call. A connection that brought one complete reply and
 * nothing else is used again, the one used last first.
 */
public final class RecordsClient implements DownstreamService {

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);
    /**
     * The service may forget connections that are idle for longer; whether a call on one was run would not be known.
     */
    private static final Duration MAX_IDLE = Duration.ofMillis(300);
    /** A reply whose rest takes longer has a length that does not match its body. */
    private static final Duration MAX_PARTIAL_REPLY_TIME = Duration.ofMillis(200);
    /** A reply may take so much longer than the timeout that the service was sent. */
    private static final Duration REPLY_GRACE = Duration.ofMillis(20);

    private final EventLoop loop;
    private final CompletionListener listener;
    private final Log log;
    private final int maxConnections;
    /** Null where there is no service. */
    private InetSocketAddress address;

    private final Map<Long, PendingCall> callsByRequest = new LinkedHashMap<>();
    /** Calls without a connection, in their order. */
    private final ArrayDeque<PendingCall> waiting = new ArrayDeque<>();
    /** Connections without a call, the one used last first. */
    private final ArrayDeque<RecordsConnection> idle = new ArrayDeque<>();

    private final RecordsConnection.Listener connectionListener = new ConnectionListener();

    private int openConnections;
    /** While waiting calls are being sent, a connection that closes must not begin to do the same. */
    private boolean sendingWaiting;

    /**
     * @param address of the service, or null where there is none
     * @param maxConnections at the same time; calls beyond that wait for one
     */
    public RecordsClient(
            EventLoop loop, InetSocketAddress address, CompletionListener listener, Log log, int maxConnections) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
        this.log = log;
        this.maxConnections = maxConnections;
        loop.runNowAndEvery(SWEEP_INTERVAL, this::sweep);
    }

    // ---- calls

    @Override
    public void call(TrackedRequest request, byte[] body, Duration timeout) {
        if (address == null) {
            loop.execute(() -> listener.callEnded(
                    loop.clock().now(), request.id(), callOutcome(CloseReason.CONNECT_TIMEOUT), null));
            return;
        }
        // The service, too, takes a second call for a request as the end of its first.
        cancel(request);
        PendingCall call = new PendingCall(request, body, loop.clock().uptime().plus(timeout));
        callsByRequest.put(request.id(), call);
        // Bytes that have been read already come first: a reply among them is in time, and an idle connection whose
        // close
        // is among them gets no call.
        call.setTimeout(loop.schedule(timeout.plus(REPLY_GRACE), () -> loop.execute(() -> expire(call))));
        waiting.add(call);
        loop.execute(this::sendWaiting);
    }

    private void expire(PendingCall call) {
        if (callsByRequest.get(call.request().id()) == call) {
            abandon(call, Optional.of(Outcome.TIMED_OUT));
        }
    }

    @Override
    public void cancel(TrackedRequest request) {
        PendingCall call = callsByRequest.get(request.id());
        if (call != null) {
            abandon(call, Optional.empty());
        }
    }

    /** Ends the call and its connection, on which the reply may still come. */
    private void abandon(PendingCall call, Optional<Outcome> outcome) {
        RecordsConnection connection = call.connection();
        complete(call, outcome, null);
        if (connection != null) {
            connection.close(CloseReason.TIMED_OUT);
        }
    }

    /** The call is over; the listener is told unless it gave the call up itself. */
    private void complete(PendingCall call, Optional<Outcome> outcome, byte[] reply) {
        callsByRequest.remove(call.request().id());
        waiting.remove(call);
        call.cancelTimeout();
        if (call.connection() != null) {
            call.connection().detachCall();
        }
        if (outcome.isPresent()) {
            listener.callEnded(loop.clock().now(), call.request().id(), outcome.get(), reply);
        }
    }

    // ---- connections

    /**
     * Reaches the service at the address from now on, or nowhere if null; calls that have been sent end where they are.
     */
    public void setAddress(InetSocketAddress newAddress) {
        if (Objects.equals(newAddress, address)) {
            return;
        }
        address = newAddress;
        List<RecordsConnection> connecting = connectingWithCall();
        for (int i = connecting.size() - 1; i >= 0; i--) {
            waiting.addFirst(connecting.get(i).call());
            connecting.get(i).detachCall();
        }
        connecting.forEach(connection -> connection.close(CloseReason.COMPLETED));
        if (newAddress == null) {
            Optional<Outcome> outcome = Optional.of(callOutcome(CloseReason.CONNECT_TIMEOUT));
            List.copyOf(waiting).forEach(call -> complete(call, outcome, null));
        }
        sweep();
    }

    /** In the order of their calls. */
    private List<RecordsConnection> connectingWithCall() {
        List<RecordsConnection> connecting = new ArrayList<>();
        for (PendingCall call : callsByRequest.values()) {
            if (call.connection() != null && !call.connection().isConnected()) {
                connecting.add(call.connection());
            }
        }
        return connecting;
    }

    private void sweep() {
        closeStalled();
        while (!idle.isEmpty() && isExpired(idle.peekLast())) {
            idle.pollLast().close(CloseReason.IDLE);
        }
        // There may be a file descriptor now where there was none.
        sendWaiting();
    }

    private void closeStalled() {
        List<RecordsConnection> stalled = new ArrayList<>(0);
        for (PendingCall call : callsByRequest.values()) {
            if (call.connection() != null && call.connection().isStalledFor(MAX_PARTIAL_REPLY_TIME)) {
                stalled.add(call.connection());
            }
        }
        stalled.forEach(connection -> connection.close(CloseReason.TIMED_OUT));
    }

    private boolean isExpired(RecordsConnection connection) {
        return !connection.address().equals(address) || connection.isIdleFor(MAX_IDLE);
    }

    private void sendWaiting() {
        if (sendingWaiting || address == null) {
            return;
        }
        sendingWaiting = true;
        try {
            boolean sent = true;
            while (sent && !waiting.isEmpty()) {
                Optional<RecordsConnection> connection =
                        connectionFor(waiting.peek().request().id());
                connection.ifPresent(free -> free.send(waiting.poll()));
                sent = connection.isPresent();
            }
        } finally {
            sendingWaiting = false;
        }
    }

    /**
     * A connection for the request's call, if there is one. It is never the one that the request's last call was on, as
     * a second reply to that call would be taken for the reply to the new one.
     */
    private Optional<RecordsConnection> connectionFor(long requestId) {
        for (Iterator<RecordsConnection> connections = idle.iterator(); connections.hasNext(); ) {
            RecordsConnection connection = connections.next();
            if (connection.lastRequestId() != requestId) {
                connections.remove();
                return Optional.of(connection);
            }
        }
        if (openConnections >= maxConnections && !idle.isEmpty()) {
            // All idle connections carried this request's last call: one of them makes room.
            idle.peekLast().close(CloseReason.IDLE);
        }
        if (openConnections >= maxConnections) {
            return Optional.empty();
        }
        try {
            RecordsConnection made = RecordsConnection.connect(loop, address, connectionListener, log);
            openConnections++;
            return Optional.of(made);
        } catch (IOException e) {
            log.error("records-connect-failed", e);
            return Optional.empty();
        }
    }

    /** Acts on what happens on the connections. */
    private final class ConnectionListener implements RecordsConnection.Listener {

        @Override
        public void onReply(PendingCall call, RecordsReply reply) {
            complete(call, Optional.of(reply.outcome()), reply.body());
        }

        @Override
        public void onIdle(RecordsConnection connection) {
            idle.addFirst(connection);
            sendWaiting();
        }

        @Override
        public void onClosed(RecordsConnection connection, CloseReason reason) {
            openConnections--;
            idle.remove(connection);
            PendingCall call = connection.call();
            if (call != null) {
                Outcome outcome = callOutcome(reason);
                log.write(LogEvent.warn("records-connection-lost")
                        .with("reason", reason)
                        .with("request", call.request().idText())
                        .with("outcome", outcome));
                complete(call, Optional.of(outcome), null);
            }
            sendWaiting();
        }

        @Override
        public boolean isCurrent(InetSocketAddress connectionAddress) {
            return connectionAddress.equals(address);
        }
    }

    /** The outcome of a call that was in flight on a connection that was closed. */
    static Outcome callOutcome(CloseReason reason) {
        return reason.wasEstablished() ? Outcome.CONNECTION_LOST : Outcome.UNREACHABLE;
    }
}
