package merlinlever.fleet.membership.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.List;
import java.util.function.LongPredicate;
import merlinlever.common.net.DatagramEndpoint;
import merlinlever.common.net.EventLoop;
import merlinlever.fleet.membership.MemberTable;
import merlinlever.fleet.membership.MembershipCodec;
import merlinlever.fleet.membership.MembershipMessage;
import merlinlever.fleet.membership.OutboundDatagram;
import merlinlever.fleet.membership.SwimProtocol;

/** Runs one member's {@link SwimProtocol} on the event loop and UDP datagrams. On the loop's thread only. */
public final class MembershipTransport {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final int MAX_PORT = 0xffff;

    private final EventLoop loop;
    private final SwimProtocol protocol;
    private final MembershipCodec codec;
    private final DatagramEndpoint datagrams;
    private final LongPredicate mayAnnounce;
    private long rejectedDatagrams;

    /**
     * Starts to run the protocol.
     *
     * @param mayAnnounce whether this incarnation of its own may be sent to peers: not before it is on disk, where one is
     *     persisted
     */
    public MembershipTransport(
            EventLoop loop,
            DatagramEndpoint datagrams,
            SwimProtocol protocol,
            MembershipCodec codec,
            LongPredicate mayAnnounce) {
        this.loop = loop;
        this.datagrams = datagrams;
        this.protocol = protocol;
        this.codec = codec;
        this.mayAnnounce = mayAnnounce;
        loop.runNowAndEvery(TICK_INTERVAL, this::flush);
    }

    /** Takes in a datagram; one that is not of this fleet is counted and dropped. */
    public void receive(byte[] datagram, InetSocketAddress sender) {
        MembershipMessage message = codec.decode(datagram);
        if (message == null) {
            rejectedDatagrams++;
            return;
        }
        // Since the process began: the wall clock may be set.
        protocol.receive(loop.clock().uptime(), formatAddress(sender), message);
        flush();
    }

    /** How many datagrams were not of this fleet. */
    public long rejectedDatagrams() {
        return rejectedDatagrams;
    }

    /** Sends what is due now. */
    public void flush() {
        List<OutboundDatagram> outbound = protocol.tick(loop.clock().uptime());
        MemberTable memberTable = protocol.memberTable();
        if (!mayAnnounce.test(memberTable.ownRecord().incarnation())) {
            // Lost, as any datagram may be.
            return;
        }
        for (OutboundDatagram datagram : outbound) {
            InetSocketAddress address = parseAddress(datagram.address());
            if (address != null) {
                datagrams.send(codec.encode(datagram.message()), address);
            }
        }
    }

    /** Leaves in good order: tells some peers. */
    public void leave() {
        protocol.leave(loop.clock().uptime());
        flush();
    }

    /** An address as {@code ADDRESS:PORT}. */
    public static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** The address of {@code ADDRESS:PORT}; null where it is none. Names are not looked up. */
    public static InetSocketAddress parseAddress(String text) {
        try {
            int colon = text.lastIndexOf(':');
            String host = colon < 0 ? "" : text.substring(0, colon);
            int port = Integer.parseInt(text.substring(colon + 1));
            boolean isNumeric = host.matches("[0-9]+(\\.[0-9]+){3}|[0-9a-fA-F:]+");
            return isNumeric && port > 0 && port <= MAX_PORT
                    ? new InetSocketAddress(InetAddress.getByName(host), port)
                    : null;
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }

    /** Closes the socket. */
    public void close() {
        datagrams.close();
    }
}
