package merlinlever.dns.wire;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.MalformedDnsException;
import merlinlever.dns.record.RecordTypes;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.Name;
import org.xbill.DNS.TSIG;

class WireTest {

    private static final byte[] SECRET = "0123456789abcdef0123456789abcdef".getBytes(UTF_8);

    private static byte[] message(int records) throws Exception {
        MessageWriter out = new MessageWriter(7, Opcode.UPDATE.flags(), DnsMessage.MAX_BYTES);
        out.question(DomainNames.absolute("example.org."), RecordTypes.SOA, RecordTypes.IN);
        for (int i = 0; i < records; i++) {
            out.record(
                    MessageSection.AUTHORITY,
                    DomainNames.absolute("n" + i + ".deep.example.org."),
                    RecordTypes.MX,
                    RecordTypes.IN,
                    60,
                    new byte[] {0, 1, 1, 'x', 0});
        }
        out.edns(1232, 0, null);
        return out.toBytes();
    }

    private static Tsig.TsigKey key() throws Exception {
        return new Tsig.TsigKey(DomainNames.absolute("k."), "hmac-sha256", SECRET);
    }

    @Test
    void writtenMessageIsParsedBackAndByDnsjava() throws Exception {
        byte[] octets = message(200);
        DnsMessage parsed = DnsMessage.read(octets);
        assertEquals(200, parsed.authority().size());
        assertEquals(
                "n199.deep.example.org.",
                DomainNames.text(parsed.authority().get(199).owner()));
        org.xbill.DNS.Message libraryMessage = new org.xbill.DNS.Message(octets);
        assertEquals(200, libraryMessage.getSection(2).size());
        assertEquals(
                "n199.deep.example.org.",
                libraryMessage.getSection(2).get(199).getName().toString());
        assertTrue(octets.length < 200 * 30, "owner names are not compressed");
    }

    private static int parsedCount;
    private static int malformedCount;

    /** Corrupted messages are either parsed or reported as malformed; no other exception escapes. */
    @Property(tries = 60_000, seed = "12", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void corruptedMessagesAreParsedOrMalformed(@ForAll long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] corrupted = VALID_MESSAGES[random.nextInt(3)].clone();
        for (int k = random.nextInt(8); k >= 0; k--) {
            corrupted[random.nextInt(corrupted.length)] = switch (random.nextInt(3)) {
                case 0 -> (byte) random.nextInt(256);
                case 1 -> (byte) 0xc0;
                default -> (byte) random.nextInt(20);
            };
        }
        corrupted = random.nextInt(4) == 0 ? Arrays.copyOf(corrupted, random.nextInt(corrupted.length)) : corrupted;
        try {
            DnsMessage message = DnsMessage.read(corrupted);
            parsedCount++;
            if (message.signature() != null) {
                Tsig.verify(message, new Tsig.TsigKeyRing(List.of(key())), 1000, null);
            }
        } catch (MalformedDnsException e) {
            malformedCount++;
            assertFalse(e.getMessage().isEmpty());
        }
    }

    @AfterContainer
    static void bothResultsOccurred() {
        assertTrue(
                parsedCount > 1000 && malformedCount > 1000, parsedCount + " parsed, " + malformedCount + " malformed");
    }

    private static final byte[][] VALID_MESSAGES = validMessages();

    private static byte[][] validMessages() {
        try {
            return new byte[][] {
                message(5), Tsig.sign(message(2), key(), 1000, null).octets(), new byte[40]
            };
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void changingAnyOctetOfASignedMessageInvalidatesIt() throws Exception {
        Tsig.TsigKeyRing keys = new Tsig.TsigKeyRing(List.of(key()));
        byte[] signed = Tsig.sign(message(2), key(), 1000, null).octets();
        assertEquals(0, Tsig.verify(DnsMessage.read(signed), keys, 1200, null).error());
        assertEquals(
                Tsig.BADTIME,
                Tsig.verify(DnsMessage.read(signed), keys, 1301, null).error());
        for (int at = 0; at < signed.length; at++) {
            byte[] corrupted = signed.clone();
            corrupted[at] ^= 0x04;
            try {
                DnsMessage message = DnsMessage.read(corrupted);
                // The signature covers the original id of the TSIG record, not the id of the header.
                assertTrue(
                        at < 2
                                || message.signature() == null
                                || Tsig.verify(message, keys, 1000, null).error() != 0,
                        "octet " + at);
            } catch (MalformedDnsException expected) {
                // Rejected by the parser, before the signature is verified.
            }
        }
    }

    @Test
    void signaturesInteroperateWithDnsjava() throws Exception {
        TSIG libraryKey = new TSIG(TSIG.HMAC_SHA256, new Name("k."), SECRET);
        long now = System.currentTimeMillis() / 1000;
        byte[] signed = Tsig.sign(message(3), key(), now, null).octets();
        org.xbill.DNS.Message received = new org.xbill.DNS.Message(signed);
        assertEquals(0, libraryKey.verify(received, signed, null));
        org.xbill.DNS.Message librarySigned = new org.xbill.DNS.Message(message(1));
        librarySigned.setTSIG(libraryKey, 0, null);
        byte[] octets = librarySigned.toWire(65_535);
        assertEquals(
                0,
                Tsig.verify(DnsMessage.read(octets), new Tsig.TsigKeyRing(List.of(key())), now, null)
                        .error());
    }

    @Test
    void aSignedStreamIsValidOnlyCompleteAndInOrder() throws Exception {
        byte[] mac = {1, 2, 3};
        Tsig.SignatureChain server = new Tsig.SignatureChain(key(), mac);
        byte[][] messages = new byte[5][];
        for (int i = 0; i < 5; i++) {
            messages[i] = server.sign(message(i), 1000);
        }
        Tsig.SignatureChain client = new Tsig.SignatureChain(key(), mac);
        for (byte[] message : messages) {
            assertTrue(client.verifyNext(DnsMessage.read(message), 1000));
        }
        assertTrue(client.isComplete());
        Tsig.SignatureChain skipping = new Tsig.SignatureChain(key(), mac);
        assertTrue(skipping.verifyNext(DnsMessage.read(messages[0]), 1000));
        assertFalse(skipping.verifyNext(DnsMessage.read(messages[2]), 1000));
        Tsig.SignatureChain unsigned = new Tsig.SignatureChain(key(), mac);
        assertFalse(unsigned.verifyNext(DnsMessage.read(message(1)), 1000));
    }

    @Test
    void recordsBeyondTheSizeLimitAreNotWritten() throws Exception {
        MessageWriter out = new MessageWriter(1, 0, 100);
        out.question(DomainNames.absolute("example.org."), RecordTypes.A, RecordTypes.IN);
        int written = 0;
        while (out.record(
                MessageSection.ANSWER,
                DomainNames.absolute("example.org."),
                RecordTypes.A,
                RecordTypes.IN,
                1,
                new byte[] {1, 2, 3, (byte) written})) {
            written++;
        }
        byte[] octets = out.toBytes();
        assertTrue(octets.length <= 100 && octets.length > 84);
        assertEquals(written, DnsMessage.read(octets).answers().size());
        assertNull(DnsMessage.read(octets).edns());
    }
}
