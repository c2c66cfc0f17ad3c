package merlinlever.members;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import merlinlever.net.Datagrams;
import merlinlever.net.Loop;

/** The members on datagrams. */
public final class Link {

    private static final Duration LOOK = Duration.ofMillis(50);

    private final Loop loop;
    private final Members members;
    private final Wire wire;
    private final Datagrams datagrams;
    private long strange;

    public Link(Loop loop, Datagrams datagrams, Members members, Wire wire) {
        this.loop = loop;
        this.datagrams = datagrams;
        this.members = members;
        this.wire = wire;
        loop.every(LOOK, this::settle);
    }

    /** A datagram came. */
    public void came(byte[] octets, InetSocketAddress from) {
        Members.Message message = wire.read(octets);
        if (message == null) {
            strange++;
            return;
        }
        members.heard(loop.clock().now(), text(from), message);
        settle();
    }

    /** Datagrams that were not ours. */
    public long strange() {
        return strange;
    }

    private void settle() {
        for (Members.Sending sending : members.settle(loop.clock().now())) {
            InetSocketAddress to = address(sending.to());
            if (to != null) {
                datagrams.send(wire.write(sending.message()), to);
            }
        }
    }

    public void leave() {
        members.leave(loop.clock().now());
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
                    ? new InetSocketAddress(InetAddress.getByName(host), port) : null;
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }

    public void close() throws IOException {
        datagrams.close();
    }
}
