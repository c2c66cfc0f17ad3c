package merlinlever.dns.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import merlinlever.common.net.DatagramEndpoint;
import merlinlever.common.net.EventLoop;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.MessageSection;
import merlinlever.dns.wire.MessageWriter;
import merlinlever.dns.wire.Opcode;

/** Tells other servers of each new version until they say that they heard (RFC 1996 section 3). */
public final class NotifySender {

    private static final Duration FIRST_RETRY_DELAY = Duration.ofSeconds(1);
    private static final int MAX_ATTEMPTS = 6;
    /** Versions that come within this are told as one. */
    private static final Duration COALESCE_DELAY = Duration.ofMillis(100);

    /** One server that is being told of one zone. */
    private static final class PendingNotify {
        int id;
        EventLoop.Timer retry;
        boolean hasNewerVersion;
    }

    private record NotifyTarget(String zone, InetSocketAddress server) {}

    private final EventLoop loop;
    private final SplittableRandom random;
    private final Map<NotifyTarget, PendingNotify> pending = new HashMap<>();
    private DatagramEndpoint datagrams;

    public NotifySender(EventLoop loop, long seed) {
        this.loop = loop;
        random = new SplittableRandom(seed);
    }

    public void notifyOfChange(ServedZone zone, List<InetSocketAddress> servers) {
        for (InetSocketAddress server : servers) {
            PendingNotify one =
                    pending.computeIfAbsent(new NotifyTarget(zone.name(), server), whom -> new PendingNotify());
            if (one.retry == null) {
                one.id = random.nextInt(0x10000);
                one.retry = loop.schedule(COALESCE_DELAY, () -> send(zone, server, one, 0));
            } else {
                one.hasNewerVersion = true;
            }
        }
    }

    private void send(ServedZone zone, InetSocketAddress server, PendingNotify one, int tries) {
        try {
            if (datagrams == null) {
                datagrams = new DatagramEndpoint(
                        loop,
                        new InetSocketAddress(InetAddress.getByAddress(new byte[4]), 0),
                        DnsMessage.MAX_BYTES,
                        this::receive);
            }
        } catch (IOException e) {
            // Tried again like one that was lost.
        }
        if (datagrams != null) {
            MessageWriter out = new MessageWriter(
                    one.id, Opcode.NOTIFY.flags() | DnsMessage.AUTHORITATIVE, DnsMessage.MAX_PLAIN_DATAGRAM_BYTES);
            out.question(zone.origin(), RecordTypes.SOA, RecordTypes.IN);
            out.record(
                    MessageSection.ANSWER,
                    zone.origin(),
                    RecordTypes.SOA,
                    RecordTypes.IN,
                    zone.zone().soa().ttl(),
                    zone.zone().soa().data(0));
            datagrams.send(out.toBytes(), server);
        }
        one.hasNewerVersion = false;
        if (tries + 1 < MAX_ATTEMPTS) {
            one.retry = loop.schedule(
                    FIRST_RETRY_DELAY.multipliedBy(1L << tries), () -> send(zone, server, one, tries + 1));
        } else {
            one.retry = null;
        }
    }

    private void receive(byte[] octets, InetSocketAddress from, Duration waited) {
        if (DnsMessage.id(octets) < 0 || (DnsMessage.flags(octets) & DnsMessage.RESPONSE) == 0) {
            return;
        }
        pending.forEach((whom, one) -> {
            if (whom.server.equals(from)
                    && one.id == DnsMessage.id(octets)
                    && one.retry != null
                    && !one.hasNewerVersion) {
                one.retry.cancel();
                one.retry = null;
            }
        });
    }
}
