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
 * Client of the records service with a connection pool. A call uses a connection exclusively until the outcome is
 * known, so that a malformed or missing reply or a broken connection affects only one call. A connection can be reused
 * after one complete reply without surplus bytes; the most recently used connection is reused first. All methods are
 * called on the event loop's thread.
 */
public final class RecordsClient implements DownstreamService {

    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);
    /** The service may drop connections that are idle for longer; a call sent on one would have an unknown outcome. */
    private static final Duration MAX_IDLE = Duration.ofMillis(300);
    /** Maximum pause within a reply; after a longer pause, the declared length is assumed to be wrong. */
    private static final Duration MAX_REPLY_PAUSE = Duration.ofMillis(200);
    /** Time that a reply may take beyond the timeout that was sent to the service. */
    private static final Duration REPLY_GRACE = Duration.ofMillis(20);

    private final EventLoop loop;
    private final CompletionListener listener;
    private final Log log;
    private final int maxConnections;
    /** Null while no address of the service is known. */
    private InetSocketAddress address;

    private final Map<Long, PendingCall> callsByRequest = new LinkedHashMap<>();
    /** Calls that wait for a connection, in the order of arrival. */
    private final ArrayDeque<PendingCall> waitingCalls = new ArrayDeque<>();
    /** Connections without a call, the most recently used first. */
    private final ArrayDeque<RecordsConnection> idleConnections = new ArrayDeque<>();

    private final RecordsConnection.Listener connectionListener = new ConnectionListener();

    private int openConnections;
    /** Prevents reentry of {@link #sendWaitingCalls} from a connection that closes during the method. */
    private boolean sendingWaitingCalls;

    /**
     * @param address address of the service, or null if not known
     * @param maxConnections maximum number of connections; further calls wait for a free connection
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
        // A second call for a request replaces the first; the service does the same.
        cancel(request);
        PendingCall call = new PendingCall(request, body, loop.clock().uptime().plus(timeout));
        callsByRequest.put(request.id(), call);
        // Both tasks are deferred, so that bytes that were read already are processed first: a reply among them is in
        // time, and a connection that they close gets no call.
        call.setTimeout(loop.schedule(timeout.plus(REPLY_GRACE), () -> loop.execute(() -> expire(call))));
        waitingCalls.add(call);
        loop.execute(this::sendWaitingCalls);
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

    /** Ends the call and closes its connection, as the reply may still arrive there. */
    private void abandon(PendingCall call, Optional<Outcome> outcome) {
        RecordsConnection connection = call.connection();
        complete(call, outcome, null);
        if (connection != null) {
            connection.close(CloseReason.TIMED_OUT);
        }
    }

    /** Ends the call and notifies the listener, unless the outcome is empty, as for a cancelled call. */
    private void complete(PendingCall call, Optional<Outcome> outcome, byte[] reply) {
        callsByRequest.remove(call.request().id());
        waitingCalls.remove(call);
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
     * Sets the address for calls that are not sent yet. Calls that were sent finish on their connections.
     *
     * @param newAddress null if there is none, so that waiting and further calls end as unreachable
     */
    public void setAddress(InetSocketAddress newAddress) {
        if (Objects.equals(newAddress, address)) {
            return;
        }
        address = newAddress;
        List<RecordsConnection> connecting = connectingConnectionsWithCall();
        for (int i = connecting.size() - 1; i >= 0; i--) {
            waitingCalls.addFirst(connecting.get(i).call());
            connecting.get(i).detachCall();
        }
        connecting.forEach(connection -> connection.close(CloseReason.COMPLETED));
        if (newAddress == null) {
            Optional<Outcome> outcome = Optional.of(callOutcome(CloseReason.CONNECT_TIMEOUT));
            List.copyOf(waitingCalls).forEach(call -> complete(call, outcome, null));
        }
        sweep();
    }

    /** Returns the connections that are being established for a call, in the order of their calls. */
    private List<RecordsConnection> connectingConnectionsWithCall() {
        List<RecordsConnection> connecting = new ArrayList<>();
        for (PendingCall call : callsByRequest.values()) {
            if (call.connection() != null && !call.connection().isConnected()) {
                connecting.add(call.connection());
            }
        }
        return connecting;
    }

    private void sweep() {
        closeStalledConnections();
        while (!idleConnections.isEmpty() && isExpired(idleConnections.peekLast())) {
            idleConnections.pollLast().close(CloseReason.IDLE);
        }
        // A file descriptor may have become available since the last attempt to connect.
        sendWaitingCalls();
    }

    private void closeStalledConnections() {
        List<RecordsConnection> stalled = new ArrayList<>(0);
        for (PendingCall call : callsByRequest.values()) {
            if (call.connection() != null && call.connection().isStalledFor(MAX_REPLY_PAUSE)) {
                stalled.add(call.connection());
            }
        }
        stalled.forEach(connection -> connection.close(CloseReason.TIMED_OUT));
    }

    private boolean isExpired(RecordsConnection connection) {
        return !connection.address().equals(address) || connection.isIdleFor(MAX_IDLE);
    }

    private void sendWaitingCalls() {
        if (sendingWaitingCalls || address == null) {
            return;
        }
        sendingWaitingCalls = true;
        try {
            boolean sent = true;
            while (sent && !waitingCalls.isEmpty()) {
                Optional<RecordsConnection> connection =
                        findOrOpenConnection(waitingCalls.peek().request().id());
                connection.ifPresent(free -> free.send(waitingCalls.poll()));
                sent = connection.isPresent();
            }
        } finally {
            sendingWaitingCalls = false;
        }
    }

    /**
     * Returns a connection for the request's call; empty if none is free. The connection of the request's last call is
     * excluded, as a second reply to that call could be mistaken for the reply to the new call.
     */
    private Optional<RecordsConnection> findOrOpenConnection(long requestId) {
        for (Iterator<RecordsConnection> connections = idleConnections.iterator(); connections.hasNext(); ) {
            RecordsConnection connection = connections.next();
            if (connection.lastRequestId() != requestId) {
                connections.remove();
                return Optional.of(connection);
            }
        }
        if (openConnections >= maxConnections && !idleConnections.isEmpty()) {
            // The only idle connections carried this request's last call: close one to make room for a new connection.
            idleConnections.peekLast().close(CloseReason.IDLE);
        }
        if (openConnections >= maxConnections) {
            return Optional.empty();
        }
        try {
            RecordsConnection newConnection = RecordsConnection.connect(loop, address, connectionListener, log);
            openConnections++;
            return Optional.of(newConnection);
        } catch (IOException e) {
            log.error("records-connect-failed", e);
            return Optional.empty();
        }
    }

    /** Handles the events of the connections. */
    private final class ConnectionListener implements RecordsConnection.Listener {

        @Override
        public void onReply(PendingCall call, RecordsReply reply) {
            complete(call, Optional.of(reply.outcome()), reply.body());
        }

        @Override
        public void onIdle(RecordsConnection connection) {
            idleConnections.addFirst(connection);
            sendWaitingCalls();
        }

        @Override
        public void onClosed(RecordsConnection connection, CloseReason reason) {
            openConnections--;
            idleConnections.remove(connection);
            PendingCall call = connection.call();
            if (call != null) {
                Outcome outcome = callOutcome(reason);
                log.write(LogEvent.warn("records-connection-lost")
                        .with("reason", reason)
                        .with("request", call.request().idText())
                        .with("outcome", outcome));
                complete(call, Optional.of(outcome), null);
            }
            sendWaitingCalls();
        }

        @Override
        public boolean isCurrent(InetSocketAddress connectionAddress) {
            return connectionAddress.equals(address);
        }
    }

    /** Returns the outcome of a call whose connection was closed for the reason. */
    static Outcome callOutcome(CloseReason reason) {
        return reason.wasEstablished() ? Outcome.CONNECTION_LOST : Outcome.UNREACHABLE;
    }
}
