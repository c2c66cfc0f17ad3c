package merlinlever.replication;

import java.nio.BufferOverflowException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;

/**
 * What backends tell each other of words, as octets: version, kind, and what the kind holds. Of another version, too long, not
 * in its one form or with anything left over, it is nothing, and nothing of it is taken.
 */
final class GossipCodec {

    /** Octets of one letter at the most. */
    static final int MOST = 32 << 10;
    /** Ages beyond that are not told. */
    private static final long MOST_AGE = Duration.ofDays(1000).toMillis();

    private static final byte VERSION = 1;
    private static final int MOST_OWNER = 120;
    private static final int MOST_TOPIC = 40;
    private static final int DIGEST = 32;

    /** Sums of all buckets: what differs? */
    record BucketChecksums(long[] sums) {}

    /**
     * Versions held.
     *
     * @param whole the buckets of which these are all; none where it only announces what is new
     */
    record VersionList(long whole, List<EntryTable.EntryVersion> lines) {}

    /** The words, with their ages. */
    record EntryBatch(List<AgedEntry> words) {}

    /** Born is as long before now as its age says, by the reader's clock. */
    record AgedEntry(StoredEntry word, long ageMs) {}

    /** These words are asked for. */
    record EntryRequest(List<StoredEntry.EntryKey> keys) {}

    private GossipCodec() {}

    static boolean printable(String text, int most) {
        return text != null
                && !text.isEmpty()
                && text.length() <= most
                && text.chars().allMatch(c -> c > ' ' && c <= '~');
    }

    static boolean fits(String owner, String topic) {
        return printable(owner, MOST_OWNER) && printable(topic, MOST_TOPIC);
    }

    // ---- writing

    static byte[] sums(long[] sums) {
        ByteBuffer out = ByteBuffer.allocate(2 + 8 * sums.length).put(VERSION).put((byte) 0);
        for (long sum : sums) {
            out.putLong(sum);
        }
        return out.array();
    }

    static int lineOctets(EntryTable.EntryVersion line) {
        return line.key().owner().length() + line.key().topic().length() + 2 + 2 * 9 + 8;
    }

    static byte[] lines(long whole, List<EntryTable.EntryVersion> lines) {
        ByteBuffer out = ByteBuffer.allocate(MOST)
                .put(VERSION)
                .put((byte) 1)
                .putLong(whole)
                .putShort((short) lines.size());
        for (EntryTable.EntryVersion line : lines) {
            put(out, line.key());
            number(out, line.incarnation());
            number(out, line.sequence());
            out.putLong(line.mark());
        }
        return Arrays.copyOf(out.array(), out.position());
    }

    static int wordOctets(StoredEntry word) {
        return word.key().owner().length()
                + word.key().topic().length()
                + 2
                + 3 * 9
                + 1
                + (word.clashes() ? 2 * DIGEST : word.value() == null ? 0 : 2 + word.value().length);
    }

    static byte[] words(Duration now, List<StoredEntry> words) {
        ByteBuffer out = ByteBuffer.allocate(MOST).put(VERSION).put((byte) 2).putShort((short) words.size());
        for (StoredEntry word : words) {
            put(out, word.key());
            number(out, word.incarnation());
            number(out, word.sequence());
            number(out, Math.max(0, Math.min(MOST_AGE, now.minus(word.born()).toMillis())));
            if (word.clashes()) {
                out.put((byte) 2);
                word.digests().forEach(digest -> out.put(HexFormat.of().parseHex(digest)));
            } else if (word.value() == null) {
                out.put((byte) 1);
            } else {
                out.put((byte) 0).putShort((short) word.value().length).put(word.value());
            }
        }
        return Arrays.copyOf(out.array(), out.position());
    }

    static byte[] want(List<StoredEntry.EntryKey> keys) {
        ByteBuffer out = ByteBuffer.allocate(MOST).put(VERSION).put((byte) 3).putShort((short) keys.size());
        keys.forEach(key -> put(out, key));
        return Arrays.copyOf(out.array(), out.position());
    }

    private static void put(ByteBuffer out, StoredEntry.EntryKey key) {
        for (String text : new String[] {key.owner(), key.topic()}) {
            byte[] octets = text.getBytes(StandardCharsets.US_ASCII);
            out.put((byte) octets.length).put(octets);
        }
    }

    /** Seven bits an octet, lowest first. */
    static void number(ByteBuffer out, long number) {
        long rest = number;
        while (rest > 0x7f) {
            out.put((byte) ((rest & 0x7f) | 0x80));
            rest >>>= 7;
        }
        out.put((byte) rest);
    }

    // ---- reading

    /** One of the records above, or null. */
    static Object read(byte[] body) {
        if (body.length > MOST) {
            return null;
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(body);
            if (in.get() != VERSION) {
                return null;
            }
            Object letter =
                    switch (in.get()) {
                        case 0 -> readSums(in);
                        case 1 -> readLines(in);
                        case 2 -> readWords(in);
                        case 3 -> readWant(in);
                        default -> null;
                    };
            return in.hasRemaining() ? null : letter;
        } catch (BufferUnderflowException | BufferOverflowException | IllegalArgumentException e) {
            return null;
        }
    }

    private static BucketChecksums readSums(ByteBuffer in) {
        long[] sums = new long[EntryTable.BUCKETS];
        for (int i = 0; i < sums.length; i++) {
            sums[i] = in.getLong();
        }
        return new BucketChecksums(sums);
    }

    private static VersionList readLines(ByteBuffer in) {
        long whole = in.getLong();
        int count = in.getShort() & 0xffff;
        List<EntryTable.EntryVersion> lines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StoredEntry.EntryKey key = key(in);
            lines.add(new EntryTable.EntryVersion(key, version(in), version(in), in.getLong()));
        }
        return new VersionList(whole, lines);
    }

    private static EntryBatch readWords(ByteBuffer in) {
        int count = in.getShort() & 0xffff;
        List<AgedEntry> words = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StoredEntry.EntryKey key = key(in);
            long incarnation = version(in);
            long sequence = version(in);
            long age = number(in);
            if (age > MOST_AGE) {
                throw new IllegalArgumentException("age");
            }
            byte[] value = null;
            List<String> digests;
            switch (in.get()) {
                case 0 -> {
                    value = new byte[in.getShort() & 0xffff];
                    if (value.length > VersionedEntry.MOST_OCTETS) {
                        throw new IllegalArgumentException("value");
                    }
                    in.get(value);
                    digests = List.of(StoredEntry.digest(value));
                }
                case 1 -> digests = List.of(StoredEntry.digest(null));
                case 2 -> {
                    digests = List.of(hex(in), hex(in));
                    if (digests.get(0).compareTo(digests.get(1)) >= 0) {
                        throw new IllegalArgumentException("digests");
                    }
                }
                default -> throw new IllegalArgumentException("form");
            }
            words.add(new AgedEntry(new StoredEntry(key, incarnation, sequence, value, digests, Duration.ZERO), age));
        }
        return new EntryBatch(words);
    }

    private static EntryRequest readWant(ByteBuffer in) {
        int count = in.getShort() & 0xffff;
        List<StoredEntry.EntryKey> keys = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            keys.add(key(in));
        }
        return new EntryRequest(keys);
    }

    private static String hex(ByteBuffer in) {
        byte[] octets = new byte[DIGEST];
        in.get(octets);
        return HexFormat.of().formatHex(octets);
    }

    private static StoredEntry.EntryKey key(ByteBuffer in) {
        StoredEntry.EntryKey key = new StoredEntry.EntryKey(text(in), text(in));
        if (!fits(key.owner(), key.topic())) {
            throw new IllegalArgumentException("name");
        }
        return key;
    }

    private static String text(ByteBuffer in) {
        byte[] octets = new byte[in.get() & 0xff];
        in.get(octets);
        return new String(octets, StandardCharsets.ISO_8859_1);
    }

    /** A version is counted up, by one each time: beyond that it is nobody's. */
    private static long version(ByteBuffer in) {
        long number = number(in);
        if (number > ReplicatedStore.MOST_VERSION) {
            throw new IllegalArgumentException("version");
        }
        return number;
    }

    private static long number(ByteBuffer in) {
        long number = 0;
        for (int shift = 0; shift < 63; shift += 7) {
            byte octet = in.get();
            number |= (octet & 0x7fL) << shift;
            if (octet >= 0) {
                if (octet == 0 && shift > 0) {
                    break;
                }
                return number;
            }
        }
        throw new IllegalArgumentException("number");
    }
}
