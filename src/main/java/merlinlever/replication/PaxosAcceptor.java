package merlinlever.replication;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;

/**
 * What one voter has promised and accepted, and what it knows to be written: the acceptor of single-decree Paxos (Lamport 1998,
 * 2001), one decree for each register, one promise for all. Whoever answers from it first forces {@link #octets} to the disk.
 */
class PaxosAcceptor {

    /** Registers at the most; they are never dropped, so that none can be written a second time. */
    static final int MOST = 256;

    static final int MOST_VALUE = 1 << 10;
    private static final int FORM = 0x4d4c4431;

    /**
     * One register.
     *
     * @param term under which the value was accepted last; means nothing once it is written
     * @param written more than half of the voters have accepted it under one term
     */
    record RegisterState(String name, long term, byte[] value, boolean written) {}

    private long promised;
    private final TreeMap<String, RegisterState> all = new TreeMap<>();

    long promised() {
        return promised;
    }

    RegisterState get(String name) {
        return all.get(name);
    }

    Collection<RegisterState> entries() {
        return all.values();
    }

    boolean room(String name) {
        return all.containsKey(name) || all.size() < MOST;
    }

    /** A leader of the term asks what was accepted; false where a later one was promised. */
    boolean promise(long term) {
        if (term < promised) {
            return false;
        }
        promised = term;
        return true;
    }

    /** A leader of the term proposes the value; false where a later one was promised, there is no room, or it proposed another. */
    boolean accept(long term, String name, byte[] value) {
        RegisterState known = all.get(name);
        if (term < promised
                || !room(name)
                || (known != null && (known.written || known.term == term) && !Arrays.equals(known.value, value))) {
            return false;
        }
        promised = term;
        if (known == null || (!known.written && known.term != term)) {
            all.put(name, new RegisterState(name, term, value, false));
        }
        return true;
    }

    /** It is written: false where another value is known to be, which is told and never taken. */
    boolean written(String name, byte[] value) {
        RegisterState known = all.get(name);
        if (known != null && known.written) {
            return Arrays.equals(known.value, value);
        }
        if (room(name)) {
            all.put(name, new RegisterState(name, known == null ? 0 : known.term, value, true));
        }
        return true;
    }

    /** What another voter holds, for one that has lost its own: the latest of each, and no promise is undercut. */
    void recovered(long itsPromise, Collection<RegisterState> its) {
        promised = Math.max(promised, itsPromise);
        for (RegisterState each : its) {
            RegisterState known = all.get(each.name);
            if (each.written) {
                written(each.name, each.value);
            } else if (room(each.name) && (known == null || (!known.written && each.term > known.term))) {
                all.put(each.name, each);
            }
        }
    }

    /** What may be proposed without undoing what may have been written: the value of the highest term that was told, or one's own. */
    static byte[] safe(Collection<RegisterState> told, byte[] mine) {
        RegisterState highest = null;
        for (RegisterState each : told) {
            highest = each != null && each.value != null && (highest == null || each.term > highest.term)
                    ? each
                    : highest;
        }
        return highest == null ? mine : highest.value;
    }

    // ---- as octets

    static int octets(RegisterState entry) {
        return 1 + entry.name.length() + 8 + 1 + 2 + entry.value.length;
    }

    static void put(ByteBuffer out, RegisterState entry) {
        byte[] name = entry.name.getBytes(StandardCharsets.US_ASCII);
        out.put((byte) name.length)
                .put(name)
                .putLong(entry.term)
                .put((byte) (entry.written ? 1 : 0))
                .putShort((short) entry.value.length)
                .put(entry.value);
    }

    /** Throws what a buffer or an argument does where this is none. */
    static RegisterState entry(ByteBuffer in) {
        byte[] name = new byte[in.get() & 0xff];
        in.get(name);
        long term = in.getLong();
        byte written = in.get();
        int length = in.getShort() & 0xffff;
        String text = new String(name, StandardCharsets.ISO_8859_1);
        if (!GossipCodec.fits("-", text) || term < 0 || written < 0 || written > 1 || length > MOST_VALUE) {
            throw new IllegalArgumentException("register");
        }
        byte[] value = new byte[length];
        in.get(value);
        return new RegisterState(text, term, value, written == 1);
    }

    byte[] octets() {
        ByteBuffer out = ByteBuffer.allocate(
                24 + all.values().stream().mapToInt(PaxosAcceptor::octets).sum());
        out.putInt(0).putInt(FORM).putLong(promised).putShort((short) all.size());
        all.values().forEach(entry -> put(out, entry));
        byte[] octets = Arrays.copyOf(out.array(), out.position());
        ByteBuffer.wrap(octets).putInt(sum(octets));
        return octets;
    }

    private static int sum(byte[] octets) {
        CRC32C crc = new CRC32C();
        crc.update(octets, 4, octets.length - 4);
        return (int) crc.getValue();
    }

    /** Null where this is not what {@link #octets} writes. */
    static PaxosAcceptor parsed(byte[] octets) {
        try {
            ByteBuffer in = ByteBuffer.wrap(octets);
            if (in.getInt() != sum(octets) || in.getInt() != FORM) {
                return null;
            }
            PaxosAcceptor made = new PaxosAcceptor();
            made.promised = in.getLong();
            for (int left = in.getShort(); left > 0; left--) {
                RegisterState entry = entry(in);
                made.all.put(entry.name, entry);
            }
            return in.hasRemaining() ? null : made;
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            return null;
        }
    }

    /** Of what is written: alike where two know the same. */
    long mark() {
        long mark = 0;
        for (RegisterState entry : all.values()) {
            mark ^= entry.written
                    ? ByteBuffer.wrap(StoredEntry.sha()
                                    .digest((entry.name + " " + StoredEntry.digest(entry.value))
                                            .getBytes(StandardCharsets.US_ASCII)))
                            .getLong()
                    : 0;
        }
        return mark;
    }

    /** From that name on, as many as fit. */
    List<RegisterState> page(String after, int octets) {
        List<RegisterState> page = new ArrayList<>();
        int size = 0;
        for (Map.Entry<String, RegisterState> each : all.tailMap(after, false).entrySet()) {
            size += octets(each.getValue());
            if (size > octets) {
                break;
            }
            page.add(each.getValue());
        }
        return page;
    }
}
