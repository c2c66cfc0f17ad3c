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
 * Relays the datagrams between the processes of a test. The other members know a member by the address of its front here.
 * What reaches the front of a receiver from the socket of a sender is passed on from the front of the sender, so that the
 * receiver sees the address that it knows, and answers there. {@link LinkFaults} decide on loss, delay, copies and order.
 * All methods are called on the thread of the loop.
 */
public final class UdpSwitch implements Closeable {

    /** Observes each datagram as it was sent, before the links lose, delay or duplicate it. */
    public interface DatagramTap {
        /** A member sent a datagram to another one. */
        void sent(int from, int to, byte[] payload);
    }

    /** The most datagrams that are delayed at once; others are lost. */
    private static final int MAX_DELAYED = 20_000;
    /** The most bytes that one datagram over IPv4 carries. */
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
     * @param addresses where the socket of each member is bound
     * @param fronts where each member is reached by the others; port 0 takes a free one
     * @param seed of the random faults
     */
    public UdpSwitch(
            EventLoop loop,
            LinkFaults links,
            List<InetSocketAddress> addresses,
            List<InetSocketAddress> fronts,
            long seed)
            throws IOException {
        if (addresses.size() != links.members() || fronts.size() != links.members()) {
            throw new IllegalArgumentException("one real address and one front for each member of the links");
        }
        this.loop = loop;
        this.links = links;
        this.addresses = List.copyOf(addresses);
        random = new SplittableRandom(seed);
        for (int i = 0; i < addresses.size(); i++) {
            indexByAddress.put(text(addresses.get(i)), i);
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

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Where the member is reached by the others. */
    public InetSocketAddress front(int member) throws IOException {
        return fronts.get(member).address();
    }

    /** Sets the observer of all datagrams from now on. */
    public void setTap(DatagramTap observer) {
        tap = observer;
    }

    /**
     * Receives all that has been sent by now. Called between two incarnations of a member, it separates their datagrams:
     * on one machine a datagram is at the front before its sender continues.
     */
    public void receivePending() throws IOException {
        for (DatagramEndpoint front : fronts) {
            if (!front.receiveAll()) {
                throw new IOException("more came to a front than it can hold");
            }
        }
    }

    private void relay(int to, byte[] payload, InetSocketAddress source) {
        Integer from = indexByAddress.get(text(source));
        if (from == null) {
            return;
        }
        tap.sent(from, to, payload);
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
