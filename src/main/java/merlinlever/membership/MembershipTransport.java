package merlinlever.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;
import java.util.function.LongPredicate;
import merlinlever.net.DatagramEndpoint;
import merlinlever.net.EventLoop;

/** The members on datagrams. */
public final class MembershipTransport {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private final EventLoop loop;
    private final SwimProtocol protocol;
    private final MembershipCodec codec;
    private final DatagramEndpoint datagrams;
    private final LongPredicate mayAnnounce;
    private long rejectedDatagrams;

    /** @param mayAnnounce whether this incarnation of its own may be told to others: not before it is on disk, where one is kept */
    public MembershipTransport(
            EventLoop loop,
            DatagramEndpoint datagrams,
            SwimProtocol protocol,
            MembershipCodec codec,
            LongPredicate mayAnnounce) {
        this.mayAnnounce = mayAnnounce;
        this.loop = loop;
        this.datagrams = datagrams;
        this.protocol = protocol;
        this.codec = codec;
        loop.every(TICK_INTERVAL, this::flush);
    }

    /** A datagram came. */
    public void receive(byte[] bytes, InetSocketAddress from) {
        SwimProtocol.MembershipMessage message = codec.decode(bytes);
        if (message == null) {
            rejectedDatagrams++;
            return;
        }
        // Since the process began: the other time may be set once more.
        protocol.receive(loop.clock().uptime(), formatAddress(from), message);
        flush();
    }

    /** Datagrams that were not ours. */
    public long rejectedDatagrams() {
        return rejectedDatagrams;
    }

    /** Sends what is to be sent now. */
    public void flush() {
        List<SwimProtocol.OutboundDatagram> sendings =
                protocol.tick(loop.clock().uptime());
        if (!mayAnnounce.test(protocol.memberTable().find(protocol.memberTable().self()).incarnation())) {
            // Lost, as any datagram may be.
            return;
        }
        for (SwimProtocol.OutboundDatagram sending : sendings) {
            InetSocketAddress to = parseAddress(sending.address());
            if (to != null) {
                datagrams.send(codec.encode(sending.message()), to);
            }
        }
    }

    public void leave() {
        protocol.leave(loop.clock().uptime());
        flush();
    }

    public static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Of ADDRESS:PORT; null where it is none. Names are not looked up. */
    public static InetSocketAddress parseAddress(String text) {
        try {
            int colon = text.lastIndexOf(':');
            String host = colon < 0 ? "" : text.substring(0, colon);
            int port = Integer.parseInt(text.substring(colon + 1));
            return host.matches("[0-9]+(\\.[0-9]+){3}|[0-9a-fA-F:]+") && port > 0 && port <= 0xffff
                    ? new InetSocketAddress(InetAddress.getByName(host), port)
                    : null;
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }

    public void close() {
        datagrams.close();
    }
}
