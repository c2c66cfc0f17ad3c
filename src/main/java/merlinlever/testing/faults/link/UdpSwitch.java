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
 * Stands between processes that talk in datagrams. Each member is told to others by the address of its front here; what
 * reaches the front of k from member s's own socket goes on to k from the front of s, so that k sees s's told address as
 * the sender and answers there. On the way {@link LinkFaults} decide on loss, delay, copies and order.
 */
public final class UdpSwitch implements Closeable {

    /** Hears of each datagram as its sender sent it, before the links lose, delay or double it. */
    public interface DatagramTap {
        void sent(int from, int to, byte[] octets);
    }

    /** Datagrams held back for their delay at the most; beyond, they are lost and counted. */
    private static final int HELD = 20_000;

    private static final int LARGEST = 65_507;

    private final EventLoop loop;
    private final LinkFaults links;
    private final SplittableRandom chance;
    private final List<InetSocketAddress> real;
    private final Map<String, Integer> byReal = new HashMap<>();
    private final List<DatagramEndpoint> fronts = new ArrayList<>();
    private DatagramTap tap = (from, to, octets) -> {};
    private int held;
    private long carried, lost, strangers, overHeld;

    /**
     * @param real where each member's own socket is bound
     * @param fronts where each member is to be told to the others; port 0 takes a free one
     */
    public UdpSwitch(
            EventLoop loop, LinkFaults links, List<InetSocketAddress> real, List<InetSocketAddress> fronts, long seed)
            throws IOException {
        if (real.size() != links.members() || fronts.size() != links.members()) {
            throw new IllegalArgumentException("one real address and one front for each member of the links");
        }
        this.loop = loop;
        this.links = links;
        this.real = List.copyOf(real);
        chance = new SplittableRandom(seed);
        for (int i = 0; i < real.size(); i++) {
            byReal.put(text(real.get(i)), i);
        }
        try {
            for (int i = 0; i < fronts.size(); i++) {
                int to = i;
                this.fronts.add(new DatagramEndpoint(
                        loop, fronts.get(i), LARGEST, (octets, from, waited) -> came(to, octets, from)));
            }
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Where member i is to be told to the others. */
    public InetSocketAddress front(int i) throws IOException {
        return fronts.get(i).address();
    }

    /** From here on it hears of each datagram, on the loop's thread. */
    public void tap(DatagramTap with) {
        tap = with;
    }

    /**
     * Takes in all that has been sent by now, on the loop's thread. Between two lives of a member it parts what the one
     * sent from what the other sends: a datagram on this machine is at its front before its sender goes on.
     */
    public void takeIn() throws IOException {
        for (DatagramEndpoint front : fronts) {
            if (!front.receiveAll()) {
                throw new IOException("more came to a front than it can hold");
            }
        }
    }

    private void came(int to, byte[] octets, InetSocketAddress from) {
        Integer sender = byReal.get(text(from));
        if (sender == null) {
            strangers++;
            return;
        }
        tap.sent(sender, to, octets);
        Duration now = loop.clock().now();
        List<Duration> at = links.datagram(now, sender, to, octets.length, chance);
        if (at.isEmpty()) {
            lost++;
        }
        for (Duration leaves : at) {
            if (held >= HELD) {
                overHeld++;
                continue;
            }
            held++;
            loop.schedule(leaves.minus(now), () -> {
                held--;
                carried++;
                fronts.get(sender).send(octets, real.get(to));
            });
        }
    }

    /** Carried, lost by the links, from no member, lost as too many were held. */
    public long[] counts() {
        return new long[] {carried, lost, strangers, overHeld};
    }

    @Override
    public void close() {
        fronts.forEach(DatagramEndpoint::close);
    }
}
