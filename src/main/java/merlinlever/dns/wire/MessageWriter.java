package merlinlever.dns.wire;

import java.util.Arrays;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.RecordTypes;

/** Writes one message, owner names compressed against those already in it, up to a size. */
public final class MessageWriter {

    private static final int MOST_KNOWN = 48;

    private byte[] out;
    private int at;
    private final int most;
    /** Where names and their ends lie that can be pointed to. */
    private final int[] known = new int[MOST_KNOWN];

    private int knownCount;
    private final int[] counts = new int[4];

    /** @param most octets, 12 to 65,535 */
    public MessageWriter(int id, int flags, int most) {
        this.most = most;
        out = new byte[Math.min(most, 512)];
        at = 12;
        put16(0, id);
        put16(2, flags);
    }

    private void put16(int to, int value) {
        out[to] = (byte) (value >> 8);
        out[to + 1] = (byte) value;
    }

    public int length() {
        return at;
    }

    private boolean room(int count) {
        if (at + count > most) {
            return false;
        }
        if (at + count > out.length) {
            out = Arrays.copyOf(out, Math.min(most, Math.max(at + count, 2 * out.length)));
        }
        return true;
    }

    /** The question, or an update's zone. */
    public MessageWriter question(byte[] name, int type, int dclass) {
        room(name.length + 4);
        name(name);
        put16(at, type);
        put16(at + 2, dclass);
        at += 4;
        counts[0]++;
        return this;
    }

    private void name(byte[] name) {
        for (int from = 0; name[from] != 0; from += name[from] + 1) {
            for (int i = 0; i < knownCount; i++) {
                if (same(name, from, known[i])) {
                    put16(at, 0xc000 | known[i]);
                    at += 2;
                    return;
                }
            }
            if (knownCount < MOST_KNOWN && at < 0x3fff) {
                known[knownCount++] = at;
            }
            System.arraycopy(name, from, out, at, name[from] + 1);
            at += name[from] + 1;
        }
        out[at++] = 0;
    }

    /** Whether the end of the name from there on stands in the message at the place. */
    private boolean same(byte[] name, int from, int place) {
        while (true) {
            int label = out[place] & 0xff;
            if (label >= 0xc0) {
                place = (label & 0x3f) << 8 | (out[place + 1] & 0xff);
                continue;
            }
            if (label != name[from] || !Arrays.equals(out, place, place + label + 1, name, from, from + label + 1)) {
                return false;
            }
            if (label == 0) {
                return true;
            }
            place += label + 1;
            from += label + 1;
        }
    }

    /**
     * One record.
     *
     * @param section 1 answers (prerequisites), 2 authority (changes), 3 additional
     * @param data null for none
     * @return whether there was room for it; if not, nothing was written
     */
    public boolean record(int section, byte[] owner, int type, int dclass, long ttl, byte[] data) {
        int length = data == null ? 0 : data.length;
        int before = at;
        int knownBefore = knownCount;
        // The owner may come out shorter than this.
        if (!room(owner.length + 10 + length) && !room(Math.min(owner.length, 2) + 10 + length)) {
            return false;
        }
        if (at + owner.length + 10 + length > out.length) {
            out = Arrays.copyOf(out, at + owner.length + 10 + length);
        }
        name(owner);
        put16(at, type);
        put16(at + 2, dclass);
        put16(at + 4, (int) (ttl >> 16));
        put16(at + 6, (int) ttl);
        put16(at + 8, length);
        if (length > 0) {
            System.arraycopy(data, 0, out, at + 10, length);
        }
        at += 10 + length;
        if (at > most || counts[section] == 0xffff) {
            at = before;
            knownCount = knownBefore;
            return false;
        }
        counts[section]++;
        return true;
    }

    /** EDNS: what datagrams are taken, the upper part of the response code, options (RFC 6891 section 6.1). */
    public boolean edns(int payload, int code, byte[] options) {
        return record(
                3,
                DomainNames.ROOT,
                RecordTypes.OPT,
                payload,
                (long) (code >> 4) << 24,
                options == null ? new byte[0] : options);
    }

    public int count(int section) {
        return counts[section];
    }

    /** Back to the question alone. */
    public void truncateToQuestion(int questionEnd) {
        at = questionEnd;
        Arrays.fill(counts, 1, 4, 0);
        while (knownCount > 0 && known[knownCount - 1] >= at) {
            knownCount--;
        }
    }

    public void flag(int flag) {
        put16(2, (out[2] & 0xff) << 8 | (out[3] & 0xff) | flag);
    }

    public byte[] toBytes() {
        for (int i = 0; i < 4; i++) {
            put16(4 + 2 * i, counts[i]);
        }
        return Arrays.copyOf(out, at);
    }
}
