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

/** The sockets of a DNS server: datagrams and connections on one address. */
public final class DnsServer {

    private static final Duration TIMEOUT_CHECK_PERIOD = Duration.ofMillis(250);
    private static final int MAX_BIND_ATTEMPTS = 20;

    private final EventLoop loop;
    private final RequestProcessor processor;
    private final DatagramEndpoint datagrams;
    private final ConnectionAcceptor listener;
    private final Set<DnsConnection> streams = new LinkedHashSet<>();
    private final List<ServedZone> zones;
    private EventLoop.Timer alarm;

    /**
     * Where the server listens, over UDP and TCP.
     *
     * @param address port 0 takes a free port
     * @param maxConnections open at once
     */
    public record ListenSettings(InetSocketAddress address, int maxConnections) {}

    /**
     * Binds the sockets and starts to serve.
     *
     * @param unixClock in seconds
     * @throws IOException where the address cannot be bound
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
        processor = new RequestProcessor(zonesAndKeys, settings, unixClock, log, this::alarm, metrics);
        IOException failure = null;
        ConnectionAcceptor listening = null;
        DatagramEndpoint taking = null;
        for (int i = 0; i < MAX_BIND_ATTEMPTS && taking == null; i++) {
            listening = new ConnectionAcceptor(
                    loop, address, listen.maxConnections, this::accepted, this::closeIdleConnection);
            try {
                // A free port has to be free for both protocols.
                taking = new DatagramEndpoint(loop, listening.address(), DnsMessage.MAX_BYTES, this::receive);
            } catch (IOException e) {
                listening.close();
                failure = e;
                if (address.getPort() != 0) {
                    break;
                }
            }
        }
        if (taking == null) {
            throw failure;
        }
        listener = listening;
        datagrams = taking;
        listener.accept();
        loop.setAfterBatch(() -> processor.decide(loop.clock().now()));
        loop.runNowAndEvery(TIMEOUT_CHECK_PERIOD, () -> List.copyOf(streams)
                .forEach(stream -> stream.closeIfTimedOut(loop.clock().now())));
    }

    /** The address that it listens on, with the port. */
    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /** The processor of its messages. */
    public RequestProcessor processor() {
        return processor;
    }

    private void alarm(Duration at) {
        if (alarm != null) {
            alarm.cancel();
        }
        alarm = loop.schedule(
                at.minus(loop.clock().now()),
                () -> processor.wakeUp(loop.clock().now()));
    }

    private void receive(byte[] octets, InetSocketAddress from, Duration waited) {
        processor.receive(loop.clock().now(), octets, waited, new ReplyChannel() {
            @Override
            public boolean isDatagram() {
                return true;
            }

            @Override
            public void answer(byte[] answer) {
                if (answer != null) {
                    datagrams.send(answer, from);
                }
            }

            @Override
            public void answer(ZoneTransfer transfer, Consumer<Boolean> done) {
                // By a datagram only the newest version's SOA is told (RFC 1995 section 2).
                datagrams.send(transfer.next(), from);
                done.accept(true);
            }
        });
    }

    private void accepted(AsynchronousSocketChannel channel) {
        DnsConnection stream = new DnsConnection(loop, processor, this::connectionClosed);
        streams.add(stream);
        stream.attach(
                Connection.accepted(loop, channel, stream, DnsConnection.READ_BUFFER, DnsConnection.MAX_QUEUED_BYTES));
    }

    private void connectionClosed(DnsConnection stream) {
        if (streams.remove(stream)) {
            listener.connectionClosed();
        }
    }

    private void closeIdleConnection() {
        for (DnsConnection stream : streams) {
            if (stream.closeIfIdle()) {
                return;
            }
        }
    }

    /** Starts the drain, which ends after {@code stop}; messages within the grace period are still admitted. */
    public void startDrain(Duration stop) {
        processor.startDrain(loop.clock().now(), loop.clock().now().plus(stop));
    }

    /** Stops reading; {@link #isDrained} says when all that was read is answered. */
    public void close() {
        listener.close();
        List.copyOf(streams).forEach(DnsConnection::closeWhenAnswered);
    }

    /** Whether all messages that were read are answered, and no write to the disk is in flight. */
    public boolean isDrained() {
        return processor.inFlight() == 0 && streams.isEmpty() && zones.stream().allMatch(ServedZone::isIdle);
    }

    /** Closes the datagram socket. */
    public void closeSockets() {
        datagrams.close();
    }
}
