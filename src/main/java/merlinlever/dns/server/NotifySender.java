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

/** Notifies secondary servers of new zone versions, and retries until they acknowledge (RFC 1996 section 3). */
public final class NotifySender {

    private static final Duration FIRST_RETRY_DELAY = Duration.ofSeconds(1);
    private static final int MAX_ATTEMPTS = 6;
    private static final int MESSAGE_IDS = 0x10000;
    private static final byte[] IPV4_WILDCARD = {0, 0, 0, 0};
    /** Versions published within this period share one notification. */
    private static final Duration COALESCE_DELAY = Duration.ofMillis(100);

    /** The pending notification of one server about one zone. */
    private static final class PendingNotify {
        private int id;
        private EventLoop.Timer retry;
        private boolean hasNewerVersion;
    }

    private record NotifyTarget(String zone, InetSocketAddress server) {}

    private final EventLoop loop;
    private final SplittableRandom random;
    private final Map<NotifyTarget, PendingNotify> pending = new HashMap<>();
    private DatagramEndpoint datagrams;

    /** Creates a sender that generates message ids from the seed. */
    public NotifySender(EventLoop loop, long seed) {
        this.loop = loop;
        random = new SplittableRandom(seed);
    }

    /** Notifies the servers that the zone has a new published version. */
    public void notifyOfChange(ServedZone zone, List<InetSocketAddress> servers) {
        for (InetSocketAddress server : servers) {
            PendingNotify notify =
                    pending.computeIfAbsent(new NotifyTarget(zone.name(), server), target -> new PendingNotify());
            if (notify.retry == null) {
                notify.id = random.nextInt(MESSAGE_IDS);
                notify.retry = loop.schedule(COALESCE_DELAY, () -> send(zone, server, notify, 0));
            } else {
                notify.hasNewerVersion = true;
            }
        }
    }

    private void send(ServedZone zone, InetSocketAddress server, PendingNotify notify, int attempts) {
        try {
            if (datagrams == null) {
                datagrams = new DatagramEndpoint(
                        loop,
                        new InetSocketAddress(InetAddress.getByAddress(IPV4_WILDCARD), 0),
                        DnsMessage.MAX_BYTES,
                        this::receive);
            }
        } catch (IOException e) {
            // The retry timer covers this failure like a lost notification.
        }
        if (datagrams != null) {
            MessageWriter out = new MessageWriter(
                    notify.id, Opcode.NOTIFY.flags() | DnsMessage.AUTHORITATIVE, DnsMessage.MAX_PLAIN_DATAGRAM_BYTES);
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
        notify.hasNewerVersion = false;
        if (attempts + 1 < MAX_ATTEMPTS) {
            notify.retry = loop.schedule(
                    FIRST_RETRY_DELAY.multipliedBy(1L << attempts), () -> send(zone, server, notify, attempts + 1));
        } else {
            notify.retry = null;
        }
    }

    private void receive(byte[] octets, InetSocketAddress from, Duration readDelay) {
        if (DnsMessage.id(octets) < 0 || (DnsMessage.flags(octets) & DnsMessage.RESPONSE) == 0) {
            return;
        }
        pending.forEach((target, notify) -> {
            if (target.server.equals(from)
                    && notify.id == DnsMessage.id(octets)
                    && notify.retry != null
                    && !notify.hasNewerVersion) {
                notify.retry.cancel();
                notify.retry = null;
            }
        });
    }
}
