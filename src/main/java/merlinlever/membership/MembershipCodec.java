package merlinlever.membership;

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
 * Messages as octets: two octets of mark, the version, the kind, sender, number, what it is about, rumours,
 * what is carried (its length and the octets), and 16 octets
 * of HMAC-SHA-256 over all before them. Of another version, forged or malformed, it is nothing; a copy of an old one says
 * only what is known already, as beliefs move forward alone.
 */
public final class MembershipCodec {

    /** Octets at the most. */
    public static final int MAX_DATAGRAM_BYTES = 60_000;

    private static final short MAGIC = 0x4d4c;
    private static final byte VERSION = 1;
    private static final int MAC_BYTES = 16;
    private static final int MAX_TEXT_BYTES = 120;

    private final SecretKeySpec secret;

    public MembershipCodec(byte[] secret) {
        this.secret = new SecretKeySpec(secret, "HmacSHA256");
    }

    private byte[] mac(byte[] bytes, int length) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(secret);
            mac.update(bytes, 0, length);
            return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void putText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        out.put((byte) bytes.length).put(bytes);
    }

    /** Rumours that do not fit are left out; others bring them. */
    public byte[] encode(SwimProtocol.MembershipMessage message) {
        ByteBuffer out = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        out.putShort(MAGIC).put(VERSION).put((byte) message.kind().ordinal());
        putText(out, message.sender());
        out.putLong(message.correlationId());
        putText(out, message.text());
        int countAt = out.position();
        out.putShort((short) 0);
        int count = 0;
        for (MemberTable.MemberRecord rumour : message.records()) {
            if (out.remaining() < 4 * MAX_TEXT_BYTES + MAC_BYTES) {
                break;
            }
            putText(out, rumour.name());
            putText(out, rumour.gossipAddress());
            putText(out, rumour.apiAddress());
            out.put((byte) rumour.status().ordinal()).putLong(rumour.incarnation());
            count++;
        }
        out.putShort(countAt, (short) count);
        if (message.kind() == SwimProtocol.MessageKind.PAYLOAD) {
            out.putInt(message.payload().length).put(message.payload());
        }
        byte[] bytes = Arrays.copyOf(out.array(), out.position() + MAC_BYTES);
        System.arraycopy(mac(bytes, out.position()), 0, bytes, out.position(), MAC_BYTES);
        return bytes;
    }

    private static String getText(ByteBuffer in) {
        int length = in.get();
        if (length < 0 || length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException("a text of " + length + " octets");
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        for (byte character : bytes) {
            if (character <= ' ' || character > '~') {
                throw new IllegalArgumentException("not printable");
            }
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    /** The message, or null where this is none of ours. */
    public SwimProtocol.MembershipMessage decode(byte[] bytes) {
        int end = bytes.length - MAC_BYTES;
        if (end < 4
                || bytes.length > MAX_DATAGRAM_BYTES
                || !MessageDigest.isEqual(mac(bytes, end), Arrays.copyOfRange(bytes, end, bytes.length))) {
            return null;
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes, 0, end);
            if (in.getShort() != MAGIC || in.get() != VERSION) {
                return null;
            }
            SwimProtocol.MessageKind kind = SwimProtocol.MessageKind.values()[in.get()];
            String from = getText(in);
            long number = in.getLong();
            String about = getText(in);
            int count = in.getShort() & 0xffff;
            List<MemberTable.MemberRecord> rumours = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String name = getText(in);
                String gossip = getText(in);
                String api = getText(in);
                rumours.add(new MemberTable.MemberRecord(
                        name, gossip, api, MemberTable.MemberStatus.values()[in.get()], in.getLong()));
            }
            byte[] body = null;
            if (kind == SwimProtocol.MessageKind.PAYLOAD) {
                int length = in.getInt();
                if (length < 0 || length > in.remaining()) {
                    return null;
                }
                in.get(body = new byte[length]);
            }
            return in.hasRemaining() || from.isEmpty()
                    ? null
                    : new SwimProtocol.MembershipMessage(kind, from, number, about, rumours, body);
        } catch (BufferUnderflowException | IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            return null;
        }
    }
}
