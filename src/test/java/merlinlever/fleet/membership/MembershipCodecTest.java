package merlinlever.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.junit.jupiter.api.Test;

class MembershipCodecTest {

    private static final String SECRET = "0123456789abcdef";
    private static final int MAC_BYTES = 16;

    private final MembershipCodec codec = codec(SECRET);

    private static MembershipCodec codec(String secret) {
        return new MembershipCodec(secret.getBytes(StandardCharsets.US_ASCII));
    }

    private static MembershipMessage sync(int members) {
        List<MemberRecord> records = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            MemberStatus status = MemberStatus.values()[i % 4];
            records.add(new MemberRecord("n" + i, "127.0.0.1:" + i, "127.0.0.2:" + i, status, i));
        }
        return new MembershipMessage(MessageKind.SYNC, "n1", 7, "", records);
    }

    @Test
    void aMessageOfAnotherSecretOrWithAChangedByteIsRejected() {
        MembershipMessage message = sync(300);
        byte[] datagram = codec.encode(message);
        assertEquals(message, codec.decode(datagram));
        assertNull(codec("0123456789abcdeg").decode(datagram));
        for (int at = 0; at < datagram.length; at += 7) {
            byte[] changed = datagram.clone();
            changed[at] ^= 1;
            assertNull(codec.decode(changed));
        }
        assertNull(codec.decode(new byte[65_000]));
        assertNull(codec.decode(new byte[0]));
    }

    /** From a later version, say. */
    @Test
    void rightlySignedNonsenseThrowsNothing() {
        byte[] datagram = codec.encode(sync(300));
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 5000; i++) {
            byte[] content = Arrays.copyOf(datagram, 4 + random.nextInt(200));
            for (int changes = random.nextInt(4); changes >= 0; changes--) {
                content[random.nextInt(content.length)] = (byte) random.nextInt(256);
            }
            codec.decode(signed(content));
        }
    }

    @Test
    void recordsThatDoNotFitAreLeftOut() {
        List<MemberRecord> records = new ArrayList<>();
        for (int i = 0; i < 2000; i++) {
            records.add(new MemberRecord(
                    "name-of-a-machine-" + i, "127.0.0.1:" + i, "127.0.0.2:" + i, MemberStatus.ALIVE, i));
        }
        byte[] datagram = codec.encode(new MembershipMessage(MessageKind.SYNC, "n1", 7, "", records));
        assertTrue(datagram.length <= MembershipCodec.MAX_DATAGRAM_BYTES);
        assertNotNull(codec.decode(datagram));
    }

    @Test
    void aTruncatedPayloadIsRejected() {
        byte[] datagram =
                codec.encode(new MembershipMessage(MessageKind.PAYLOAD, "n1", 0, "", List.of(), new byte[100]));
        byte[] content = Arrays.copyOf(datagram, datagram.length - MAC_BYTES - 40);
        assertNull(codec.decode(signed(content)));
    }

    @Test
    void textsAndPayloadsReachTheirHandlersAndNobodyElse() {
        SwimSettings settings = SwimSettings.defaults(List.of("127.0.0.1:2"));
        SwimProtocol sender = new SwimProtocol(
                Duration.ZERO,
                new MemberTable("n1", "127.0.0.1:1", "-", 1),
                settings,
                new SplittableRandom(1),
                line -> {});
        SwimProtocol receiver = new SwimProtocol(
                Duration.ZERO,
                new MemberTable("n2", "127.0.0.1:2", "-", 1),
                settings,
                new SplittableRandom(2),
                line -> {});
        List<String> received = new ArrayList<>();
        receiver.addTextHandler(
                Set.of("A"), (from, correlationId, text) -> received.add(from + " " + correlationId + " " + text));
        receiver.addTextHandler(Set.of("B"), (from, correlationId, text) -> received.add("B " + text));
        receiver.addPayloadHandler((from, payload) ->
                received.add(from + " carries " + payload.length + " " + payload[payload.length - 1]));
        sender.receive(
                Duration.ZERO,
                "127.0.0.1:2",
                new MembershipMessage(
                        MessageKind.SYNC_REPLY,
                        "n2",
                        0,
                        "",
                        receiver.memberTable().records()));
        byte[] payload = new byte[SwimProtocol.MAX_PAYLOAD_BYTES];
        payload[payload.length - 1] = 7;
        sender.send(new PeerMessage.Payload("n2", payload));
        sender.send(new PeerMessage.Payload("nobody", payload));
        sender.send(new PeerMessage.Text("n2", 5, "A/x"));
        sender.send(new PeerMessage.Text("n2", 6, "B"));
        sender.send(new PeerMessage.Text("n2", 7, "C/has-no-handler"));
        for (OutboundDatagram datagram : sender.tick(Duration.ofMillis(1))) {
            MembershipMessage message = codec.decode(codec.encode(datagram.message()));
            receiver.receive(Duration.ofMillis(2), "127.0.0.1:1", message);
        }
        assertEquals(List.of("n1 carries " + payload.length + " 7", "n1 5 A/x", "B B"), received);
    }

    private static byte[] signed(byte[] content) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(SECRET.getBytes(StandardCharsets.US_ASCII), "HmacSHA256"));
            byte[] datagram = Arrays.copyOf(content, content.length + MAC_BYTES);
            System.arraycopy(mac.doFinal(content), 0, datagram, content.length, MAC_BYTES);
            return datagram;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
