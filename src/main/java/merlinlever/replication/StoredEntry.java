package merlinlever.replication;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeSet;

/**
 * A word as it is held: one version of what an owner says on a topic.
 *
 * @param value null where it was taken back, or where it was claimed twice
 * @param digests SHA-256 in hex of what was claimed under the version: one, or of more than one the two smallest
 * @param born when the owner put it, by this one's steady clock, late at the most by the messages' way
 */
record StoredEntry(EntryKey key, long incarnation, long sequence, byte[] value, List<String> digests, Duration born) {

    /** Whose word on what. */
    record EntryKey(String owner, String topic) implements Comparable<EntryKey> {
        @Override
        public int compareTo(EntryKey other) {
            int by = owner.compareTo(other.owner);
            return by != 0 ? by : topic.compareTo(other.topic);
        }
    }

    static StoredEntry of(VersionedEntry snapshot, Duration born) {
        byte[] value = snapshot.value() == null ? null : snapshot.value().clone();
        return new StoredEntry(
                new EntryKey(snapshot.owner(), snapshot.topic()),
                snapshot.incarnation(),
                snapshot.sequence(),
                value,
                List.of(digest(value)),
                born);
    }

    boolean clashes() {
        return digests.size() > 1;
    }

    boolean takenBack() {
        return value == null && !clashes();
    }

    boolean after(StoredEntry other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }

    VersionedEntry snapshot() {
        return new VersionedEntry(key.owner, key.topic, incarnation, sequence, value == null ? null : value.clone());
    }

    SharedStore.VersionConflict clash() {
        return new SharedStore.VersionConflict(
                key.owner, key.topic, incarnation, sequence, digests.get(0), digests.get(1));
    }

    StoredEntry born(Duration other) {
        return new StoredEntry(key, incarnation, sequence, value, digests, other);
    }

    /** Both of one version: the same word, or one claimed twice. Keeping the two smallest digests is a union that stays small. */
    StoredEntry with(StoredEntry other) {
        TreeSet<String> all = new TreeSet<>(digests);
        all.addAll(other.digests);
        List<String> two = all.stream().limit(2).toList();
        Duration youngest = born.compareTo(other.born) > 0 ? born : other.born;
        return new StoredEntry(key, incarnation, sequence, two.size() > 1 ? null : value, two, youngest);
    }

    /** Counted against the bound of octets. */
    int octets() {
        return 100 + key.owner.length() + key.topic.length() + (value == null ? 0 : value.length);
    }

    /** Of key, version and digests: alike where the words are. */
    long mark() {
        MessageDigest sha = sha();
        sha.update((key.owner + " " + key.topic + " " + incarnation + " " + sequence + " " + digests)
                .getBytes(StandardCharsets.US_ASCII));
        return ByteBuffer.wrap(sha.digest()).getLong();
    }

    /** Of a value, or of none. */
    static String digest(byte[] value) {
        MessageDigest sha = sha();
        sha.update((byte) (value == null ? 0 : 1));
        return HexFormat.of().formatHex(value == null ? sha.digest() : sha.digest(value));
    }

    static MessageDigest sha() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
