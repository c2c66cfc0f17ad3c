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
import merlinlever.dns.wire.Tsig;

/** The sockets round the desk: datagrams and connections on one address. */
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

    /** @param connections open at once at the most */
    public DnsServer(
            EventLoop loop,
            InetSocketAddress address,
            int connections,
            List<ServedZone> zones,
            Tsig.TsigKeyRing keys,
            RequestProcessor.ProcessorSettings stated,
            LongSupplier unix,
            EventLog log,
            ZoneServerMetrics counts)
            throws IOException {
        this.loop = loop;
        this.zones = zones;
        processor = new RequestProcessor(zones, keys, stated, unix, log, this::alarm, counts);
        IOException failure = null;
        ConnectionAcceptor listening = null;
        DatagramEndpoint taking = null;
        for (int i = 0; i < MAX_BIND_ATTEMPTS && taking == null; i++) {
            listening = new ConnectionAcceptor(loop, address, connections, this::accepted, this::closeIdleConnection);
            try {
                // A free port is to be free for both.
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

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

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

    /** The notice to leave: the module is told; what comes within the grace is still read. */
    public void startDrain(Duration stop) {
        processor.startDrain(loop.clock().now(), loop.clock().now().plus(stop));
    }

    /** From here on nothing more is read; {@link #isDrained} says when all that was read is answered. */
    public void close() {
        listener.close();
        List.copyOf(streams).forEach(DnsConnection::closeWhenAnswered);
    }

    /** Whether all that was read is answered and written, and what was answered is on the disk. */
    public boolean isDrained() {
        return processor.inFlight() == 0 && streams.isEmpty() && zones.stream().allMatch(ServedZone::isIdle);
    }

    public void closeSockets() {
        datagrams.close();
    }
}
