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
    public static final int MOST = 60_000;

    private static final short MARK = 0x4d4c;
    private static final byte VERSION = 1;
    private static final int MAC = 16;
    private static final int MOST_TEXT = 120;

    private final SecretKeySpec secret;

    public MembershipCodec(byte[] secret) {
        this.secret = new SecretKeySpec(secret, "HmacSHA256");
    }

    private byte[] mac(byte[] octets, int length) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(secret);
            mac.update(octets, 0, length);
            return Arrays.copyOf(mac.doFinal(), MAC);
        } catch (NoSuchAlgorithmException | InvalidKeyException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void put(ByteBuffer out, String text) {
        byte[] octets = text.getBytes(StandardCharsets.US_ASCII);
        out.put((byte) octets.length).put(octets);
    }

    /** Rumours that do not fit are left out; others bring them. */
    public byte[] write(SwimProtocol.MembershipMessage message) {
        ByteBuffer out = ByteBuffer.allocate(MOST);
        out.putShort(MARK).put(VERSION).put((byte) message.kind().ordinal());
        put(out, message.from());
        out.putLong(message.number());
        put(out, message.about());
        int countAt = out.position();
        out.putShort((short) 0);
        int count = 0;
        for (MemberTable.MemberRecord rumour : message.rumours()) {
            if (out.remaining() < 4 * MOST_TEXT + MAC) {
                break;
            }
            put(out, rumour.name());
            put(out, rumour.gossip());
            put(out, rumour.api());
            out.put((byte) rumour.status().ordinal()).putLong(rumour.incarnation());
            count++;
        }
        out.putShort(countAt, (short) count);
        if (message.kind() == SwimProtocol.MessageKind.CARRY) {
            out.putInt(message.body().length).put(message.body());
        }
        byte[] octets = Arrays.copyOf(out.array(), out.position() + MAC);
        System.arraycopy(mac(octets, out.position()), 0, octets, out.position(), MAC);
        return octets;
    }

    private static String text(ByteBuffer in) {
        int length = in.get();
        if (length < 0 || length > MOST_TEXT) {
            throw new IllegalArgumentException("a text of " + length + " octets");
        }
        byte[] octets = new byte[length];
        in.get(octets);
        for (byte octet : octets) {
            if (octet <= ' ' || octet > '~') {
                throw new IllegalArgumentException("not printable");
            }
        }
        return new String(octets, StandardCharsets.US_ASCII);
    }

    /** The message, or null where this is none of ours. */
    public SwimProtocol.MembershipMessage read(byte[] octets) {
        int end = octets.length - MAC;
        if (end < 4
                || octets.length > MOST
                || !MessageDigest.isEqual(mac(octets, end), Arrays.copyOfRange(octets, end, octets.length))) {
            return null;
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(octets, 0, end);
            if (in.getShort() != MARK || in.get() != VERSION) {
                return null;
            }
            SwimProtocol.MessageKind kind = SwimProtocol.MessageKind.values()[in.get()];
            String from = text(in);
            long number = in.getLong();
            String about = text(in);
            int count = in.getShort() & 0xffff;
            List<MemberTable.MemberRecord> rumours = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String name = text(in);
                String gossip = text(in);
                String api = text(in);
                rumours.add(new MemberTable.MemberRecord(
                        name, gossip, api, MemberTable.MemberStatus.values()[in.get()], in.getLong()));
            }
            byte[] body = null;
            if (kind == SwimProtocol.MessageKind.CARRY) {
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
