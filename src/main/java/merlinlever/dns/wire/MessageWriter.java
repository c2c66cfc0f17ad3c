package merlinlever.dns.wire;

import java.util.Arrays;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.Octets;
import merlinlever.dns.record.RecordTypes;

/** Writes one message of limited size and compresses its owner names (RFC 1035 section 4.1.4). */
public final class MessageWriter {

    /** Maximum number of names kept as compression targets; bounds the time for comparing names. */
    private static final int MAX_COMPRESSION_TARGETS = 48;

    private static final int INITIAL_BYTES = 512;
    private static final int POINTER_MARK = 0xc0;
    private static final int POINTER_MARK_16 = POINTER_MARK << Byte.SIZE;
    private static final int MAX_POINTER_OFFSET = 0x3fff;
    private static final int POINTER_BYTES = 2;
    private static final int MAX_RECORDS = 0xffff;
    /** Bits of the response code in the header; the OPT record holds the upper eight bits (RFC 6891 section 6.1.3). */
    private static final int RESPONSE_CODE_BITS = 4;

    private static final int EXTENDED_CODE_SHIFT = 24;

    private byte[] out;
    private int position;
    private final int maxBytes;
    /** Offsets of the names and name suffixes that compression pointers can refer to. */
    private final int[] targets = new int[MAX_COMPRESSION_TARGETS];

    private int targetCount;
    private final int[] counts = new int[MessageSection.values().length];

    /** @param maxBytes the maximum size of the message, 12 to 65,535 octets */
    public MessageWriter(int id, int flags, int maxBytes) {
        this.maxBytes = maxBytes;
        out = new byte[Math.min(maxBytes, INITIAL_BYTES)];
        position = DnsMessage.HEADER_BYTES;
        Octets.put16(out, 0, id);
        Octets.put16(out, DnsMessage.FLAGS_OFFSET, flags);
    }

    /** Returns the number of octets written. */
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

    /** Appends the question (in an update, the zone). */
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

    /** Whether the name from {@code nameOffset} on equals the message's name at {@code messageOffset}. */
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
     * @param data the record data, or null for a record without data
     * @return whether the record fit; otherwise the message is unchanged
     */
    public boolean record(MessageSection section, byte[] owner, int type, int dclass, long ttl, byte[] data) {
        int length = data == null ? 0 : data.length;
        int start = position;
        int targetsBefore = targetCount;
        int bytes = DnsMessage.RECORD_FIXED_BYTES + length;
        // A compressed owner name may take only a pointer.
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
     * @param maxDatagramBytes the largest datagram that this server accepts, in octets
     * @param code the extended response code; only its upper bits are written to the OPT record
     * @param options the encoded options, or null for none
     * @return whether the record fit; otherwise the message is unchanged
     */
    public boolean edns(int maxDatagramBytes, int code, byte[] options) {
        long ttl = (long) (code >> RESPONSE_CODE_BITS) << EXTENDED_CODE_SHIFT;
        byte[] data = options == null ? new byte[0] : options;
        return record(MessageSection.ADDITIONAL, DomainNames.ROOT, RecordTypes.OPT, maxDatagramBytes, ttl, data);
    }

    /** Returns the number of records in the section. */
    public int count(MessageSection section) {
        return counts[section.ordinal()];
    }

    /**
     * Removes all records and keeps the question.
     *
     * @param questionEnd the offset of the end of the question
     */
    public void truncateToQuestion(int questionEnd) {
        position = questionEnd;
        Arrays.fill(counts, MessageSection.ANSWER.ordinal(), counts.length, 0);
        while (targetCount > 0 && targets[targetCount - 1] >= position) {
            targetCount--;
        }
    }

    /** Sets a header flag. */
    public void setFlag(int flag) {
        Octets.put16(out, DnsMessage.FLAGS_OFFSET, Octets.u16(out, DnsMessage.FLAGS_OFFSET) | flag);
    }

    /** Returns a copy of the message. */
    public byte[] toBytes() {
        for (MessageSection section : MessageSection.values()) {
            Octets.put16(out, section.countOffset(), counts[section.ordinal()]);
        }
        return Arrays.copyOf(out, position);
    }
}
