package merlinlever.dns.wire;

import java.util.Arrays;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.Octets;
import merlinlever.dns.record.RecordTypes;

/** Writes one message up to a size, with owner names compressed against those already in it (RFC 1035 section 4.1.4). */
public final class MessageWriter {

    /** Names that can be pointed to; more cost more to compare than they save. */
    private static final int MAX_COMPRESSION_TARGETS = 48;

    private static final int INITIAL_BYTES = 512;
    private static final int POINTER_MARK = 0xc0;
    private static final int POINTER_MARK_16 = POINTER_MARK << Byte.SIZE;
    private static final int MAX_POINTER_OFFSET = 0x3fff;
    private static final int POINTER_BYTES = 2;
    private static final int MAX_RECORDS = 0xffff;
    /** The extended response code's upper eight bits lie above these in the OPT record (RFC 6891 section 6.1.3). */
    private static final int RESPONSE_CODE_BITS = 4;

    private static final int EXTENDED_CODE_SHIFT = 24;

    private byte[] out;
    private int position;
    private final int maxBytes;
    /** Offsets of names and of their ends that can be pointed to. */
    private final int[] targets = new int[MAX_COMPRESSION_TARGETS];

    private int targetCount;
    private final int[] counts = new int[MessageSection.values().length];

    /** @param maxBytes 12 to 65,535 */
    public MessageWriter(int id, int flags, int maxBytes) {
        this.maxBytes = maxBytes;
        out = new byte[Math.min(maxBytes, INITIAL_BYTES)];
        position = DnsMessage.HEADER_BYTES;
        Octets.put16(out, 0, id);
        Octets.put16(out, DnsMessage.FLAGS_OFFSET, flags);
    }

    /** Octets written. */
    public int length() {
        return position;
    }

    private boolean ensureRoom(int count) {
        if (position + count > maxBytes) {
            return false;
        }
        if (position + count > out.length) {
            out = Arrays.copyOf(out, Math.min(maxBytes, Math.max(position + count, 2 * out.length)));
        }
        return true;
    }

    private void append16(int value) {
        Octets.put16(out, position, value);
        position += Short.BYTES;
    }

    private void append32(long value) {
        Octets.put32(out, position, value);
        position += Integer.BYTES;
    }

    /** Appends the question, or an update's zone. */
    public MessageWriter question(byte[] name, int type, int dclass) {
        ensureRoom(name.length + DnsMessage.QUESTION_FIXED_BYTES);
        appendName(name);
        append16(type);
        append16(dclass);
        counts[MessageSection.QUESTION.ordinal()]++;
        return this;
    }

    private void appendName(byte[] name) {
        for (int from = 0; name[from] != 0; from += name[from] + 1) {
            for (int i = 0; i < targetCount; i++) {
                if (isSameName(name, from, targets[i])) {
                    append16(POINTER_MARK_16 | targets[i]);
                    return;
                }
            }
            if (targetCount < MAX_COMPRESSION_TARGETS && position < MAX_POINTER_OFFSET) {
                targets[targetCount++] = position;
            }
            System.arraycopy(name, from, out, position, name[from] + 1);
            position += name[from] + 1;
        }
        out[position++] = 0;
    }

    /** Whether the rest of the name is the name at an offset of the message. */
    private boolean isSameName(byte[] name, int nameOffset, int messageOffset) {
        int from = nameOffset;
        int at = messageOffset;
        while (true) {
            int label = Octets.u8(out, at);
            if (label >= POINTER_MARK) {
                at = Octets.u16(out, at) & MAX_POINTER_OFFSET;
                continue;
            }
            if (label != name[from] || !Arrays.equals(out, at, at + label + 1, name, from, from + label + 1)) {
                return false;
            }
            if (label == 0) {
                return true;
            }
            at += label + 1;
            from += label + 1;
        }
    }

    /**
     * Appends one record.
     *
     * @param ttl seconds
     * @param data null for none
     * @return whether there was room for it; if not, nothing was written
     */
    public boolean record(MessageSection section, byte[] owner, int type, int dclass, long ttl, byte[] data) {
        int length = data == null ? 0 : data.length;
        int start = position;
        int targetsBefore = targetCount;
        int bytes = DnsMessage.RECORD_FIXED_BYTES + length;
        // The owner may be compressed to a pointer.
        if (!ensureRoom(owner.length + bytes) && !ensureRoom(Math.min(owner.length, POINTER_BYTES) + bytes)) {
            return false;
        }
        if (position + owner.length + bytes > out.length) {
            out = Arrays.copyOf(out, position + owner.length + bytes);
        }
        appendName(owner);
        append16(type);
        append16(dclass);
        append32(ttl);
        append16(length);
        if (length > 0) {
            System.arraycopy(data, 0, out, position, length);
        }
        position += length;
        if (position > maxBytes || counts[section.ordinal()] == MAX_RECORDS) {
            position = start;
            targetCount = targetsBefore;
            return false;
        }
        counts[section.ordinal()]++;
        return true;
    }

    /**
     * Appends the OPT record of EDNS (RFC 6891 section 6.1).
     *
     * @param payload octets of a datagram that this side takes
     * @param code the extended response code, of which the upper part is written here
     * @param options null for none
     */
    public boolean edns(int payload, int code, byte[] options) {
        long ttl = (long) (code >> RESPONSE_CODE_BITS) << EXTENDED_CODE_SHIFT;
        byte[] data = options == null ? new byte[0] : options;
        return record(MessageSection.ADDITIONAL, DomainNames.ROOT, RecordTypes.OPT, payload, ttl, data);
    }

    /** Records in the section. */
    public int count(MessageSection section) {
        return counts[section.ordinal()];
    }

    /** Removes all records. */
    public void truncateToQuestion(int questionEnd) {
        position = questionEnd;
        Arrays.fill(counts, MessageSection.ANSWER.ordinal(), counts.length, 0);
        while (targetCount > 0 && targets[targetCount - 1] >= position) {
            targetCount--;
        }
    }

    /** Sets a header flag. */
    public void flag(int flag) {
        Octets.put16(out, DnsMessage.FLAGS_OFFSET, Octets.u16(out, DnsMessage.FLAGS_OFFSET) | flag);
    }

    /** The message. */
    public byte[] toBytes() {
        for (MessageSection section : MessageSection.values()) {
            Octets.put16(out, section.countOffset(), counts[section.ordinal()]);
        }
        return Arrays.copyOf(out, position);
    }
}
