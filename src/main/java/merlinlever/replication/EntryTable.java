package merlinlever.replication;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeMap;

/**
 * All words that one holds, and how two lots become one: of each owner and topic the later version counts, and of one version
 * all that was claimed under it. That is a join of a semilattice (delta-state: Almeida et al. 2018), so order and
 * repetition do not matter, while there is room for all.
 */
final class EntryTable {

    /** Words and octets at the most. */
    static final int MOST = 2000;

    static final long MOST_OCTETS = 8L << 20;
    /** Whose sums are compared to find what differs. */
    static final int BUCKETS = 64;

    enum MergeResult {
        NEWER,
        KNOWN,
        OLDER,
        CLASHES,
        NO_ROOM
    }

    private static final class Row {
        final StoredEntry word;
        final long mark;
        /** Too old to be told any more; it still counts here. */
        boolean quiet;

        Row(StoredEntry word) {
            this.word = word;
            mark = word.mark();
        }
    }

    /** A word's version and mark, for comparing. */
    record EntryVersion(StoredEntry.EntryKey key, long incarnation, long sequence, long mark) {}

    private final TreeMap<StoredEntry.EntryKey, Row> all = new TreeMap<>();
    private final long[] sums = new long[BUCKETS];
    private long octets;

    static int bucket(StoredEntry.EntryKey key) {
        // As String states it: the same everywhere.
        int hash = 31 * key.owner().hashCode() + key.topic().hashCode();
        return (hash ^ hash >>> 6 ^ hash >>> 12 ^ hash >>> 18 ^ hash >>> 24) & BUCKETS - 1;
    }

    StoredEntry get(StoredEntry.EntryKey key) {
        Row held = all.get(key);
        return held == null ? null : held.word;
    }

    /** In the order of owners, then topics. */
    List<StoredEntry> words() {
        return all.values().stream().map(held -> held.word).toList();
    }

    int size() {
        return all.size();
    }

    long octets() {
        return octets;
    }

    boolean room(StoredEntry word) {
        Row held = all.get(word.key());
        return (held != null || all.size() < MOST)
                && octets + word.octets() - (held == null ? 0 : held.word.octets()) <= MOST_OCTETS;
    }

    MergeResult merge(StoredEntry word) {
        StoredEntry known = get(word.key());
        if (known != null && known.after(word)) {
            return MergeResult.OLDER;
        }
        StoredEntry made = known == null || word.after(known) ? word : known.with(word);
        boolean same = known != null && made.digests().equals(known.digests()) && !word.after(known);
        if (!same && !room(made)) {
            return MergeResult.NO_ROOM;
        }
        if (!same || made.born().compareTo(known.born()) > 0) {
            drop(word.key());
            Row held = new Row(made);
            all.put(word.key(), held);
            sums[bucket(word.key())] ^= held.mark;
            octets += made.octets();
        }
        return same ? MergeResult.KNOWN : made.clashes() ? MergeResult.CLASHES : MergeResult.NEWER;
    }

    void drop(StoredEntry.EntryKey key) {
        Row held = all.remove(key);
        if (held != null) {
            octets -= held.word.octets();
            sums[bucket(key)] ^= held.quiet ? 0 : held.mark;
        }
    }

    /** Words that are past their time, dropped; those near it are told no more. */
    List<StoredEntry> expire(Duration now, RetentionPolicy ages) {
        List<StoredEntry> gone = new ArrayList<>();
        for (Row held : List.copyOf(all.values())) {
            Duration age = now.minus(held.word.born());
            if (age.compareTo(ages.most(held.word)) >= 0) {
                drop(held.word.key());
                gone.add(held.word);
            } else if (!held.quiet && age.compareTo(ages.told(held.word)) >= 0) {
                held.quiet = true;
                sums[bucket(held.word.key())] ^= held.mark;
            }
        }
        return gone;
    }

    boolean told(StoredEntry.EntryKey key) {
        Row held = all.get(key);
        return held != null && !held.quiet;
    }

    long[] sums() {
        return sums.clone();
    }

    EntryVersion line(StoredEntry.EntryKey key) {
        Row held = all.get(key);
        return held == null ? null : new EntryVersion(key, held.word.incarnation(), held.word.sequence(), held.mark);
    }

    /** Of the buckets of the mask, those that are told. */
    List<EntryVersion> lines(long mask) {
        List<EntryVersion> lines = new ArrayList<>();
        all.forEach((key, held) -> {
            if ((mask >>> bucket(key) & 1) == 1 && !held.quiet) {
                lines.add(new EntryVersion(key, held.word.incarnation(), held.word.sequence(), held.mark));
            }
        });
        return lines;
    }

    /** SHA-256 of all: alike where two hold the same. */
    String digest() {
        MessageDigest sha = StoredEntry.sha();
        all.values()
                .forEach(held ->
                        sha.update(ByteBuffer.allocate(8).putLong(held.mark).array()));
        return HexFormat.of().formatHex(sha.digest());
    }

    /**
     * How long words live after their owner's last refresh. A word is told and taken for seven eighths of its life only, so that
     * clocks that run apart and messages that are late do not bring back what others have dropped. What an owner took back
     * is remembered for longer than any copy of the word can live, so it cannot come back.
     */
    record RetentionPolicy(Duration words) {
        Duration most(StoredEntry word) {
            return word.takenBack() ? words.plus(words.dividedBy(8)) : words;
        }

        Duration told(StoredEntry word) {
            Duration most = most(word);
            return most.minus(most.dividedBy(8));
        }

        /** Owners say their words again so often, under a new version. */
        Duration refresh() {
            return words.dividedBy(4);
        }

        /** Who stood still for so long drops the words of others. */
        Duration away() {
            return words.dividedBy(2);
        }
    }
}
