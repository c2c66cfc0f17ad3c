package merlinlever.testing.faults.link;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.common.net.DatagramEndpoint;
import merlinlever.common.net.EventLoop;

/**
 * Relays the datagrams between the processes of a test. Each member has a front, the address to which the others send.
 * The switch forwards a datagram from the front of its sender, therefore the receiver sees the public address of the
 * sender and replies to it. {@link LinkFaults} decide on loss, delay, duplicates and order. All methods must be called on
 * the thread of the loop.
 */
public final class UdpSwitch implements Closeable {

    /** Observes each datagram before the links drop, delay or duplicate it. */
    public interface DatagramTap {
        /** Handles a datagram from one member to another. */
        void onSent(int from, int to, byte[] payload);
    }

    /** Maximum number of delayed datagrams; further ones are dropped. */
    private static final int MAX_DELAYED = 20_000;
    /** Maximum payload of a UDP datagram over IPv4. */
    private static final int MAX_PAYLOAD_BYTES = 65_507;

    private final EventLoop loop;
    private final LinkFaults links;
    private final SplittableRandom random;
    private final List<InetSocketAddress> addresses;
    private final Map<String, Integer> indexByAddress = new HashMap<>();
    private final List<DatagramEndpoint> fronts = new ArrayList<>();
    private DatagramTap tap = (from, to, payload) -> {};
    private int delayed;

    /**
     * Opens the fronts.
     *
     * @param addresses address to which the socket of each member is bound
     * @param fronts address of the front of each member; port 0 selects a free port
     * @param seed seed of the random faults
     */
    public UdpSwitch(
            EventLoop loop,
            LinkFaults links,
            List<InetSocketAddress> addresses,
            List<InetSocketAddress> fronts,
            long seed)
            throws IOException {
        if (addresses.size() != links.members() || fronts.size() != links.members()) {
            throw new IllegalArgumentException("the links need one socket address and one front for each member");
        }
        this.loop = loop;
        this.links = links;
        this.addresses = List.copyOf(addresses);
        random = new SplittableRandom(seed);
        for (int i = 0; i < addresses.size(); i++) {
            indexByAddress.put(format(addresses.get(i)), i);
        }
        try {
            for (int i = 0; i < fronts.size(); i++) {
                int to = i;
                this.fronts.add(new DatagramEndpoint(
                        loop, fronts.get(i), MAX_PAYLOAD_BYTES, (payload, from, waited) -> relay(to, payload, from)));
            }
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the address to which the others send datagrams for the member. */
    public InetSocketAddress front(int member) throws IOException {
        return fronts.get(member).address();
    }

    /** Replaces the observer of datagrams. */
    public void setTap(DatagramTap observer) {
        tap = observer;
    }

    /**
     * Receives all datagrams that have already been sent. A call between two runs of a member separates their datagrams,
     * because on one machine a datagram arrives at the front before its sender continues.
     */
    public void receivePending() throws IOException {
        for (DatagramEndpoint front : fronts) {
            if (!front.receiveAll()) {
                throw new IOException("a front received more datagrams than it can buffer");
            }
        }
    }

    private void relay(int to, byte[] payload, InetSocketAddress source) {
        Integer from = indexByAddress.get(format(source));
        if (from == null) {
            return;
        }
        tap.onSent(from, to, payload);
        Duration now = loop.clock().now();
        for (Duration departure : links.datagram(now, from, to, payload.length, random)) {
            if (delayed < MAX_DELAYED) {
                delayed++;
                loop.schedule(departure.minus(now), () -> {
                    delayed--;
                    fronts.get(from).send(payload, addresses.get(to));
                });
            }
        }
    }

    @Override
    public void close() {
        fronts.forEach(DatagramEndpoint::close);
    }
}
