package merlinlever.fleet.replication.disk;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import merlinlever.fleet.replication.ReplicatedStore.PersistedEntries;
import merlinlever.fleet.replication.VersionedEntry;

/**
 * Codec of the file of a backend's own entries: CRC-32C of the remaining bytes, format, last version, owner, entries.
 */
public final class EntryFile {

    /** "MLW1": magic number after the checksum. */
    private static final int FORMAT = 0x4d4c5731;

    private static final int HEADER_BYTES = 64;
    private static final int ENTRY_HEADER_BYTES = 32;
    /** Value length of a removed entry. */
    private static final int REMOVED = -1;

    private EntryFile() {}

    /** Encodes the content of the file. */
    public static byte[] encode(String owner, PersistedEntries persisted) {
        ByteBuffer out = ByteBuffer.allocate(maxBytes(owner, persisted));
        out.putInt(0).putInt(FORMAT).putLong(persisted.incarnation()).putLong(persisted.sequence());
        putText(out, owner);
        out.putShort((short) persisted.entries().size());
        for (VersionedEntry entry : persisted.entries()) {
            putText(out, entry.topic());
            out.putLong(entry.incarnation()).putLong(entry.sequence());
            if (entry.value() == null) {
                out.putInt(REMOVED);
            } else {
                out.putInt(entry.value().length).put(entry.value());
            }
        }
        byte[] bytes = Arrays.copyOf(out.array(), out.position());
        ByteBuffer.wrap(bytes).putInt(checksum(bytes));
        return bytes;
    }

    private static int maxBytes(String owner, PersistedEntries persisted) {
        int bytes = HEADER_BYTES + owner.length();
        for (VersionedEntry entry : persisted.entries()) {
            bytes += ENTRY_HEADER_BYTES + entry.topic().length() + (entry.value() == null ? 0 : entry.value().length);
        }
        return bytes;
    }

    private static void putText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        out.put((byte) bytes.length).put(bytes);
    }

    private static String getText(ByteBuffer in) {
        byte[] bytes = new byte[Byte.toUnsignedInt(in.get())];
        in.get(bytes);
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, Integer.BYTES, bytes.length - Integer.BYTES);
        return (int) crc.getValue();
    }

    /**
     * Decodes the content of a file; empty if the file is corrupt. From the file of another owner (a copied directory)
     * only the last version is used, so that new versions start above it.
     */
    public static Optional<PersistedEntries> decode(String owner, byte[] bytes) {
        if (bytes.length < Integer.BYTES) {
            return Optional.empty();
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(bytes);
            if (in.getInt() != checksum(bytes) || in.getInt() != FORMAT) {
                return Optional.empty();
            }
            long incarnation = in.getLong();
            long sequence = in.getLong();
            boolean own = getText(in).equals(owner);
            int count = in.getShort();
            List<VersionedEntry> entries = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                entries.add(decodeEntry(owner, in));
            }
            return Optional.of(new PersistedEntries(incarnation, sequence, own ? entries : List.of()));
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static VersionedEntry decodeEntry(String owner, ByteBuffer in) {
        String topic = getText(in);
        long incarnation = in.getLong();
        long sequence = in.getLong();
        int length = in.getInt();
        if (length > VersionedEntry.MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("value too long");
        }
        byte[] value = null;
        if (length >= 0) {
            value = new byte[length];
            in.get(value);
        }
        return new VersionedEntry(owner, topic, incarnation, sequence, value);
    }
}
