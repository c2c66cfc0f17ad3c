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

    private static final Duration LOOK = Duration.ofMillis(50);

    private final EventLoop loop;
    private final SwimProtocol members;
    private final MembershipCodec wire;
    private final DatagramEndpoint datagrams;
    private final LongPredicate mayTell;
    private long strange;

    /** @param mayTell whether this incarnation of its own may be told to others: not before it is on disk, where one is kept */
    public MembershipTransport(
            EventLoop loop,
            DatagramEndpoint datagrams,
            SwimProtocol members,
            MembershipCodec wire,
            LongPredicate mayTell) {
        this.mayTell = mayTell;
        this.loop = loop;
        this.datagrams = datagrams;
        this.members = members;
        this.wire = wire;
        loop.runNowAndEvery(LOOK, this::settle);
    }

    /** A datagram came. */
    public void came(byte[] octets, InetSocketAddress from) {
        SwimProtocol.MembershipMessage message = wire.read(octets);
        if (message == null) {
            strange++;
            return;
        }
        // Since the process began: the other time may be set once more.
        members.heard(loop.clock().uptime(), text(from), message);
        settle();
    }

    /** Datagrams that were not ours. */
    public long strange() {
        return strange;
    }

    /** Sends what is to be sent now. */
    public void settle() {
        List<SwimProtocol.OutboundDatagram> sendings =
                members.settle(loop.clock().uptime());
        if (!mayTell.test(members.views().of(members.views().self()).incarnation())) {
            // Lost, as any datagram may be.
            return;
        }
        for (SwimProtocol.OutboundDatagram sending : sendings) {
            InetSocketAddress to = address(sending.to());
            if (to != null) {
                datagrams.send(wire.write(sending.message()), to);
            }
        }
    }

    public void leave() {
        members.leave(loop.clock().uptime());
        settle();
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Of ADDRESS:PORT; null where it is none. Names are not looked up. */
    public static InetSocketAddress address(String text) {
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
