package merlinlever.zone.client;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinlever.net.Loop;
import merlinlever.zone.follow.Follower;
import merlinlever.zone.follow.Seen;
import merlinlever.zone.record.Rec;
import merlinlever.zone.record.Types;
import merlinlever.zone.state.Entry;
import merlinlever.zone.state.Update;
import merlinlever.zone.state.Zone;
import merlinlever.zone.wire.Message;
import merlinlever.zone.wire.Tsig;
import merlinlever.zone.wire.Writer;

/** Carries out what a follower decides, and tells it what was heard. */
public final class FollowerLink {

    private static final Duration LOOK = Duration.ofMillis(50);

    private final Loop loop;
    private final Asker asker;
    private final Follower follower;
    private final List<InetSocketAddress> servers;
    private final Tsig.Key key;
    private final byte[] zone;
    private final byte[] name;
    private final Duration patience;
    private final Map<String, Integer> instances = new HashMap<>();
    private long unknown;

    /** @param instances names in the order of their indices */
    public FollowerLink(
            Loop loop,
            Asker asker,
            Follower follower,
            List<InetSocketAddress> servers,
            Tsig.Key key,
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
        loop.every(LOOK, this::settle);
    }

    /** A datagram such as {@code PULSE n3 open}; says whether it was one of a known instance. */
    public boolean came(byte[] octets) {
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
    public long unknown() {
        return unknown;
    }

    private void settle() {
        Follower.Step step = follower.settle(loop.clock().now());
        if (step instanceof Follower.Read read) {
            new Reading(read).next();
        } else if (step instanceof Follower.Write write) {
            write(write);
        }
    }

    private void write(Follower.Write write) {
        byte[] message = Updates.message(zone, write.prerequisites(), write.changes(), key);
        if (message == null) {
            write.answered(loop.clock().now(), Update.FORMERR);
            return;
        }
        asker.ask(servers.get(write.server()), message, key, patience, answered -> {
            Duration now = loop.clock().now();
            switch (answered.way()) {
                case ANSWERED -> write.answered(now, answered.message().code());
                case UNREACHABLE -> write.unreachable(now);
                case KEY_REFUSED -> write.answered(now, Update.NOTAUTH);
                default -> write.lost(now);
            }
        });
    }

    /** The questions of one reading, one after the other. What changes between them is found by the update's conditions. */
    private final class Reading {
        private final Follower.Read read;
        private final List<Integer> types = new ArrayList<>(List.of(Types.SOA, Types.TXT));
        private final List<Rec> claims = new ArrayList<>();
        private final List<Rec> records = new ArrayList<>();
        private long serial;

        Reading(Follower.Read read) {
            this.read = read;
            Arrays.stream(Follower.owned()).forEach(types::add);
        }

        void next() {
            if (types.isEmpty()) {
                read.answered(loop.clock().now(), new Seen(serial, claims, records));
                return;
            }
            int type = types.remove(0);
            byte[] at = type == Types.SOA ? zone : type == Types.TXT ? follower.claimName() : name;
            Writer out = new Writer(0, 0, Message.PLAIN_DATAGRAM);
            out.question(at, type, Types.IN);
            out.edns(1232, 0, null);
            asker.ask(servers.get(read.server()), out.done(), key, patience, answered -> heard(answered, at, type));
        }

        private void heard(Answered answered, byte[] at, int type) {
            Duration now = loop.clock().now();
            switch (answered.way()) {
                case UNREACHABLE -> read.unreachable(now);
                case LOST -> read.lost(now);
                case KEY_REFUSED -> read.refused(now, Update.NOTAUTH);
                default -> {
                    int code = answered.message().code();
                    if (code != Update.NOERROR && code != Update.NXDOMAIN
                            || type == Types.SOA && answered.message().answers().isEmpty()) {
                        read.refused(now, code == Update.NOERROR ? Update.NOTZONE : code);
                        return;
                    }
                    for (Entry entry : answered.message().answers()) {
                        if (entry.type() == type && Arrays.equals(entry.owner(), at) && entry.data() != null) {
                            if (type == Types.SOA) {
                                serial = Zone.serial(entry.data());
                            } else {
                                (type == Types.TXT ? claims : records)
                                        .add(new Rec(entry.owner(), entry.type(), entry.ttl(), entry.data()));
                            }
                        }
                    }
                    next();
                }
            }
        }
    }
}
