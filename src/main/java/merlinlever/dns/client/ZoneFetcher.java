package merlinlever.dns.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.EventLoop;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.DynamicUpdate;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.state.Zone;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.MessageWriter;
import merlinlever.dns.wire.Tsig;

/** Fetches a whole zone (AXFR, RFC 5936). What comes cut, unsigned or otherwise wrong is nothing. */
public final class ZoneFetcher implements Connection.Handler {

    /** So long nothing may come. */
    private static final Duration SILENT = Duration.ofSeconds(5);

    /** A zone, or why there is none. */
    public record FetchResult(Zone zone, String failure) {}

    private final EventLoop loop;
    private final DnsClient asker;
    private final byte[] origin;
    private final Tsig.SignatureChain chain;
    private final Consumer<FetchResult> done;
    private final int id;
    private final List<ResourceRecord> records = new ArrayList<>();
    private ResourceRecord soa;
    private boolean whole, over;
    private Connection connection;
    private EventLoop.Timer silent;

    private ZoneFetcher(
            DnsClient asker, byte[] origin, Tsig.TsigKey key, byte[] mac, int id, Consumer<FetchResult> done) {
        this.asker = asker;
        this.loop = asker.loop();
        this.origin = origin;
        this.id = id;
        this.done = done;
        chain = key == null ? null : new Tsig.SignatureChain(key, mac);
    }

    /**
     * Transfers a whole zone from a server.
     *
     * @param key null for none
     */
    public static void zone(
            DnsClient asker, InetSocketAddress server, byte[] origin, Tsig.TsigKey key, Consumer<FetchResult> done) {
        int id = asker.id();
        byte[] question = new MessageWriter(id, 0, DnsMessage.MAX_PLAIN_DATAGRAM_BYTES)
                .question(origin, RecordTypes.AXFR, RecordTypes.IN)
                .toBytes();
        Tsig.SignedMessage signed =
                key == null ? null : Tsig.sign(question, key, asker.unix().getAsLong(), null);
        ZoneFetcher fetch = new ZoneFetcher(asker, origin, key, signed == null ? null : signed.mac(), id, done);
        try {
            fetch.connection = Connection.connect(
                    fetch.loop, server, fetch, 2 + DnsMessage.MAX_BYTES, DnsMessage.MAX_BYTES, SILENT);
            fetch.connection.write(DnsClient.framed(signed == null ? question : signed.octets()));
            fetch.listen();
        } catch (IOException e) {
            fetch.end(null, "cannot be reached");
        }
    }

    private void listen() {
        if (silent != null) {
            silent.cancel();
        }
        silent = loop.schedule(
                SILENT, () -> end(null, "the transfer stopped: nothing came for " + SILENT.toSeconds() + " s"));
    }

    private void end(Zone zone, String why) {
        if (over) {
            return;
        }
        over = true;
        if (silent != null) {
            silent.cancel();
        }
        if (connection != null) {
            connection.close(CloseReason.COMPLETED);
        }
        done.accept(new FetchResult(zone, why));
    }

    @Override
    public void onReceived(ByteBuffer in) {
        listen();
        try {
            for (byte[] octets = DnsClient.message(in); octets != null && !over; octets = DnsClient.message(in)) {
                take(DnsMessage.read(octets));
            }
        } catch (MalformedDnsException e) {
            end(null, "the transfer is malformed: " + e.getMessage());
        }
    }

    private void take(DnsMessage message) throws MalformedDnsException {
        if (!message.isResponse() || message.id() != id) {
            throw new MalformedDnsException("an answer to something else");
        }
        if (message.code() != 0) {
            end(null, "answers " + new ExchangeResult(ExchangeResult.ExchangeStatus.ANSWERED, message).describe());
            return;
        }
        if (chain != null && !chain.verifyNext(message, asker.unix().getAsLong())) {
            throw new MalformedDnsException("its signature does not hold");
        }
        for (UpdateEntry entry : message.answers()) {
            if (whole) {
                throw new MalformedDnsException("records behind its end");
            }
            ResourceRecord rec = new ResourceRecord(entry.owner(), entry.type(), entry.ttl(), entry.data());
            if (entry.dclass() != RecordTypes.IN || entry.data() == null || !DomainNames.isUnder(rec.owner(), origin)) {
                throw new MalformedDnsException("a record that is not of the zone");
            }
            if (rec.type() == RecordTypes.SOA) {
                if (soa == null && Arrays.equals(rec.owner(), origin)) {
                    soa = rec;
                    records.add(rec);
                } else if (rec.equals(soa)) {
                    whole = true;
                } else {
                    throw new MalformedDnsException("it changed its SOA on the way");
                }
            } else if (soa == null) {
                throw new MalformedDnsException("it does not begin with the SOA");
            } else {
                records.add(rec);
            }
            if (records.size() > DynamicUpdate.MOST_RECORDS) {
                throw new MalformedDnsException("over " + DynamicUpdate.MOST_RECORDS + " records");
            }
        }
        if (whole) {
            if (chain != null && !chain.isComplete()) {
                throw new MalformedDnsException("its last message is not signed");
            }
            end(Zone.of(origin, records), null);
        }
    }

    @Override
    public void onClosed(CloseReason how) {
        end(
                null,
                how == CloseReason.CONNECT_FAILED || how == CloseReason.CONNECT_TIMEOUT
                        ? "cannot be reached"
                        : "the transfer was cut");
    }
}
