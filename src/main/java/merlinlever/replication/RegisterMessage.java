package merlinlever.replication;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What voters and leaders say to each other of registers, as octets: version, kind, term, a number, a name, and registers. Anything
 * else is nothing.
 *
 * @param number flags of a page, or the mark of what is known
 * @param name of the register, or after which one a page begins; may be empty
 */
record RegisterMessage(Kind kind, long term, long number, String name, List<PaxosAcceptor.RegisterState> entries) {

    /**
     * A leader asks (PREPARE) and proposes (ACCEPT), a voter answers each or refuses with the term it holds to; WRITTEN is told to
     * all; KNOWN is compared, and ASK is answered with a PAGE of all registers.
     */
    enum Kind {
        PREPARE,
        PROMISED,
        ACCEPT,
        ACCEPTED,
        REFUSED,
        WRITTEN,
        KNOWN,
        ASK,
        PAGE
    }

    private static final byte VERSION = 1;
    /** Octets of registers on one page. */
    static final int PAGE = 30 << 10;

    byte[] octets() {
        byte[] text = name.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer out = ByteBuffer.allocate(64
                + text.length
                + entries.stream().mapToInt(PaxosAcceptor::octets).sum());
        out.put(VERSION)
                .put((byte) kind.ordinal())
                .putLong(term)
                .putLong(number)
                .put((byte) text.length)
                .put(text)
                .putShort((short) entries.size());
        entries.forEach(entry -> PaxosAcceptor.put(out, entry));
        return Arrays.copyOf(out.array(), out.position());
    }

    static RegisterMessage read(byte[] body) {
        if (body.length > GossipCodec.MOST) {
            return null;
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(body);
            byte version = in.get();
            int kind = in.get();
            long term = in.getLong();
            long number = in.getLong();
            byte[] text = new byte[in.get() & 0xff];
            in.get(text);
            String name = new String(text, StandardCharsets.ISO_8859_1);
            List<PaxosAcceptor.RegisterState> entries = new ArrayList<>();
            for (int left = in.getShort() & 0xffff; left > 0; left--) {
                entries.add(PaxosAcceptor.entry(in));
            }
            boolean ours = version == VERSION
                    && kind >= 0
                    && kind < Kind.values().length
                    && term >= 0
                    && (name.isEmpty() || GossipCodec.fits("-", name));
            return !ours || in.hasRemaining()
                    ? null
                    : new RegisterMessage(Kind.values()[kind], term, number, name, entries);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return null;
        }
    }
}
