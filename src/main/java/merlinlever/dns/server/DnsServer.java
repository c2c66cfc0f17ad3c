package merlinlever.dns.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import merlinlever.common.log.EventLog;
import merlinlever.common.net.Connection;
import merlinlever.common.net.ConnectionAcceptor;
import merlinlever.common.net.DatagramEndpoint;
import merlinlever.common.net.EventLoop;
import merlinlever.dns.wire.DnsMessage;

/** Receives DNS messages over UDP and TCP on one address. */
public final class DnsServer {

    private static final Duration TIMEOUT_CHECK_PERIOD = Duration.ofMillis(250);
    private static final int MAX_BIND_ATTEMPTS = 20;

    private final EventLoop loop;
    private final RequestProcessor processor;
    private final DatagramEndpoint datagrams;
    private final ConnectionAcceptor listener;
    private final Set<DnsConnection> connections = new LinkedHashSet<>();
    private final List<ServedZone> zones;
    private EventLoop.Timer wakeUpTimer;

    /**
     * Listen address and connection limit.
     *
     * @param address the address for UDP and TCP; port 0 selects a free port
     * @param maxConnections the maximum number of open connections
     */
    public record ListenSettings(InetSocketAddress address, int maxConnections) {}

    /**
     * Binds the sockets and starts serving.
     *
     * @param unixClock returns Unix seconds
     * @throws IOException if the address cannot be bound
     */
    public DnsServer(
            EventLoop loop,
            ListenSettings listen,
            RequestProcessor.ZonesAndKeys zonesAndKeys,
            RequestProcessor.ProcessorSettings settings,
            LongSupplier unixClock,
            EventLog log,
            ZoneServerMetrics metrics)
            throws IOException {
        this.loop = loop;
        this.zones = zonesAndKeys.zones();
        InetSocketAddress address = listen.address;
        processor = new RequestProcessor(zonesAndKeys, settings, unixClock, log, this::scheduleWakeUp, metrics);
        IOException failure = null;
        ConnectionAcceptor newListener = null;
        DatagramEndpoint newDatagrams = null;
        for (int i = 0; i < MAX_BIND_ATTEMPTS && newDatagrams == null; i++) {
            newListener = new ConnectionAcceptor(
                    loop, address, listen.maxConnections, this::accepted, this::closeIdleConnection);
            try {
                // The port has to be free for both protocols.
                newDatagrams = new DatagramEndpoint(loop, newListener.address(), DnsMessage.MAX_BYTES, this::receive);
            } catch (IOException e) {
                newListener.close();
                failure = e;
                if (address.getPort() != 0) {
                    break;
                }
            }
        }
        if (newDatagrams == null) {
            throw failure;
        }
        listener = newListener;
        datagrams = newDatagrams;
        listener.accept();
        loop.setAfterBatch(() -> processor.decide(loop.clock().now()));
        loop.runNowAndEvery(TIMEOUT_CHECK_PERIOD, () -> List.copyOf(connections)
                .forEach(connection -> connection.closeIfTimedOut(loop.clock().now())));
    }

    /** Returns the address and port that the server listens on. */
    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /** Returns the processor of the received messages. */
    public RequestProcessor processor() {
        return processor;
    }

    private void scheduleWakeUp(Duration at) {
        if (wakeUpTimer != null) {
            wakeUpTimer.cancel();
        }
        wakeUpTimer = loop.schedule(
                at.minus(loop.clock().now()),
                () -> processor.wakeUp(loop.clock().now()));
    }

    private void receive(byte[] octets, InetSocketAddress from, Duration readDelay) {
        processor.receive(loop.clock().now(), octets, readDelay, new ReplyChannel() {
            @Override
            public boolean isDatagram() {
                return true;
            }

            @Override
            public void answer(byte[] response) {
                if (response != null) {
                    datagrams.send(response, from);
                }
            }

            @Override
            public void answer(ZoneTransfer transfer, Consumer<Boolean> onEnded) {
                // A datagram carries only the SOA record of the newest version (RFC 1995 section 2).
                datagrams.send(transfer.next(), from);
                onEnded.accept(true);
            }
        });
    }

    private void accepted(AsynchronousSocketChannel channel) {
        DnsConnection connection = new DnsConnection(loop, processor, this::connectionClosed);
        connections.add(connection);
        connection.attach(Connection.accepted(
                loop, channel, connection, DnsConnection.READ_BUFFER_BYTES, DnsConnection.MAX_QUEUED_BYTES));
    }

    private void connectionClosed(DnsConnection connection) {
        if (connections.remove(connection)) {
            listener.connectionClosed();
        }
    }

    private void closeIdleConnection() {
        for (DnsConnection connection : connections) {
            if (connection.closeIfIdle()) {
                return;
            }
        }
    }

    /**
     * Starts the drain. Messages received within the grace period are still admitted.
     *
     * @param stop the time from now until the process stops
     */
    public void startDrain(Duration stop) {
        processor.startDrain(loop.clock().now(), loop.clock().now().plus(stop));
    }

    /** Closes the listener, and each connection after its last response; see {@link #isDrained}. */
    public void close() {
        listener.close();
        List.copyOf(connections).forEach(DnsConnection::closeWhenAnswered);
    }

    /** Whether all received messages are answered, all connections are closed and no disk write is in flight. */
    public boolean isDrained() {
        return processor.inFlight() == 0
                && connections.isEmpty()
                && zones.stream().allMatch(ServedZone::isIdle);
    }

    /** Closes the datagram socket. */
    public void closeSockets() {
        datagrams.close();
    }
}
