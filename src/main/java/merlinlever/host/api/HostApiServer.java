package merlinlever.host.api;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import merlinlever.common.log.EventLog;
import merlinlever.common.net.ConnectionAcceptor;
import merlinlever.common.net.EventLoop;
import merlinlever.fleet.recovery.net.RecoveryCoordinator;
import merlinlever.host.run.HostAgent;
import merlinlever.host.run.PeerAgents;

/**
 * HTTP server of the agent API, used by the {@code fleet} commands and by other agents; {@link ApiRouter} defines the
 * routes. Each connection carries one request, which must contain the shared secret.
 */
public final class HostApiServer implements ClientConnection.Listener {

    /**
     * Settings of the server.
     *
     * @param address listening address
     * @param host name of the machine
     * @param secret shared secret required in each request
     * @param drainGrace time after the start of a drain in which new requests are still accepted
     * @param seed random seed of the overload controller
     */
    public record Settings(InetSocketAddress address, String host, String secret, Duration drainGrace, long seed) {}

    private static final int MAX_CONNECTIONS = 64;
    private static final Duration TIMEOUT_CHECK_PERIOD = Duration.ofMillis(500);

    private final EventLoop loop;
    private final byte[] secret;
    private final OrderAdmission admission;
    private final ApiRouter router;
    private final ConnectionAcceptor acceptor;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Optional<EventLoop.Timer> wakeUp = Optional.empty();

    /**
     * Binds the address and starts to accept connections.
     *
     * @param peers other agents; empty if none are configured
     * @param recovery recovery of this agent; empty if no other agents are configured
     * @throws IOException if binding the address fails
     */
    public HostApiServer(
            EventLoop loop,
            Settings settings,
            HostAgent agent,
            Optional<PeerAgents> peers,
            Optional<RecoveryCoordinator> recovery,
            EventLog log)
            throws IOException {
        this.loop = loop;
        secret = settings.secret.getBytes(StandardCharsets.UTF_8);
        admission = new OrderAdmission(settings.drainGrace, settings.seed, this::scheduleWakeUp, log);
        ReportRenderer reports = new ReportRenderer(settings.host, agent, recovery, this::now);
        acceptor = new ConnectionAcceptor(loop, settings.address, MAX_CONNECTIONS, this::accept, () -> {});
        router = new ApiRouter(loop, agent, peers, admission, reports, acceptor);
        acceptor.accept();
        loop.setAfterBatch(() -> admission.decide(now()));
        loop.runNowAndEvery(
                TIMEOUT_CHECK_PERIOD, () -> List.copyOf(connections).forEach(ClientConnection::closeIfTimedOut));
    }

    private Duration now() {
        return loop.clock().now();
    }

    /** Returns the listening address. */
    public InetSocketAddress address() throws IOException {
        return acceptor.address();
    }

    private void scheduleWakeUp(Duration at) {
        wakeUp.ifPresent(EventLoop.Timer::cancel);
        wakeUp = Optional.of(loop.schedule(at.minus(now()), () -> admission.wakeUp(now())));
    }

    /** Starts a drain: new requests are accepted during the grace period and rejected afterwards. */
    public void startDrain(Duration timeToStop) {
        admission.startDrain(now(), now().plus(timeToStop));
    }

    /** Stops accepting connections; open connections remain open. */
    public void close() {
        acceptor.close();
    }

    /** Returns whether every request has received its response. */
    public boolean isIdle() {
        return admission.requestsInFlight() == 0 && connections.stream().allMatch(ClientConnection::isResponseWritten);
    }

    private void accept(AsynchronousSocketChannel channel) {
        ClientConnection connection = new ClientConnection(loop, channel, secret, this);
        connections.add(connection);
        connection.start();
    }

    @Override
    public void onRequest(ApiRequest request, ClientConnection connection) {
        router.handle(request, connection::send);
    }

    @Override
    public void onClosed(ClientConnection connection) {
        connections.remove(connection);
        acceptor.connectionClosed();
    }
}
