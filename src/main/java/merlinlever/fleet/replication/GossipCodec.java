package merlinlever.fleet.replication;

import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import merlinlever.fleet.replication.EntryTable.EntryVersion;
import merlinlever.fleet.replication.GossipMessage.AgedEntry;
import merlinlever.fleet.replication.GossipMessage.BucketChecksums;
import merlinlever.fleet.replication.GossipMessage.EntryBatch;
import merlinlever.fleet.replication.GossipMessage.EntryRequest;
import merlinlever.fleet.replication.GossipMessage.VersionList;
import merlinlever.fleet.replication.StoredEntry.EntryKey;

/**
 * Encodes and decodes {@link GossipMessage}s: protocol version, kind, content. Each message has exactly one encoding. A
 * message with another protocol version, an excessive length, a field out of range or trailing bytes is rejected as a
 * whole.
 */
final class GossipCodec {

    static final int MAX_MESSAGE_BYTES = 32 << 10;
    /** Greater ages are encoded as this age. */
    private static final Duration MAX_AGE = Duration.ofDays(1000);

    private static final long MAX_AGE_MS = MAX_AGE.toMillis();

    private static final byte PROTOCOL_VERSION = 1;
    private static final int MAX_OWNER_LENGTH = 120;
    private static final int MAX_TOPIC_LENGTH = 40;
    private static final int DIGEST_BYTES = 32;
    private static final int MAX_VARINT_BYTES = 9;
    /** Number of variable-length integers in an entry: incarnation, sequence and age. */
    private static final int VARINTS_PER_ENTRY = 3;
    /** Payload bits in each byte of a variable-length integer; the highest bit is set if another byte follows. */
    private static final int VARINT_BITS = 7;

    private static final int VARINT_MASK = (1 << VARINT_BITS) - 1;
    private static final int MORE_BYTES_FLAG = 1 << VARINT_BITS;

    private static final byte CHECKSUMS = 0;
    private static final byte VERSIONS = 1;
    private static final byte ENTRIES = 2;
    private static final byte REQUEST = 3;

    private static final byte VALUE = 0;
    private static final byte TOMBSTONE = 1;
    private static final byte CONFLICT = 2;

    private GossipCodec() {}

    private static boolean isPrintable(String text, int maxLength) {
        return text != null
                && !text.isEmpty()
                && text.length() <= maxLength
                && text.chars().allMatch(character -> character > ' ' && character <= '~');
    }

    /** Whether owner and topic have a valid length and only valid characters. */
    static boolean isValidKey(String owner, String topic) {
        return isPrintable(owner, MAX_OWNER_LENGTH) && isPrintable(topic, MAX_TOPIC_LENGTH);
    }

    // ---- encoding

    private static ByteBuffer header(int capacity, byte kind) {
        return ByteBuffer.allocate(capacity).put(PROTOCOL_VERSION).put(kind);
    }

    private static byte[] writtenBytes(ByteBuffer out) {
        return Arrays.copyOf(out.array(), out.position());
    }

    static byte[] encodeChecksums(long[] checksums) {
        ByteBuffer out = header(2 + Long.BYTES * checksums.length, CHECKSUMS);
        for (long checksum : checksums) {
            out.putLong(checksum);
        }
        return out.array();
    }

    /** Returns an upper bound of the encoded size of a version. */
    static int versionBytes(EntryVersion version) {
        return keyBytes(version.key()) + 2 * MAX_VARINT_BYTES + Long.BYTES;
    }

    static byte[] encodeVersions(long completeBuckets, List<EntryVersion> versions) {
        ByteBuffer out =
                header(MAX_MESSAGE_BYTES, VERSIONS).putLong(completeBuckets).putShort((short) versions.size());
        for (EntryVersion version : versions) {
            putKey(out, version.key());
            putVarint(out, version.incarnation());
            putVarint(out, version.sequence());
            out.putLong(version.fingerprint());
        }
        return writtenBytes(out);
    }

    /** Returns the encoded size of a key. */
    static int keyBytes(EntryKey key) {
        return key.owner().length() + key.topic().length() + 2;
    }

    /** Returns an upper bound of the encoded size of an entry. */
    static int entryBytes(StoredEntry entry) {
        int contentBytes = 0;
        if (entry.isConflicted()) {
            contentBytes = 2 * DIGEST_BYTES;
        } else if (entry.value() != null) {
            contentBytes = Short.BYTES + entry.value().length;
        }
        return keyBytes(entry.key()) + VARINTS_PER_ENTRY * MAX_VARINT_BYTES + 1 + contentBytes;
    }

    static byte[] encodeEntries(Duration now, List<StoredEntry> entries) {
        ByteBuffer out = header(MAX_MESSAGE_BYTES, ENTRIES).putShort((short) entries.size());
        for (StoredEntry entry : entries) {
            putKey(out, entry.key());
            putVarint(out, entry.incarnation());
            putVarint(out, entry.sequence());
            putVarint(out, Math.max(0, Math.min(MAX_AGE_MS, entry.age(now).toMillis())));
            if (entry.isConflicted()) {
                out.put(CONFLICT);
                entry.digests().forEach(digest -> out.put(HexFormat.of().parseHex(digest)));
            } else if (entry.value() == null) {
                out.put(TOMBSTONE);
            } else {
                out.put(VALUE).putShort((short) entry.value().length).put(entry.value());
            }
        }
        return writtenBytes(out);
    }

    static byte[] encodeRequest(List<EntryKey> keys) {
        ByteBuffer out = header(MAX_MESSAGE_BYTES, REQUEST).putShort((short) keys.size());
        keys.forEach(key -> putKey(out, key));
        return writtenBytes(out);
    }

    private static void putKey(ByteBuffer out, EntryKey key) {
        putText(out, key.owner());
        putText(out, key.topic());
    }

    private static void putText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        out.put((byte) bytes.length).put(bytes);
    }

    /** Writes seven bits per byte, lowest first; the highest bit is set if another byte follows. */
    private static void putVarint(ByteBuffer out, long number) {
        long rest = number;
        while (rest > VARINT_MASK) {
            out.put((byte) ((rest & VARINT_MASK) | MORE_BYTES_FLAG));
            rest >>>= VARINT_BITS;
        }
        out.put((byte) rest);
    }

    // ---- decoding

    /** Returns the message, or empty if the bytes are not a valid encoding. */
    static Optional<GossipMessage> decode(byte[] body) {
        if (body.length > MAX_MESSAGE_BYTES) {
            return Optional.empty();
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(body);
            if (in.get() != PROTOCOL_VERSION) {
                return Optional.empty();
            }
            GossipMessage message =
                    switch (in.get()) {
                        case CHECKSUMS -> decodeChecksums(in);
                        case VERSIONS -> decodeVersions(in);
                        case ENTRIES -> decodeEntries(in);
                        case REQUEST -> decodeRequest(in);
                        default -> throw new IllegalArgumentException("unknown message kind");
                    };
            return in.hasRemaining() ? Optional.empty() : Optional.of(message);
        } catch (BufferUnderflowException | BufferOverflowException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static BucketChecksums decodeChecksums(ByteBuffer in) {
        long[] checksums = new long[EntryTable.BUCKET_COUNT];
        for (int i = 0; i < checksums.length; i++) {
            checksums[i] = in.getLong();
        }
        return new BucketChecksums(checksums);
    }

    private static VersionList decodeVersions(ByteBuffer in) {
        long completeBuckets = in.getLong();
        int count = Short.toUnsignedInt(in.getShort());
        List<EntryVersion> versions = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            EntryKey key = getKey(in);
            versions.add(new EntryVersion(key, getVersionNumber(in), getVersionNumber(in), in.getLong()));
        }
        return new VersionList(completeBuckets, versions);
    }

    private static EntryBatch decodeEntries(ByteBuffer in) {
        int count = Short.toUnsignedInt(in.getShort());
        List<AgedEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(decodeEntry(in));
        }
        return new EntryBatch(entries);
    }

    private static AgedEntry decodeEntry(ByteBuffer in) {
        EntryKey key = getKey(in);
        long incarnation = getVersionNumber(in);
        long sequence = getVersionNumber(in);
        long ageMs = getVarint(in);
        if (ageMs > MAX_AGE_MS) {
            throw new IllegalArgumentException("age of entry out of range");
        }
        byte[] value = null;
        List<String> digests;
        switch (in.get()) {
            case VALUE -> {
                value = getValue(in);
                digests = List.of(StoredEntry.digest(value));
            }
            case TOMBSTONE -> digests = List.of(StoredEntry.digest(null));
            case CONFLICT -> {
                digests = List.of(getDigest(in), getDigest(in));
                if (digests.get(0).compareTo(digests.get(1)) >= 0) {
                    throw new IllegalArgumentException("digests of conflict not in ascending order");
                }
            }
            default -> throw new IllegalArgumentException("unknown entry type");
        }
        return new AgedEntry(new StoredEntry(key, incarnation, sequence, value, digests, Duration.ZERO), ageMs);
    }

    private static EntryRequest decodeRequest(ByteBuffer in) {
        int count = Short.toUnsignedInt(in.getShort());
        List<EntryKey> keys = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            keys.add(getKey(in));
        }
        return new EntryRequest(keys);
    }

    private static byte[] getValue(ByteBuffer in) {
        byte[] value = new byte[Short.toUnsignedInt(in.getShort())];
        if (value.length > VersionedEntry.MAX_VALUE_BYTES) {
            throw new IllegalArgumentException("value too long");
        }
        in.get(value);
        return value;
    }

    private static String getDigest(ByteBuffer in) {
        byte[] bytes = new byte[DIGEST_BYTES];
        in.get(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    private static EntryKey getKey(ByteBuffer in) {
        EntryKey key = new EntryKey(getText(in), getText(in));
        if (!isValidKey(key.owner(), key.topic())) {
            throw new IllegalArgumentException("invalid owner or topic");
        }
        return key;
    }

    private static String getText(ByteBuffer in) {
        byte[] bytes = new byte[Byte.toUnsignedInt(in.get())];
        in.get(bytes);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Rejects numbers that no owner can have reached, as versions grow by one at a time. */
    private static long getVersionNumber(ByteBuffer in) {
        long number = getVarint(in);
        if (number > ReplicatedStore.MAX_VERSION) {
            throw new IllegalArgumentException("version number out of range");
        }
        return number;
    }

    private static long getVarint(ByteBuffer in) {
        long number = 0;
        for (int shift = 0; shift < MAX_VARINT_BYTES * VARINT_BITS; shift += VARINT_BITS) {
            byte next = in.get();
            number |= (long) (next & VARINT_MASK) << shift;
            if (next >= 0) {
                if (next == 0 && shift > 0) {
                    // A trailing zero byte means that the encoding is not the shortest.
                    break;
                }
                return number;
            }
        }
        throw new IllegalArgumentException("invalid variable-length integer");
    }
}
