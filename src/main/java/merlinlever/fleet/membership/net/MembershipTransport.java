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

/** Runs a member's {@link SwimProtocol} on the event loop and over UDP. Confined to the event loop thread. */
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
     * Creates the transport and starts to run the protocol.
     *
     * @param mayAnnounce returns whether this member may send the given incarnation of itself to peers; false while the
     *     incarnation still has to be persisted
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

    /** Processes a received datagram; a datagram that is not a valid message of this fleet is counted and dropped. */
    public void receive(byte[] datagram, InetSocketAddress sender) {
        MembershipMessage message = codec.decode(datagram);
        if (message == null) {
            rejectedDatagrams++;
            return;
        }
        // The uptime is monotonic, unlike the wall clock.
        protocol.receive(loop.clock().uptime(), formatAddress(sender), message);
        flush();
    }

    /** Returns the number of received datagrams that were not valid messages of this fleet. */
    public long rejectedDatagrams() {
        return rejectedDatagrams;
    }

    /** Sends the datagrams that are due now. */
    public void flush() {
        List<OutboundDatagram> outbound = protocol.tick(loop.clock().uptime());
        MemberTable memberTable = protocol.memberTable();
        if (!mayAnnounce.test(memberTable.ownRecord().incarnation())) {
            // Drops the datagrams; the protocol tolerates datagram loss.
            return;
        }
        for (OutboundDatagram datagram : outbound) {
            InetSocketAddress address = parseAddress(datagram.address());
            if (address != null) {
                datagrams.send(codec.encode(datagram.message()), address);
            }
        }
    }

    /** Leaves the fleet gracefully and notifies some peers. */
    public void leave() {
        protocol.leave(loop.clock().uptime());
        flush();
    }

    /** Formats an address as {@code ADDRESS:PORT}. */
    public static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Parses a numeric {@code ADDRESS:PORT}; returns null for any other text. Does no DNS lookup. */
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
