package merlinlever.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Decides what is told to whom. What is new goes to some others in two periods, whole where it is small and by its version where not, and
 * whoever takes it as new does the same (rumours that end by themselves: Demers et al. 1987). What that misses is made good by
 * comparing with one other each period: sums of all buckets, then versions of those that differ, then the words (as
 * Scuttlebutt: van Renesse et al. 2008; by buckets instead of one number an owner, as words come out of order here).
 */
final class Gossip {

    /** A word up to that size is told whole at first, a larger one is announced and asked for. */
    private static final int SMALL = 1 << 10;
    /** In so many periods a new word is told to some others; the second makes good most of what is lost of the first. */
    private static final int ROUNDS = 2;
    /** Octets kept for the head of a letter. */
    private static final int HEAD = 64;

    private final EntryTable lot;
    private final ReplicatedStore.ReplicationSettings stated;
    private final Supplier<List<String>> live;
    private final SplittableRandom chance;
    /** To be told, with how often still. */
    private final LinkedHashMap<StoredEntry.EntryKey, Integer> fresh = new LinkedHashMap<>();
    /** What was asked for, and until when the answer is waited for: not from two at once. */
    private final LinkedHashMap<StoredEntry.EntryKey, Duration> wanted = new LinkedHashMap<>();

    private Duration next;
    private Duration filled;
    private long room;
    long malformed;

    Gossip(
            Duration now,
            EntryTable lot,
            ReplicatedStore.ReplicationSettings stated,
            Supplier<List<String>> live,
            SplittableRandom chance) {
        this.lot = lot;
        this.stated = stated;
        this.live = live;
        this.chance = chance;
        next = now.plusNanos(chance.nextLong(stated.period().toNanos()));
        filled = now;
        room = stated.octetsASecond();
    }

    /** To be told to some others; one for each word held, at the most. */
    void fresh(StoredEntry.EntryKey key) {
        wanted.remove(key);
        fresh.put(key, ROUNDS);
    }

    boolean due(Duration now) {
        return now.compareTo(next) >= 0;
    }

    private void fill(Duration now) {
        Duration since = now.minus(filled);
        filled = now;
        double more = Math.min(1, since.toNanos() / 1e9) * stated.octetsASecond();
        room = Math.min(stated.octetsASecond(), room + (long) more);
    }

    List<OutgoingMessage> period(Duration now) {
        next = now.plus(stated.period());
        fill(now);
        wanted.values().removeIf(until -> now.compareTo(until) >= 0);
        List<OutgoingMessage> out = new ArrayList<>();
        List<String> others = new ArrayList<>(live.get());
        if (others.isEmpty()) {
            return out;
        }
        for (int i = 0; i < Math.min(stated.fanOut(), others.size()); i++) {
            int drawn = i + chance.nextInt(others.size() - i);
            String one = others.set(drawn, others.get(i));
            others.set(i, one);
        }
        tell(now, others.subList(0, Math.min(stated.fanOut(), others.size())), out);
        out.add(new OutgoingMessage(others.get(chance.nextInt(others.size())), GossipCodec.sums(lot.sums())));
        return out;
    }

    /** New words, whole or announced, to the same few; what the octets do not allow waits for the next period. */
    private void tell(Duration now, List<String> few, List<OutgoingMessage> out) {
        List<StoredEntry> whole = new ArrayList<>();
        List<EntryTable.EntryVersion> announced = new ArrayList<>();
        long octets = 0;
        for (Iterator<Map.Entry<StoredEntry.EntryKey, Integer>> each =
                        fresh.entrySet().iterator();
                each.hasNext(); ) {
            Map.Entry<StoredEntry.EntryKey, Integer> entry = each.next();
            StoredEntry.EntryKey key = entry.getKey();
            StoredEntry word = lot.get(key);
            boolean small = word != null && GossipCodec.wordOctets(word) <= SMALL;
            if (word != null && lot.told(key)) {
                octets += small ? GossipCodec.wordOctets(word) : GossipCodec.lineOctets(lot.line(key));
                if (octets * few.size() > room) {
                    break;
                }
                if (small) {
                    whole.add(word);
                } else {
                    announced.add(lot.line(key));
                }
            }
            if (entry.setValue(entry.getValue() - 1) <= 1 || word == null) {
                each.remove();
            }
        }
        for (byte[] letter : packed(now, whole, announced)) {
            few.forEach(one -> out.add(new OutgoingMessage(one, letter)));
            room -= (long) letter.length * few.size();
        }
    }

    private static List<byte[]> packed(Duration now, List<StoredEntry> words, List<EntryTable.EntryVersion> lines) {
        List<byte[]> letters = new ArrayList<>();
        List<StoredEntry> some = new ArrayList<>();
        int octets = HEAD;
        for (StoredEntry word : words) {
            if (octets + GossipCodec.wordOctets(word) > GossipCodec.MOST) {
                letters.add(GossipCodec.words(now, some));
                some = new ArrayList<>();
                octets = HEAD;
            }
            octets += GossipCodec.wordOctets(word);
            some.add(word);
        }
        if (!some.isEmpty()) {
            letters.add(GossipCodec.words(now, some));
        }
        List<EntryTable.EntryVersion> few = new ArrayList<>();
        octets = HEAD;
        for (EntryTable.EntryVersion line : lines) {
            if (octets + GossipCodec.lineOctets(line) > GossipCodec.MOST) {
                letters.add(GossipCodec.lines(0, few));
                few = new ArrayList<>();
                octets = HEAD;
            }
            octets += GossipCodec.lineOctets(line);
            few.add(line);
        }
        if (!few.isEmpty()) {
            letters.add(GossipCodec.lines(0, few));
        }
        return letters;
    }

    List<OutgoingMessage> answer(Duration now, String from, Object letter) {
        fill(now);
        List<OutgoingMessage> out = new ArrayList<>();
        if (letter instanceof GossipCodec.BucketChecksums sums) {
            compare(from, sums.sums(), out);
        } else if (letter instanceof GossipCodec.VersionList lines) {
            differences(now, from, lines, out);
        } else if (letter instanceof GossipCodec.EntryRequest want) {
            give(now, from, want.keys(), out);
        }
        return out;
    }

    /** The versions of the buckets that differ, as many as fit, from a drawn one on so that each has its turn. */
    private void compare(String from, long[] sums, List<OutgoingMessage> out) {
        long[] mine = lot.sums();
        long mask = 0;
        for (int i = 0; i < sums.length; i++) {
            mask |= sums[i] != mine[i] ? 1L << i : 0;
        }
        if (mask == 0) {
            return;
        }
        List<List<EntryTable.EntryVersion>> byBucket = new ArrayList<>();
        for (int i = 0; i < sums.length; i++) {
            byBucket.add(new ArrayList<>());
        }
        lot.lines(mask)
                .forEach(line -> byBucket.get(EntryTable.bucket(line.key())).add(line));
        List<EntryTable.EntryVersion> lines = new ArrayList<>();
        long whole = 0;
        int octets = HEAD;
        int first = chance.nextInt(sums.length);
        for (int i = 0; i < sums.length; i++) {
            int bucket = (first + i) % sums.length;
            if ((mask >>> bucket & 1) == 1) {
                int more = byBucket.get(bucket).stream()
                        .mapToInt(GossipCodec::lineOctets)
                        .sum();
                if (octets + more <= Math.min(GossipCodec.MOST, room)) {
                    octets += more;
                    whole |= 1L << bucket;
                    lines.addAll(byBucket.get(bucket));
                }
            }
        }
        if (whole != 0) {
            room -= octets;
            out.add(new OutgoingMessage(from, GossipCodec.lines(whole, lines)));
        }
    }

    /** Asks for what the other has later, and gives what this one has. */
    private void differences(Duration now, String from, GossipCodec.VersionList lines, List<OutgoingMessage> out) {
        List<StoredEntry.EntryKey> want = new ArrayList<>();
        List<StoredEntry.EntryKey> give = new ArrayList<>();
        Set<StoredEntry.EntryKey> named = new HashSet<>();
        int octets = HEAD;
        for (EntryTable.EntryVersion line : lines.lines()) {
            named.add(line.key());
            EntryTable.EntryVersion mine = lot.line(line.key());
            int by = mine == null
                    ? 1
                    : line.incarnation() != mine.incarnation()
                            ? Long.compare(line.incarnation(), mine.incarnation())
                            : Long.compare(line.sequence(), mine.sequence());
            boolean clash = by == 0 && mine.mark() != line.mark();
            int more = line.key().owner().length() + line.key().topic().length() + 2;
            if ((by > 0 || clash)
                    && octets + more <= GossipCodec.MOST
                    && wanted.size() < EntryTable.MOST
                    && !wanted.containsKey(line.key())) {
                octets += more;
                want.add(line.key());
                wanted.put(line.key(), now.plus(stated.period()));
            }
            if (by < 0 || clash) {
                give.add(line.key());
            }
        }
        lot.lines(lines.whole()).stream()
                .map(EntryTable.EntryVersion::key)
                .filter(key -> !named.contains(key))
                .forEach(give::add);
        if (!want.isEmpty() && octets <= room) {
            room -= octets;
            out.add(new OutgoingMessage(from, GossipCodec.want(want)));
        }
        give(now, from, give, out);
    }

    private void give(Duration now, String to, List<StoredEntry.EntryKey> keys, List<OutgoingMessage> out) {
        List<StoredEntry> words = new ArrayList<>();
        long octets = HEAD;
        for (StoredEntry.EntryKey key : new LinkedHashSet<>(keys)) {
            StoredEntry word = lot.get(key);
            if (word != null && lot.told(key) && octets + GossipCodec.wordOctets(word) <= room) {
                octets += GossipCodec.wordOctets(word);
                words.add(word);
            }
        }
        for (byte[] letter : packed(now, words, List.of())) {
            room -= letter.length;
            out.add(new OutgoingMessage(to, letter));
        }
    }
}
