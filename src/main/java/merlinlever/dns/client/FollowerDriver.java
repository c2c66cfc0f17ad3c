package merlinlever.dns.client;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinlever.common.net.EventLoop;
import merlinlever.dns.follow.Follower;
import merlinlever.dns.follow.ObservedRecords;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.state.Zone;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.MessageWriter;
import merlinlever.dns.wire.Tsig;

/** Carries out what a follower decides, and tells it what was heard. */
public final class FollowerDriver {

    private static final Duration LOOK = Duration.ofMillis(50);

    private final EventLoop loop;
    private final DnsClient asker;
    private final Follower follower;
    private final List<InetSocketAddress> servers;
    private final Tsig.TsigKey key;
    private final byte[] zone;
    private final byte[] name;
    private final Duration patience;
    private final Map<String, Integer> instances = new HashMap<>();
    private long unknown;

    /** @param instances names in the order of their indices */
    public FollowerDriver(
            EventLoop loop,
            DnsClient asker,
            Follower follower,
            List<InetSocketAddress> servers,
            Tsig.TsigKey key,
            byte[] zone,
            byte[] name,
            List<String> instances,
            Duration patience) {
        this.loop = loop;
        this.asker = asker;
        this.follower = follower;
        this.servers = servers;
        this.key = key;
        this.zone = zone;
        this.name = name;
        this.patience = patience;
        instances.forEach(instance -> this.instances.put(instance, this.instances.size()));
        loop.runNowAndEvery(LOOK, this::settle);
    }

    /** A datagram such as {@code PULSE n3 open}; says whether it was one of a known instance. */
    public boolean receive(byte[] octets) {
        String[] words = octets.length > 512
                ? new String[0]
                : new String(octets, StandardCharsets.UTF_8).strip().split(" ");
        boolean good =
                words.length == 3 && words[0].equals("PULSE") && (words[2].equals("open") || words[2].equals("closed"));
        Integer instance = good ? instances.get(words[1]) : null;
        if (instance == null) {
            unknown++;
            return false;
        }
        follower.heard(loop.clock().now(), instance, words[2].equals("open"));
        return true;
    }

    /** Datagrams that were no report of a known instance. */
    public long unknownPulses() {
        return unknown;
    }

    private void settle() {
        Follower.Step step = follower.settle(loop.clock().now());
        if (step instanceof Follower.ReadStep read) {
            new RecordsReading(read).next();
        } else if (step instanceof Follower.WriteStep write) {
            write(write);
        }
    }

    private void write(Follower.WriteStep write) {
        byte[] message = UpdateMessages.message(zone, write.prerequisites(), write.changes(), key);
        if (message == null) {
            write.answered(loop.clock().now(), DynamicUpdate.FORMERR);
            return;
        }
        asker.exchange(servers.get(write.server()), message, key, patience, answered -> {
            Duration now = loop.clock().now();
            switch (answered.status()) {
                case ANSWERED -> write.answered(now, answered.message().code());
                case UNREACHABLE -> write.unreachable(now);
                case KEY_REFUSED -> write.answered(now, DynamicUpdate.NOTAUTH);
                default -> write.lost(now);
            }
        });
    }

    /** The questions of one reading, one after the other. What changes between them is found by the update's conditions. */
    private final class RecordsReading {
        private final Follower.ReadStep read;
        private final List<Integer> types = new ArrayList<>(List.of(RecordTypes.SOA, RecordTypes.TXT));
        private final List<ResourceRecord> claims = new ArrayList<>();
        private final List<ResourceRecord> records = new ArrayList<>();
        private long serial;

        RecordsReading(Follower.ReadStep read) {
            this.read = read;
            Arrays.stream(Follower.owned()).forEach(types::add);
        }

        void next() {
            if (types.isEmpty()) {
                read.answered(loop.clock().now(), new ObservedRecords(serial, claims, records));
                return;
            }
            int type = types.remove(0);
            byte[] at = type == RecordTypes.SOA ? zone : type == RecordTypes.TXT ? follower.claimName() : name;
            MessageWriter out = new MessageWriter(0, 0, DnsMessage.MAX_PLAIN_DATAGRAM_BYTES);
            out.question(at, type, RecordTypes.IN);
            out.edns(1232, 0, null);
            asker.exchange(
                    servers.get(read.server()), out.toBytes(), key, patience, answered -> heard(answered, at, type));
        }

        private void heard(ExchangeResult answered, byte[] at, int type) {
            Duration now = loop.clock().now();
            switch (answered.status()) {
                case UNREACHABLE -> read.unreachable(now);
                case LOST -> read.lost(now);
                case KEY_REFUSED -> read.refused(now, DynamicUpdate.NOTAUTH);
                default -> {
                    int code = answered.message().code();
                    if ((code != DynamicUpdate.NOERROR && code != DynamicUpdate.NXDOMAIN)
                            || (type == RecordTypes.SOA
                                    && answered.message().answers().isEmpty())) {
                        read.refused(now, code == DynamicUpdate.NOERROR ? DynamicUpdate.NOTZONE : code);
                        return;
                    }
                    for (UpdateEntry entry : answered.message().answers()) {
                        if (entry.type() == type && Arrays.equals(entry.owner(), at) && entry.data() != null) {
                            if (type == RecordTypes.SOA) {
                                serial = Zone.serial(entry.data());
                            } else {
                                (type == RecordTypes.TXT ? claims : records)
                                        .add(new ResourceRecord(
                                                entry.owner(), entry.type(), entry.ttl(), entry.data()));
                            }
                        }
                    }
                    next();
                }
            }
        }
    }
}
