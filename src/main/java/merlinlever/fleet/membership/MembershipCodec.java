package merlinlever.fleet.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Encodes messages as datagrams: a magic number of two bytes, version, kind, sender, correlation id, text, records, the
 * length and bytes of a {@code PAYLOAD}, and the first 16 bytes of an HMAC-SHA-256 over all preceding bytes. The codec
 * does not decode messages that are forged, malformed or of another version. Replayed records are harmless because a
 * record never overrides a newer one.
 */
public final class MembershipCodec {

    /** Maximum size of a datagram. */
    public static final int MAX_DATAGRAM_BYTES = 60_000;

    private static final short MAGIC = 0x4d4c;
    private static final byte VERSION = 1;
    private static final int MAC_BYTES = 16;
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final int MAX_TEXT_BYTES = 120;
    private static final int MIN_HEADER_BYTES = 4;
    /** Upper bound of an encoded record: the name, two addresses and the fixed-size fields. */
    private static final int MAX_RECORD_BYTES = 4 * MAX_TEXT_BYTES;

    private static final MessageKind[] KINDS = MessageKind.values();
    private static final MemberStatus[] STATUSES = MemberStatus.values();

    private final SecretKeySpec secret;

    /**
     * Creates the codec of a fleet.
     *
     * @param secret key that all members share
     */
    public MembershipCodec(byte[] secret) {
        this.secret = new SecretKeySpec(secret, MAC_ALGORITHM);
    }

    private byte[] mac(byte[] bytes, int length) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(secret);
            mac.update(bytes, 0, length);
            return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException("the Java platform does not support " + MAC_ALGORITHM, e);
        }
    }

    /** Encodes a message as a datagram. Records that do not fit are omitted; later messages carry them. */
    public byte[] encode(MembershipMessage message) {
        ByteBuffer out = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        out.putShort(MAGIC).put(VERSION).put((byte) message.kind().ordinal());
        putText(out, message.sender());
        out.putLong(message.correlationId());
        putText(out, message.text());
        putRecords(out, message.records());
        if (message.kind() == MessageKind.PAYLOAD) {
            out.putInt(message.payload().length).put(message.payload());
        }
        byte[] datagram = Arrays.copyOf(out.array(), out.position() + MAC_BYTES);
        System.arraycopy(mac(datagram, out.position()), 0, datagram, out.position(), MAC_BYTES);
        return datagram;
    }

    private static void putText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        out.put((byte) bytes.length).put(bytes);
    }

    private static void putRecords(ByteBuffer out, List<MemberRecord> records) {
        int countPosition = out.position();
        out.putShort((short) 0);
        int count = 0;
        for (MemberRecord member : records) {
            if (out.remaining() < MAX_RECORD_BYTES + MAC_BYTES) {
                break;
            }
            putText(out, member.name());
            putText(out, member.gossipAddress());
            putText(out, member.apiAddress());
            out.put((byte) member.status().ordinal()).putLong(member.incarnation());
            count++;
        }
        out.putShort(countPosition, (short) count);
    }

    /** Decodes a datagram; returns null if the datagram is not a valid message of this fleet. */
    public MembershipMessage decode(byte[] datagram) {
        int end = datagram.length - MAC_BYTES;
        if (end < MIN_HEADER_BYTES
                || datagram.length > MAX_DATAGRAM_BYTES
                || !MessageDigest.isEqual(mac(datagram, end), Arrays.copyOfRange(datagram, end, datagram.length))) {
            return null;
        }
        try {
            return readMessage(ByteBuffer.wrap(datagram, 0, end));
        } catch (BufferUnderflowException | IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            return null;
        }
    }

    private static MembershipMessage readMessage(ByteBuffer in) {
        if (in.getShort() != MAGIC || in.get() != VERSION) {
            return null;
        }
        MessageKind kind = KINDS[in.get()];
        String sender = readText(in);
        long correlationId = in.getLong();
        String text = readText(in);
        List<MemberRecord> records = readRecords(in);
        byte[] payload = kind == MessageKind.PAYLOAD ? readPayload(in) : null;
        return in.hasRemaining() || sender.isEmpty()
                ? null
                : new MembershipMessage(kind, sender, correlationId, text, records, payload);
    }

    private static String readText(ByteBuffer in) {
        int length = in.get();
        if (length < 0 || length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException("invalid text length: " + length + " bytes");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        for (byte character : bytes) {
            if (character <= ' ' || character > '~') {
                throw new IllegalArgumentException("text contains a character that is not printable ASCII");
            }
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    private static List<MemberRecord> readRecords(ByteBuffer in) {
        int count = Short.toUnsignedInt(in.getShort());
        List<MemberRecord> records = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String name = readText(in);
            String gossipAddress = readText(in);
            String apiAddress = readText(in);
            MemberStatus status = STATUSES[in.get()];
            records.add(new MemberRecord(name, gossipAddress, apiAddress, status, in.getLong()));
        }
        return records;
    }

    private static byte[] readPayload(ByteBuffer in) {
        int length = in.getInt();
        if (length < 0 || length > in.remaining()) {
            throw new IllegalArgumentException("invalid payload length: " + length + " bytes");
        }
        byte[] payload = new byte[length];
        in.get(payload);
        return payload;
    }
}
