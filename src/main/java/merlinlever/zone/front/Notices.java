package merlinlever.zone.front;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.net.Datagrams;
import merlinlever.net.Loop;
import merlinlever.zone.record.Types;
import merlinlever.zone.wire.Message;
import merlinlever.zone.wire.Writer;

/** Tells other servers of each new version until they say that they heard (RFC 1996 section 3). */
public final class Notices {

    private static final Duration FIRST = Duration.ofSeconds(1);
    private static final int TRIES = 6;
    /** Versions that come within this are told as one. */
    private static final Duration GATHER = Duration.ofMillis(100);

    /** One server that is being told of one zone. */
    private static final class Telling {
        int id;
        Loop.Timer again;
        boolean newer;
    }

    private record Whom(String zone, InetSocketAddress server) {}

    private final Loop loop;
    private final SplittableRandom chance;
    private final Map<Whom, Telling> telling = new HashMap<>();
    private Datagrams datagrams;

    public Notices(Loop loop, long seed) {
        this.loop = loop;
        chance = new SplittableRandom(seed);
    }

    public void tell(Served zone, List<InetSocketAddress> servers) {
        for (InetSocketAddress server : servers) {
            Telling one = telling.computeIfAbsent(new Whom(zone.name(), server), whom -> new Telling());
            if (one.again == null) {
                one.id = chance.nextInt(0x10000);
                one.again = loop.in(GATHER, () -> send(zone, server, one, 0));
            } else {
                one.newer = true;
            }
        }
    }

    private void send(Served zone, InetSocketAddress server, Telling one, int tries) {
        try {
            if (datagrams == null) {
                datagrams = new Datagrams(
                        loop,
                        new InetSocketAddress(InetAddress.getByAddress(new byte[4]), 0),
                        Message.MOST,
                        this::came);
            }
        } catch (IOException e) {
            // Tried again like one that was lost.
        }
        if (datagrams != null) {
            Writer out = new Writer(one.id, Message.NOTIFY << 11 | Message.AUTHORITATIVE, Message.PLAIN_DATAGRAM);
            out.question(zone.origin(), Types.SOA, Types.IN);
            out.record(
                    1,
                    zone.origin(),
                    Types.SOA,
                    Types.IN,
                    zone.zone().soa().ttl(),
                    zone.zone().soa().data(0));
            datagrams.send(out.done(), server);
        }
        one.newer = false;
        if (tries + 1 < TRIES) {
            one.again = loop.in(FIRST.multipliedBy(1L << tries), () -> send(zone, server, one, tries + 1));
        } else {
            one.again = null;
        }
    }

    private void came(byte[] octets, InetSocketAddress from, Duration waited) {
        if (Message.id(octets) < 0 || (Message.flags(octets) & Message.RESPONSE) == 0) {
            return;
        }
        telling.forEach((whom, one) -> {
            if (whom.server.equals(from) && one.id == Message.id(octets) && one.again != null && !one.newer) {
                one.again.callOff();
                one.again = null;
            }
        });
    }
}
