package merlinlever.replication.disk;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import merlinlever.replication.ReplicatedStore;
import merlinlever.replication.VersionedEntry;

/** A backend's own words as octets of a file: the CRC-32C of the rest, versions, whose they are, each word. */
public final class EntryFile {

    private static final int FORM = 0x4d4c5731;

    private EntryFile() {}

    public static byte[] octets(String owner, ReplicatedStore.PersistedEntries kept) {
        int size = 64 + owner.length();
        for (VersionedEntry word : kept.words()) {
            size += 32 + word.topic().length() + (word.value() == null ? 0 : word.value().length);
        }
        ByteBuffer out = ByteBuffer.allocate(size);
        out.putInt(0).putInt(FORM).putLong(kept.incarnation()).putLong(kept.sequence());
        put(out, owner);
        out.putShort((short) kept.words().size());
        for (VersionedEntry word : kept.words()) {
            put(out, word.topic());
            out.putLong(word.incarnation())
                    .putLong(word.sequence())
                    .putInt(word.value() == null ? -1 : word.value().length);
            if (word.value() != null) {
                out.put(word.value());
            }
        }
        byte[] octets = Arrays.copyOf(out.array(), out.position());
        ByteBuffer.wrap(octets).putInt(sum(octets));
        return octets;
    }

    private static void put(ByteBuffer out, String text) {
        byte[] octets = text.getBytes(StandardCharsets.US_ASCII);
        out.put((byte) octets.length).put(octets);
    }

    private static String text(ByteBuffer in) {
        byte[] octets = new byte[in.get() & 0xff];
        in.get(octets);
        return new String(octets, StandardCharsets.US_ASCII);
    }

    private static int sum(byte[] octets) {
        CRC32C crc = new CRC32C();
        crc.update(octets, 4, octets.length - 4);
        return (int) crc.getValue();
    }

    /** Null where it is spoilt; of another owner's file (a copied folder) the versions alone, to begin above them. */
    public static ReplicatedStore.PersistedEntries parsed(String owner, byte[] octets) {
        try {
            ByteBuffer in = ByteBuffer.wrap(octets);
            if (in.getInt() != sum(octets) || in.getInt() != FORM) {
                return null;
            }
            long incarnation = in.getLong();
            long sequence = in.getLong();
            boolean own = text(in).equals(owner);
            List<VersionedEntry> words = new ArrayList<>();
            for (int left = in.getShort(); left > 0; left--) {
                String topic = text(in);
                long its = in.getLong();
                long at = in.getLong();
                int length = in.getInt();
                if (length > VersionedEntry.MOST_OCTETS) {
                    return null;
                }
                byte[] value = length < 0 ? null : new byte[length];
                if (value != null) {
                    in.get(value);
                }
                words.add(new VersionedEntry(owner, topic, its, at, value));
            }
            return new ReplicatedStore.PersistedEntries(incarnation, sequence, own ? words : List.of());
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            return null;
        }
    }
}
