package merlinlever.dns.client;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import merlinlever.common.net.CloseReason;
import merlinlever.common.net.Connection;
import merlinlever.common.net.DatagramEndpoint;
import merlinlever.common.net.EventLoop;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.Tsig;

/**
 * Asks other servers, by datagram where the question is small and over a connection where it or the answer is not. Only an
 * answer from the address that was asked, with the id and the question that were sent and a signature that holds, counts;
 * anything else is passed over, and the time goes on.
 */
public final class DnsClient {

    /** Octets of a question that goes as a datagram. */
    private static final int DATAGRAM = 1232;
    /** The same datagram goes again after this part of the patience, then after twice that. */
    private static final int AGAIN = 5;
    /** Who does not take the key says so without a signature: it counts only if nothing better comes in this part. */
    private static final int UNSIGNED = 3;

    private static final int MOST_OPEN = 1000;

    /** One question on its way. */
    private final class PendingExchange {
        final InetSocketAddress server;
        final byte[] octets;
        final DnsMessage sent;
        final Tsig.TsigKey key;
        final byte[] mac;
        final Consumer<ExchangeResult> done;
        final Duration patience;
        EventLoop.Timer end;
        EventLoop.Timer again;
        Connection connection;
        boolean over, reached, keyRefused;

        PendingExchange(
                InetSocketAddress server,
                byte[] question,
                Tsig.TsigKey key,
                Duration patience,
                Consumer<ExchangeResult> done)
                throws MalformedDnsException {
            this.server = server;
            this.key = key;
            this.patience = patience;
            this.done = done;
            int id;
            do {
                id = chance.nextInt(0x10000);
            } while (open.containsKey(id));
            byte[] made = question.clone();
            made[0] = (byte) (id >> 8);
            made[1] = (byte) id;
            Tsig.SignedMessage signed = key == null ? null : Tsig.sign(made, key, unix.getAsLong(), null);
            octets = signed == null ? made : signed.octets();
            mac = signed == null ? null : signed.mac();
            sent = DnsMessage.read(octets);
            open.put(id, this);
        }

        void end(ExchangeResult.ExchangeStatus way, DnsMessage message) {
            if (over) {
                return;
            }
            over = true;
            open.remove(sent.id());
            end.cancel();
            if (again != null) {
                again.cancel();
            }
            if (connection != null) {
                connection.close(CloseReason.COMPLETED);
            }
            done.accept(new ExchangeResult(way, message));
        }

        void late() {
            end(
                    keyRefused
                            ? ExchangeResult.ExchangeStatus.KEY_REFUSED
                            : reached ? ExchangeResult.ExchangeStatus.LOST : ExchangeResult.ExchangeStatus.UNREACHABLE,
                    null);
        }

        /** Whether this is its answer. */
        DnsMessage believed(byte[] answer) {
            try {
                DnsMessage message = DnsMessage.read(answer);
                if (!message.isResponse()
                        || message.id() != sent.id()
                        || message.opcode() != sent.opcode()
                        || (message.hasQuestion()
                                && !(Arrays.equals(message.name(), sent.name()) && message.type() == sent.type()))) {
                    return null;
                }
                if (key == null) {
                    return message;
                }
                if (message.signature() == null) {
                    return null;
                }
                if (message.signature().mac().length == 0 && message.signature().error() != 0) {
                    if (!keyRefused) {
                        keyRefused = true;
                        loop.schedule(patience.dividedBy(UNSIGNED), this::late);
                    }
                    return null;
                }
                Tsig.Verification verdict =
                        Tsig.verify(message, new Tsig.TsigKeyRing(List.of(key)), unix.getAsLong(), mac);
                boolean badTime = message.signature().error() == Tsig.BADTIME && verdict.error() == Tsig.BADTIME;
                return verdict.error() == 0 || badTime ? message : null;
            } catch (MalformedDnsException e) {
                return null;
            }
        }

        void byDatagram(Duration pause) {
            reached |= datagrams.send(octets, server);
            again = loop.schedule(pause, () -> byDatagram(pause.multipliedBy(2)));
        }

        void byConnection() {
            if (again != null) {
                again.cancel();
            }
            try {
                connection = Connection.connect(
                        loop,
                        server,
                        new ExchangeConnection(this),
                        2 + DnsMessage.MAX_BYTES,
                        4 * DnsMessage.MAX_BYTES,
                        patience);
                connection.write(framed(octets));
            } catch (IOException e) {
                end(ExchangeResult.ExchangeStatus.UNREACHABLE, null);
            }
        }
    }

    /** The connection of one question. */
    private static final class ExchangeConnection implements Connection.Handler {
        private final PendingExchange one;

        ExchangeConnection(PendingExchange one) {
            this.one = one;
        }

        @Override
        public void onConnected() {
            // From here on it may get there.
            one.reached = true;
        }

        @Override
        public void onReceived(ByteBuffer in) {
            while (!one.over) {
                byte[] octets = message(in);
                if (octets == null) {
                    return;
                }
                DnsMessage message = one.believed(octets);
                if (message != null) {
                    one.end(ExchangeResult.ExchangeStatus.ANSWERED, message);
                }
            }
        }

        @Override
        public void onClosed(CloseReason how) {
            if (!one.over) {
                one.connection = null;
                boolean never = !how.wasEstablished();
                one.end(
                        never
                                ? ExchangeResult.ExchangeStatus.UNREACHABLE
                                : one.keyRefused
                                        ? ExchangeResult.ExchangeStatus.KEY_REFUSED
                                        : ExchangeResult.ExchangeStatus.LOST,
                        null);
            }
        }
    }

    private final EventLoop loop;
    private final SplittableRandom chance;
    private final LongSupplier unix;
    private final DatagramEndpoint datagrams;
    private final Map<Integer, PendingExchange> open = new HashMap<>();

    /** @param unix seconds of the Unix clock */
    public DnsClient(EventLoop loop, SplittableRandom chance, LongSupplier unix) throws IOException {
        this.loop = loop;
        this.chance = chance;
        this.unix = unix;
        datagrams = new DatagramEndpoint(
                loop,
                new InetSocketAddress(InetAddress.getByAddress(new byte[4]), 0),
                DnsMessage.MAX_BYTES,
                this::came);
    }

    static ByteBuffer framed(byte[] octets) {
        return ByteBuffer.allocate(2 + octets.length)
                .putShort((short) octets.length)
                .put(octets)
                .flip();
    }

    /** The next whole message of a stream, or null. */
    static byte[] message(ByteBuffer in) {
        if (in.remaining() < 2) {
            return null;
        }
        int length = (in.get(in.position()) & 0xff) << 8 | (in.get(in.position() + 1) & 0xff);
        if (in.remaining() < 2 + length) {
            return null;
        }
        in.position(in.position() + 2);
        byte[] octets = new byte[length];
        in.get(octets);
        return octets;
    }

    /**
     * Sends a question or an update; {@code done} hears once how it ended, at the latest after the patience.
     *
     * @param question without id and signature, which are put in here
     * @param key null for none
     */
    public void exchange(
            InetSocketAddress server,
            byte[] question,
            Tsig.TsigKey key,
            Duration patience,
            Consumer<ExchangeResult> done) {
        if (open.size() >= MOST_OPEN) {
            loop.execute(() -> done.accept(new ExchangeResult(ExchangeResult.ExchangeStatus.UNREACHABLE, null)));
            return;
        }
        PendingExchange one;
        try {
            one = new PendingExchange(server, question, key, patience, done);
        } catch (MalformedDnsException e) {
            throw new IllegalArgumentException(e.getMessage());
        }
        one.end = loop.schedule(patience, one::late);
        if (one.octets.length <= DATAGRAM) {
            one.byDatagram(patience.dividedBy(AGAIN));
        } else {
            one.byConnection();
        }
    }

    private void came(byte[] octets, InetSocketAddress from, Duration waited) {
        PendingExchange one = open.get(DnsMessage.id(octets));
        if (one == null || one.connection != null || !one.server.equals(from)) {
            return;
        }
        DnsMessage message = one.believed(octets);
        if (message == null) {
            return;
        }
        if (message.isTruncated()) {
            one.byConnection();
        } else {
            one.end(ExchangeResult.ExchangeStatus.ANSWERED, message);
        }
    }

    LongSupplier unix() {
        return unix;
    }

    EventLoop loop() {
        return loop;
    }

    int id() {
        return chance.nextInt(0x10000);
    }

    public void close() {
        datagrams.close();
    }
}
