package merlinlever.zone.client;

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
import merlinlever.Ending;
import merlinlever.net.CloseReason;
import merlinlever.net.Connection;
import merlinlever.net.Datagrams;
import merlinlever.net.Loop;
import merlinlever.zone.record.Malformed;
import merlinlever.zone.wire.Message;
import merlinlever.zone.wire.Tsig;

/**
 * Asks other servers, by datagram where the question is small and over a connection where it or the answer is not. Only an
 * answer from the address that was asked, with the id and the question that were sent and a signature that holds, counts;
 * anything else is passed over, and the time goes on.
 */
public final class Asker {

    /** Octets of a question that goes as a datagram. */
    private static final int DATAGRAM = 1232;
    /** The same datagram goes again after this part of the patience, then after twice that. */
    private static final int AGAIN = 5;
    /** Who does not take the key says so without a signature: it counts only if nothing better comes in this part. */
    private static final int UNSIGNED = 3;

    private static final int MOST_OPEN = 1000;

    /** One question on its way. */
    private final class Open {
        final InetSocketAddress server;
        final byte[] octets;
        final Message sent;
        final Tsig.Key key;
        final byte[] mac;
        final Consumer<Answered> done;
        final Duration patience;
        Loop.Timer end;
        Loop.Timer again;
        Connection connection;
        boolean over, reached, keyRefused;

        Open(InetSocketAddress server, byte[] question, Tsig.Key key, Duration patience, Consumer<Answered> done)
                throws Malformed {
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
            Tsig.Signed signed = key == null ? null : Tsig.sign(made, key, unix.getAsLong(), null);
            octets = signed == null ? made : signed.octets();
            mac = signed == null ? null : signed.mac();
            sent = Message.read(octets);
            open.put(id, this);
        }

        void end(Answered.Way way, Message message) {
            if (over) {
                return;
            }
            over = true;
            open.remove(sent.id());
            end.callOff();
            if (again != null) {
                again.callOff();
            }
            if (connection != null) {
                connection.end(CloseReason.DONE);
            }
            done.accept(new Answered(way, message));
        }

        void late() {
            end(keyRefused ? Answered.Way.KEY_REFUSED : reached ? Answered.Way.LOST : Answered.Way.UNREACHABLE, null);
        }

        /** Whether this is its answer. */
        Message believed(byte[] answer) {
            try {
                Message message = Message.read(answer);
                if (!message.response()
                        || message.id() != sent.id()
                        || message.operation() != sent.operation()
                        || message.asks()
                                && !(Arrays.equals(message.name(), sent.name()) && message.type() == sent.type())) {
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
                        loop.in(patience.dividedBy(UNSIGNED), this::late);
                    }
                    return null;
                }
                Tsig.Verdict verdict = Tsig.verify(message, new Tsig.Keys(List.of(key)), unix.getAsLong(), mac);
                boolean badTime = message.signature().error() == Tsig.BADTIME && verdict.error() == Tsig.BADTIME;
                return verdict.error() == 0 || badTime ? message : null;
            } catch (Malformed e) {
                return null;
            }
        }

        void byDatagram(Duration pause) {
            reached |= datagrams.send(octets, server);
            again = loop.in(pause, () -> byDatagram(pause.multipliedBy(2)));
        }

        void byConnection() {
            if (again != null) {
                again.callOff();
            }
            try {
                connection = Connection.to(loop, server, new Talk(this), 2 + Message.MOST, 4 * Message.MOST, patience);
                connection.write(framed(octets));
            } catch (IOException e) {
                end(Answered.Way.UNREACHABLE, null);
            }
        }
    }

    /** The connection of one question. */
    private static final class Talk implements Connection.User {
        private final Open one;

        Talk(Open one) {
            this.one = one;
        }

        @Override
        public void made() {
            // From here on it may get there.
            one.reached = true;
        }

        @Override
        public void read(ByteBuffer in) {
            while (!one.over) {
                byte[] octets = message(in);
                if (octets == null) {
                    return;
                }
                Message message = one.believed(octets);
                if (message != null) {
                    one.end(Answered.Way.ANSWERED, message);
                }
            }
        }

        @Override
        public void ended(CloseReason how) {
            if (!one.over) {
                one.connection = null;
                boolean never = how.ofCall() == Ending.UNREACHABLE;
                one.end(
                        never
                                ? Answered.Way.UNREACHABLE
                                : one.keyRefused ? Answered.Way.KEY_REFUSED : Answered.Way.LOST,
                        null);
            }
        }
    }

    private final Loop loop;
    private final SplittableRandom chance;
    private final LongSupplier unix;
    private final Datagrams datagrams;
    private final Map<Integer, Open> open = new HashMap<>();

    /** @param unix seconds of the Unix clock */
    public Asker(Loop loop, SplittableRandom chance, LongSupplier unix) throws IOException {
        this.loop = loop;
        this.chance = chance;
        this.unix = unix;
        datagrams = new Datagrams(
                loop, new InetSocketAddress(InetAddress.getByAddress(new byte[4]), 0), Message.MOST, this::came);
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
        int length = (in.get(in.position()) & 0xff) << 8 | in.get(in.position() + 1) & 0xff;
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
    public void ask(
            InetSocketAddress server, byte[] question, Tsig.Key key, Duration patience, Consumer<Answered> done) {
        if (open.size() >= MOST_OPEN) {
            loop.execute(() -> done.accept(new Answered(Answered.Way.UNREACHABLE, null)));
            return;
        }
        Open one;
        try {
            one = new Open(server, question, key, patience, done);
        } catch (Malformed e) {
            throw new IllegalArgumentException(e.getMessage());
        }
        one.end = loop.in(patience, one::late);
        if (one.octets.length <= DATAGRAM) {
            one.byDatagram(patience.dividedBy(AGAIN));
        } else {
            one.byConnection();
        }
    }

    private void came(byte[] octets, InetSocketAddress from, Duration waited) {
        Open one = open.get(Message.id(octets));
        if (one == null || one.connection != null || !one.server.equals(from)) {
            return;
        }
        Message message = one.believed(octets);
        if (message == null) {
            return;
        }
        if (message.truncated()) {
            one.byConnection();
        } else {
            one.end(Answered.Way.ANSWERED, message);
        }
    }

    LongSupplier unix() {
        return unix;
    }

    Loop loop() {
        return loop;
    }

    int id() {
        return chance.nextInt(0x10000);
    }

    public void close() {
        datagrams.close();
    }
}
