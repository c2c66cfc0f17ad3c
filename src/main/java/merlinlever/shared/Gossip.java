package merlinlever.shared;

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

    private final Lot lot;
    private final Words.Stated stated;
    private final Supplier<List<String>> live;
    private final SplittableRandom chance;
    /** To be told, with how often still. */
    private final LinkedHashMap<Word.Key, Integer> fresh = new LinkedHashMap<>();
    /** What was asked for, and until when the answer is waited for: not from two at once. */
    private final LinkedHashMap<Word.Key, Duration> wanted = new LinkedHashMap<>();

    private Duration next;
    private Duration filled;
    private long room;
    long malformed;

    Gossip(Duration now, Lot lot, Words.Stated stated, Supplier<List<String>> live, SplittableRandom chance) {
        this.lot = lot;
        this.stated = stated;
        this.live = live;
        this.chance = chance;
        next = now.plusNanos(chance.nextLong(stated.period().toNanos()));
        filled = now;
        room = stated.octetsASecond();
    }

    /** To be told to some others; one for each word held, at the most. */
    void fresh(Word.Key key) {
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

    List<Carry> period(Duration now) {
        next = now.plus(stated.period());
        fill(now);
        wanted.values().removeIf(until -> now.compareTo(until) >= 0);
        List<Carry> out = new ArrayList<>();
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
        out.add(new Carry(others.get(chance.nextInt(others.size())), Letters.sums(lot.sums())));
        return out;
    }

    /** New words, whole or announced, to the same few; what the octets do not allow waits for the next period. */
    private void tell(Duration now, List<String> few, List<Carry> out) {
        List<Word> whole = new ArrayList<>();
        List<Lot.Line> announced = new ArrayList<>();
        long octets = 0;
        for (Iterator<Map.Entry<Word.Key, Integer>> each = fresh.entrySet().iterator(); each.hasNext(); ) {
            Map.Entry<Word.Key, Integer> entry = each.next();
            Word.Key key = entry.getKey();
            Word word = lot.get(key);
            boolean small = word != null && Letters.wordOctets(word) <= SMALL;
            if (word != null && lot.told(key)) {
                octets += small ? Letters.wordOctets(word) : Letters.lineOctets(lot.line(key));
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
            few.forEach(one -> out.add(new Carry(one, letter)));
            room -= (long) letter.length * few.size();
        }
    }

    private static List<byte[]> packed(Duration now, List<Word> words, List<Lot.Line> lines) {
        List<byte[]> letters = new ArrayList<>();
        List<Word> some = new ArrayList<>();
        int octets = HEAD;
        for (Word word : words) {
            if (octets + Letters.wordOctets(word) > Letters.MOST) {
                letters.add(Letters.words(now, some));
                some = new ArrayList<>();
                octets = HEAD;
            }
            octets += Letters.wordOctets(word);
            some.add(word);
        }
        if (!some.isEmpty()) {
            letters.add(Letters.words(now, some));
        }
        List<Lot.Line> few = new ArrayList<>();
        octets = HEAD;
        for (Lot.Line line : lines) {
            if (octets + Letters.lineOctets(line) > Letters.MOST) {
                letters.add(Letters.lines(0, few));
                few = new ArrayList<>();
                octets = HEAD;
            }
            octets += Letters.lineOctets(line);
            few.add(line);
        }
        if (!few.isEmpty()) {
            letters.add(Letters.lines(0, few));
        }
        return letters;
    }

    List<Carry> answer(Duration now, String from, Object letter) {
        fill(now);
        List<Carry> out = new ArrayList<>();
        if (letter instanceof Letters.Sums sums) {
            compare(from, sums.sums(), out);
        } else if (letter instanceof Letters.Lines lines) {
            differences(now, from, lines, out);
        } else if (letter instanceof Letters.Want want) {
            give(now, from, want.keys(), out);
        }
        return out;
    }

    /** The versions of the buckets that differ, as many as fit, from a drawn one on so that each has its turn. */
    private void compare(String from, long[] sums, List<Carry> out) {
        long[] mine = lot.sums();
        long mask = 0;
        for (int i = 0; i < sums.length; i++) {
            mask |= sums[i] != mine[i] ? 1L << i : 0;
        }
        if (mask == 0) {
            return;
        }
        List<List<Lot.Line>> byBucket = new ArrayList<>();
        for (int i = 0; i < sums.length; i++) {
            byBucket.add(new ArrayList<>());
        }
        lot.lines(mask).forEach(line -> byBucket.get(Lot.bucket(line.key())).add(line));
        List<Lot.Line> lines = new ArrayList<>();
        long whole = 0;
        int octets = HEAD;
        int first = chance.nextInt(sums.length);
        for (int i = 0; i < sums.length; i++) {
            int bucket = (first + i) % sums.length;
            if ((mask >>> bucket & 1) == 1) {
                int more = byBucket.get(bucket).stream()
                        .mapToInt(Letters::lineOctets)
                        .sum();
                if (octets + more <= Math.min(Letters.MOST, room)) {
                    octets += more;
                    whole |= 1L << bucket;
                    lines.addAll(byBucket.get(bucket));
                }
            }
        }
        if (whole != 0) {
            room -= octets;
            out.add(new Carry(from, Letters.lines(whole, lines)));
        }
    }

    /** Asks for what the other has later, and gives what this one has. */
    private void differences(Duration now, String from, Letters.Lines lines, List<Carry> out) {
        List<Word.Key> want = new ArrayList<>();
        List<Word.Key> give = new ArrayList<>();
        Set<Word.Key> named = new HashSet<>();
        int octets = HEAD;
        for (Lot.Line line : lines.lines()) {
            named.add(line.key());
            Lot.Line mine = lot.line(line.key());
            int by = mine == null
                    ? 1
                    : line.incarnation() != mine.incarnation()
                            ? Long.compare(line.incarnation(), mine.incarnation())
                            : Long.compare(line.sequence(), mine.sequence());
            boolean clash = by == 0 && mine.mark() != line.mark();
            int more = line.key().owner().length() + line.key().topic().length() + 2;
            if ((by > 0 || clash)
                    && octets + more <= Letters.MOST
                    && wanted.size() < Lot.MOST
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
                .map(Lot.Line::key)
                .filter(key -> !named.contains(key))
                .forEach(give::add);
        if (!want.isEmpty() && octets <= room) {
            room -= octets;
            out.add(new Carry(from, Letters.want(want)));
        }
        give(now, from, give, out);
    }

    private void give(Duration now, String to, List<Word.Key> keys, List<Carry> out) {
        List<Word> words = new ArrayList<>();
        long octets = HEAD;
        for (Word.Key key : new LinkedHashSet<>(keys)) {
            Word word = lot.get(key);
            if (word != null && lot.told(key) && octets + Letters.wordOctets(word) <= room) {
                octets += Letters.wordOctets(word);
                words.add(word);
            }
        }
        for (byte[] letter : packed(now, words, List.of())) {
            room -= letter.length;
            out.add(new Carry(to, letter));
        }
    }
}
