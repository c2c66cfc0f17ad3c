package merlinlever.dns.journal;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import merlinlever.dns.record.DomainNames;
import merlinlever.dns.record.ResourceRecord;
import merlinlever.dns.state.Difference;

/**
 * The octets of journals and snapshots. A journal is a header and entries; an entry is a mark, its length, the CRC-32C of
 * what follows, and that. A snapshot is one such entry in parts. All numbers are big-endian.
 */
final class JournalFormat {

    static final int JOURNAL = 0x4d4c4a31, ENTRY = 0x4d4c4531, SNAPSHOT = 0x4d4c5331;
    /** Mark, base sequence number, CRC. */
    static final int HEADER = 16;
    /** Mark, length, CRC. */
    static final int FRONT = 12;
    /** Octets of one entry at the most: an update of 64 KiB names at most so many records, in a set that may be large. */
    static final int MOST_ENTRY = 256 << 20;

    /**
     * One update as it lies in the journal.
     *
     * @param sequence counts the updates of a zone from 1
     * @param durableLength how much of the file was surely on disk when this was written
     * @param unixSeconds when it was made, in Unix seconds
     * @param replayKey of the message that asked for it, for telling a repeat; empty for none
     */
    record JournalEntry(long sequence, long durableLength, long unixSeconds, byte[] replayKey, Difference difference) {}

    private JournalFormat() {}

    private static int crc(ByteBuffer octets) {
        CRC32C crc = new CRC32C();
        crc.update(octets);
        return (int) crc.getValue();
    }

    static byte[] header(long base) {
        ByteBuffer out = ByteBuffer.allocate(HEADER).putInt(JOURNAL).putLong(base);
        return out.putInt(crc(ByteBuffer.wrap(out.array(), 0, 12))).array();
    }

    /** The base of a journal, or -1 where this is no whole header. */
    static long base(byte[] file) {
        if (file.length < HEADER) {
            return -1;
        }
        ByteBuffer in = ByteBuffer.wrap(file);
        return in.getInt() == JOURNAL && in.getInt(12) == crc(ByteBuffer.wrap(file, 0, 12)) ? in.getLong(4) : -1;
    }

    private static int size(List<ResourceRecord> records) {
        int size = 4;
        for (ResourceRecord rec : records) {
            size = Math.addExact(size, 1 + rec.owner().length + 10 + rec.data().length);
        }
        return size;
    }

    static void put(ByteBuffer out, ResourceRecord rec) {
        out.put((byte) rec.owner().length)
                .put(rec.owner())
                .putShort((short) rec.type())
                .putInt((int) rec.ttl());
        out.putInt(rec.data().length).put(rec.data());
    }

    static int size(ResourceRecord rec) {
        return 1 + rec.owner().length + 10 + rec.data().length;
    }

    private static void put(ByteBuffer out, List<ResourceRecord> records) {
        out.putInt(records.size());
        records.forEach(rec -> put(out, rec));
    }

    static ByteBuffer entry(JournalEntry step) {
        int length =
                8 + 8 + 8 + 1 + step.replayKey.length + size(step.difference.removed()) + size(step.difference.added());
        ByteBuffer out =
                ByteBuffer.allocate(FRONT + length).putInt(ENTRY).putInt(length).putInt(0);
        out.putLong(step.sequence)
                .putLong(step.durableLength)
                .putLong(step.unixSeconds)
                .put((byte) step.replayKey.length)
                .put(step.replayKey);
        put(out, step.difference.removed());
        put(out, step.difference.added());
        out.flip();
        return out.putInt(8, crc(out.slice(FRONT, length)));
    }

    /** The entry at the place, or null where none stands there whole. */
    static JournalEntry step(byte[] file, int at) {
        int length = lengthAt(file, at);
        if (length < 0 || ByteBuffer.wrap(file).getInt(at + 8) != crc(ByteBuffer.wrap(file, at + FRONT, length))) {
            return null;
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(file, at + FRONT, length);
            long sequence = in.getLong();
            long forced = in.getLong();
            long made = in.getLong();
            byte[] mark = new byte[in.get() & 0xff];
            in.get(mark);
            return new JournalEntry(sequence, forced, made, mark, new Difference(records(in), records(in)));
        } catch (BufferUnderflowException | NegativeArraySizeException | IllegalArgumentException e) {
            return null;
        }
    }

    /** The length of the entry that begins there, or -1. */
    static int lengthAt(byte[] file, int at) {
        if (at + FRONT > file.length) {
            return -1;
        }
        ByteBuffer in = ByteBuffer.wrap(file);
        int length = in.getInt(at + 4);
        return in.getInt(at) == ENTRY && length >= 0 && length <= MOST_ENTRY && length <= file.length - at - FRONT
                ? length
                : -1;
    }

    static List<ResourceRecord> records(ByteBuffer in) {
        int count = in.getInt();
        if (count < 0 || count > in.remaining()) {
            throw new IllegalArgumentException("a count beyond the end");
        }
        List<ResourceRecord> records = new ArrayList<>(count);
        byte[] last = DomainNames.ROOT;
        for (int i = 0; i < count; i++) {
            byte[] owner = new byte[in.get() & 0xff];
            in.get(owner);
            // One array for a name, as the reader of files does it.
            last = Arrays.equals(owner, last) ? last : owner;
            int type = in.getShort() & 0xffff;
            long ttl = in.getInt() & 0xffff_ffffL;
            byte[] data = new byte[in.getInt()];
            in.get(data);
            records.add(new ResourceRecord(last, type, ttl, data));
        }
        return records;
    }

    /** The name of a zone's files: what could be anything else but a name in a folder is written as its octets. */
    static String fileName(byte[] origin) {
        StringBuilder name = new StringBuilder();
        for (char c : DomainNames.text(origin).toCharArray()) {
            if ((c >= 'a' && c <= 'z')
                    || (c >= '0' && c <= '9')
                    || c == '-'
                    || c == '_'
                    || (c == '.' && name.length() > 0)) {
                name.append(c);
            } else {
                name.append(String.format("%%%02x", (int) c));
            }
        }
        return name.toString();
    }
}
