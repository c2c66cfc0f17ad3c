package merlinlever.dns.client;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import merlinlever.common.net.EventLoop;
import merlinlever.common.net.MonotonicClock;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;
import merlinlever.dns.state.UpdateEntry;
import merlinlever.dns.wire.DnsMessage;
import merlinlever.dns.wire.MessageSection;
import merlinlever.dns.wire.MessageWriter;
import merlinlever.dns.wire.Tsig;
import merlinlever.testing.faults.process.PortAllocator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The client before a stand-in that answers wrongly in each way that the protocol allows to be wrong. */
class DnsClientTest {

    private static final byte[] SECRET = "0123456789abcdef0123456789abcdef".getBytes(UTF_8);
    private static final Duration PATIENCE = Duration.ofMillis(900);

    private EventLoop loop;
    private DnsClient asker;
    private Tsig.TsigKey key;
    private DatagramSocket udp;
    private ServerSocket tcp;
    private final AtomicInteger came = new AtomicInteger();

    /** What the stand-in does with one message. */
    private interface Act {
        void on(byte[] asked, InetSocketAddress from) throws Exception;
    }

    @BeforeEach
    void start() throws Exception {
        loop = new EventLoop(MonotonicClock.system(), Throwable::printStackTrace);
        asker = new DnsClient(loop, new SplittableRandom(1), () -> System.currentTimeMillis() / 1000);
        key = new Tsig.TsigKey(DomainNames.absolute("k."), "hmac-sha256", SECRET);
        new Thread(loop::run).start();
        udp = new DatagramSocket(PortAllocator.free(), InetAddress.getLoopbackAddress());
        tcp = new ServerSocket(udp.getLocalPort(), 5, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        asker.close();
        loop.stop();
        udp.close();
        tcp.close();
    }

    private void datagrams(Act act) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    DatagramPacket got = new DatagramPacket(new byte[65_535], 65_535);
                    udp.receive(got);
                    came.incrementAndGet();
                    act.on(Arrays.copyOf(got.getData(), got.getLength()), (InetSocketAddress) got.getSocketAddress());
                }
            } catch (Exception e) {
                // Over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** What the stand-in does with one connection. */
    private interface Talk {
        void on(byte[] asked, DataOutputStream out, Socket socket) throws Exception;
    }

    private void connections(Talk talk) {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = tcp.accept();
                    DataInputStream in = new DataInputStream(socket.getInputStream());
                    byte[] asked = new byte[in.readUnsignedShort()];
                    in.readFully(asked);
                    talk.on(asked, new DataOutputStream(socket.getOutputStream()), socket);
                }
            } catch (Exception e) {
                // Over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void send(byte[] octets, InetSocketAddress to) throws Exception {
        udp.send(new DatagramPacket(octets, octets.length, to));
    }

    private static byte[] answer(byte[] asked, int id, int code, int flags) throws Exception {
        DnsMessage message = DnsMessage.read(asked);
        return new MessageWriter(
                        id, DnsMessage.RESPONSE | flags | message.opcode().flags() | code, DnsMessage.MAX_BYTES)
                .question(message.name(), message.type(), message.dclass())
                .toBytes();
    }

    private byte[] signed(byte[] asked, byte[] answer) throws Exception {
        return Tsig.sign(
                        answer,
                        key,
                        System.currentTimeMillis() / 1000,
                        DnsMessage.read(asked).signature().mac())
                .octets();
    }

    private static byte[] update() throws Exception {
        return UpdateMessages.message(
                DomainNames.absolute("example.org."),
                List.of(),
                List.of(new UpdateEntry(
                        DomainNames.absolute("a.example.org."), RecordTypes.A, RecordTypes.IN, 1, new byte[4])),
                null);
    }

    private ExchangeResult ask(Tsig.TsigKey with) throws Exception {
        CompletableFuture<ExchangeResult> ended = new CompletableFuture<>();
        byte[] update = update();
        InetSocketAddress to = (InetSocketAddress) udp.getLocalSocketAddress();
        loop.execute(() -> asker.exchange(to, update, with, PATIENCE, ended::complete));
        return ended.get(5, TimeUnit.SECONDS);
    }

    @Test
    void onlyTheAnswerToTheQuestionFromTheServerWithItsSignatureCounts() throws Exception {
        datagrams((asked, from) -> {
            int id = DnsMessage.id(asked);
            // A wrong id, another address, no signature, one of another question, one cut, then the right one.
            send(signed(asked, answer(asked, id ^ 1, 5, 0)), from);
            try (DatagramSocket other = new DatagramSocket()) {
                byte[] forged = signed(asked, answer(asked, id, 5, 0));
                other.send(new DatagramPacket(forged, forged.length, from));
            }
            send(answer(asked, id, 5, 0), from);
            send(
                    Tsig.sign(answer(asked, id, 5, 0), key, System.currentTimeMillis() / 1000, new byte[32])
                            .octets(),
                    from);
            byte[] cut = signed(asked, answer(asked, id, 5, 0));
            send(Arrays.copyOf(cut, cut.length - 7), from);
            Thread.sleep(30);
            send(signed(asked, answer(asked, id, 0, 0)), from);
        });
        assertTrue(ask(key).isSuccessful());
    }

    @Test
    void noAnswerIsLostNotUndoneAndTheSameDatagramGoesAgain() throws Exception {
        byte[][] first = new byte[1][];
        datagrams((asked, from) -> {
            first[0] = first[0] == null ? asked : first[0];
            assertTrue(Arrays.equals(first[0], asked));
        });
        assertEquals(ExchangeResult.ExchangeStatus.LOST, ask(key).status());
        assertTrue(came.get() >= 2 && came.get() <= 5, "" + came.get());
    }

    @Test
    void aKeyThatIsNotTakenIsToldApartFromSilence() throws Exception {
        datagrams((asked, from) -> send(
                Tsig.unsignedError(
                        answer(asked, DnsMessage.id(asked), 9, 0),
                        DnsMessage.read(asked).signature(),
                        Tsig.BADKEY),
                from));
        assertEquals(ExchangeResult.ExchangeStatus.KEY_REFUSED, ask(key).status());
    }

    @Test
    void aTruncatedAnswerIsFetchedOverAConnection() throws Exception {
        datagrams((asked, from) -> send(answer(asked, DnsMessage.id(asked), 0, DnsMessage.TRUNCATED), from));
        connections((asked, out, socket) -> {
            byte[] answer = answer(asked, DnsMessage.id(asked), 3, 0);
            out.writeShort(answer.length);
            for (byte octet : answer) {
                out.write(octet);
                out.flush();
            }
        });
        ExchangeResult answered = ask(null);
        assertEquals(ExchangeResult.ExchangeStatus.ANSWERED, answered.status());
        assertEquals(3, answered.message().code());
    }

    @Test
    void halfAnAnswerOrOneThatTakesForEverIsLost() throws Exception {
        datagrams((asked, from) -> send(answer(asked, DnsMessage.id(asked), 0, DnsMessage.TRUNCATED), from));
        connections((asked, out, socket) -> {
            byte[] answer = answer(asked, DnsMessage.id(asked), 0, 0);
            out.writeShort(answer.length);
            out.write(answer, 0, 10);
            out.flush();
            if (came.get() > 1) {
                socket.close();
            }
        });
        long began = System.nanoTime();
        assertEquals(ExchangeResult.ExchangeStatus.LOST, ask(null).status());
        assertTrue(System.nanoTime() - began >= 700_000_000L);
        assertEquals(ExchangeResult.ExchangeStatus.LOST, ask(null).status());
    }

    @Test
    void nobodyThereIsUnreachable() throws Exception {
        tcp.close();
        datagrams((asked, from) -> send(answer(asked, DnsMessage.id(asked), 0, DnsMessage.TRUNCATED), from));
        assertEquals(ExchangeResult.ExchangeStatus.UNREACHABLE, ask(null).status());
    }

    private ZoneFetcher.FetchResult fetch(Talk talk) throws Exception {
        connections(talk);
        CompletableFuture<ZoneFetcher.FetchResult> ended = new CompletableFuture<>();
        byte[] origin = DomainNames.absolute("example.org.");
        InetSocketAddress to = (InetSocketAddress) udp.getLocalSocketAddress();
        loop.execute(() -> ZoneFetcher.zone(asker, to, origin, key, ended::complete));
        return ended.get(9, TimeUnit.SECONDS);
    }

    private static byte[] part(byte[] asked, boolean first, boolean last, int records) throws Exception {
        DnsMessage message = DnsMessage.read(asked);
        byte[] soa = new byte[22];
        MessageWriter out = new MessageWriter(message.id(), DnsMessage.RESPONSE, DnsMessage.MAX_BYTES);
        out.question(message.name(), message.type(), message.dclass());
        if (first) {
            out.record(MessageSection.ANSWER, message.name(), RecordTypes.SOA, RecordTypes.IN, 1, soa);
        }
        for (int i = 0; i < records; i++) {
            out.record(
                    MessageSection.ANSWER,
                    DomainNames.absolute("n" + i + ".example.org."),
                    RecordTypes.A,
                    RecordTypes.IN,
                    1,
                    new byte[] {1, 2, 3, (byte) i});
        }
        if (last) {
            out.record(MessageSection.ANSWER, message.name(), RecordTypes.SOA, RecordTypes.IN, 1, soa);
        }
        return out.toBytes();
    }

    @Test
    void aTransferIsWholeOrNothing() throws Exception {
        ZoneFetcher.FetchResult whole = fetch((asked, out, socket) -> {
            Tsig.SignatureChain chain = new Tsig.SignatureChain(
                    key, DnsMessage.read(asked).signature().mac());
            for (int i = 0; i < 3; i++) {
                byte[] message = chain.sign(part(asked, i == 0, i == 2, 50), System.currentTimeMillis() / 1000);
                out.writeShort(message.length);
                out.write(message);
            }
            out.flush();
        });
        assertNotNull(whole.zone(), whole.failure());
        assertEquals(51, whole.zone().records());
    }

    @Test
    void aTransferThatIsCutOrNotSignedToItsEndIsNothing() throws Exception {
        int[] round = {0};
        Talk talk = (asked, out, socket) -> {
            Tsig.SignatureChain chain = new Tsig.SignatureChain(
                    key, DnsMessage.read(asked).signature().mac());
            byte[] first = chain.sign(part(asked, true, false, 50), System.currentTimeMillis() / 1000);
            out.writeShort(first.length);
            out.write(first);
            switch (round[0]++) {
                case 0 -> socket.close();
                case 1 -> {
                    byte[] last = part(asked, false, true, 50);
                    out.writeShort(last.length);
                    out.write(last);
                }
                case 2 -> {
                    out.writeShort(4000);
                    out.write(new byte[100]);
                    out.flush();
                    socket.close();
                }
                default -> {
                    byte[] other = part(asked, true, false, 1);
                    other[other.length - 30] ^= 1;
                    byte[] last = chain.sign(other, System.currentTimeMillis() / 1000);
                    out.writeShort(last.length);
                    out.write(last);
                }
            }
            out.flush();
        };
        for (int i = 0; i < 4; i++) {
            ZoneFetcher.FetchResult cut = fetch(talk);
            assertNull(cut.zone());
            assertTrue(cut.failure().startsWith("the transfer"), cut.failure());
        }
    }
}
