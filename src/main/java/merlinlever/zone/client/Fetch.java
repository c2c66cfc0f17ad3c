package merlinlever.zone.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import merlinlever.net.CloseReason;
import merlinlever.net.Connection;
import merlinlever.net.Loop;
import merlinlever.zone.record.Malformed;
import merlinlever.zone.record.Names;
import merlinlever.zone.record.Rec;
import merlinlever.zone.record.Types;
import merlinlever.zone.state.Entry;
import merlinlever.zone.state.Update;
import merlinlever.zone.state.Zone;
import merlinlever.zone.wire.Message;
import merlinlever.zone.wire.Tsig;
import merlinlever.zone.wire.Writer;

/** Fetches a whole zone (AXFR, RFC 5936). What comes cut, unsigned or otherwise wrong is nothing. */
public final class Fetch implements Connection.User {

    /** So long nothing may come. */
    private static final Duration SILENT = Duration.ofSeconds(5);

    /** A zone, or why there is none. */
    public record Fetched(Zone zone, String why) {}

    private final Loop loop;
    private final Asker asker;
    private final byte[] origin;
    private final Tsig.Chain chain;
    private final Consumer<Fetched> done;
    private final int id;
    private final List<Rec> records = new ArrayList<>();
    private Rec soa;
    private boolean whole, over;
    private Connection connection;
    private Loop.Timer silent;

    private Fetch(Asker asker, byte[] origin, Tsig.Key key, byte[] mac, int id, Consumer<Fetched> done) {
        this.asker = asker;
        this.loop = asker.loop();
        this.origin = origin;
        this.id = id;
        this.done = done;
        chain = key == null ? null : new Tsig.Chain(key, mac);
    }

    /** @param key null for none */
    public static void zone(
            Asker asker, InetSocketAddress server, byte[] origin, Tsig.Key key, Consumer<Fetched> done) {
        int id = asker.id();
        byte[] question = new Writer(id, 0, Message.PLAIN_DATAGRAM)
                .question(origin, Types.AXFR, Types.IN)
                .done();
        Tsig.Signed signed =
                key == null ? null : Tsig.sign(question, key, asker.unix().getAsLong(), null);
        Fetch fetch = new Fetch(asker, origin, key, signed == null ? null : signed.mac(), id, done);
        try {
            fetch.connection = Connection.to(fetch.loop, server, fetch, 2 + Message.MOST, Message.MOST, SILENT);
            fetch.connection.write(Asker.framed(signed == null ? question : signed.octets()));
            fetch.listen();
        } catch (IOException e) {
            fetch.end(null, "cannot be reached");
        }
    }

    private void listen() {
        if (silent != null) {
            silent.callOff();
        }
        silent =
                loop.in(SILENT, () -> end(null, "the transfer stopped: nothing came for " + SILENT.toSeconds() + " s"));
    }

    private void end(Zone zone, String why) {
        if (over) {
            return;
        }
        over = true;
        if (silent != null) {
            silent.callOff();
        }
        if (connection != null) {
            connection.end(CloseReason.DONE);
        }
        done.accept(new Fetched(zone, why));
    }

    @Override
    public void read(ByteBuffer in) {
        listen();
        try {
            for (byte[] octets = Asker.message(in); octets != null && !over; octets = Asker.message(in)) {
                take(Message.read(octets));
            }
        } catch (Malformed e) {
            end(null, "the transfer is malformed: " + e.getMessage());
        }
    }

    private void take(Message message) throws Malformed {
        if (!message.response() || message.id() != id) {
            throw new Malformed("an answer to something else");
        }
        if (message.code() != 0) {
            end(null, "answers " + new Answered(Answered.Way.ANSWERED, message).told());
            return;
        }
        if (chain != null && !chain.holds(message, asker.unix().getAsLong())) {
            throw new Malformed("its signature does not hold");
        }
        for (Entry entry : message.answers()) {
            if (whole) {
                throw new Malformed("records behind its end");
            }
            Rec rec = new Rec(entry.owner(), entry.type(), entry.ttl(), entry.data());
            if (entry.dclass() != Types.IN || entry.data() == null || !Names.under(rec.owner(), origin)) {
                throw new Malformed("a record that is not of the zone");
            }
            if (rec.type() == Types.SOA) {
                if (soa == null && Arrays.equals(rec.owner(), origin)) {
                    soa = rec;
                    records.add(rec);
                } else if (rec.equals(soa)) {
                    whole = true;
                } else {
                    throw new Malformed("it changed its SOA on the way");
                }
            } else if (soa == null) {
                throw new Malformed("it does not begin with the SOA");
            } else {
                records.add(rec);
            }
            if (records.size() > Update.MOST_RECORDS) {
                throw new Malformed("over " + Update.MOST_RECORDS + " records");
            }
        }
        if (whole) {
            if (chain != null && !chain.closed()) {
                throw new Malformed("its last message is not signed");
            }
            end(Zone.of(origin, records), null);
        }
    }

    @Override
    public void ended(CloseReason how) {
        end(
                null,
                how == CloseReason.REFUSED || how == CloseReason.NOT_MADE
                        ? "cannot be reached"
                        : "the transfer was cut");
    }
}
