package merlinlever.replication;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * One backend's part in what all know in common: its own words, those of the others, and what it tells whom. New words go to
 * a few others at once, who tell them on; each period one other is told sums of all that is held, and what differs is made good
 * ({@link Gossip}). Own words are told only once they are on the disk, where one is kept, so that a later life never says
 * less than others have heard.
 */
public final class ReplicatedStore implements SharedStore {

    /**
     * What is stated.
     *
     * @param period in which new words are told and one other is compared with
     * @param fanOut others that are told a new word at once
     * @param age words of an owner that is not heard of for so long are dropped
     * @param octetsASecond told at the most, beside the sums
     * @param keeps whether own words go to the disk before they are told ({@link #keep})
     */
    public record ReplicationSettings(Duration period, int fanOut, Duration age, int octetsASecond, boolean keeps) {
        public static ReplicationSettings usual(boolean keeps) {
            return new ReplicationSettings(Duration.ofMillis(200), 3, Duration.ofHours(24), 512 << 10, keeps);
        }
    }

    /** What has to outlast this life: its own words, and a version above which the next life begins. */
    public record PersistedEntries(long incarnation, long sequence, List<VersionedEntry> words) {
        public static final PersistedEntries NOTHING = new PersistedEntries(0, 0, List.of());
    }

    static final long MOST_VERSION = 1L << 48;
    /** Own topics and the octets of all of them, at the most; they are written to the disk together. */
    public static final int MOST_OWN = 64;

    public static final int MOST_OWN_OCTETS = 256 << 10;
    /** A stillness that is longer than a message's way: what comes right after may have waited as long. */
    private static final Duration STILL = Duration.ofSeconds(2);

    private final String self;
    private final ReplicationSettings stated;
    private final EntryTable.RetentionPolicy ages;
    private final Consumer<String> log;
    private final EntryTable lot = new EntryTable();
    private final Gossip gossip;
    private final List<EntryListener> hearers = new ArrayList<>();
    /** Put or taken back in this life. */
    private final TreeMap<String, StoredEntry> own = new TreeMap<>();
    /** Of those, what waits for the disk. */
    private final TreeMap<String, StoredEntry> pending = new TreeMap<>();

    private long incarnation;
    private long sequence;
    /** The highest incarnation under which others have words of this one that it did not say in this life. */
    private long overtakenBy = -1;

    private Duration last;
    private Duration stillness = Duration.ZERO, stillUntil = Duration.ZERO;
    private long refused;

    /**
     * @param incarnation of membership, as this life begins; words begin above it and above what was kept
     * @param kept what the life before left, or {@link PersistedEntries#NOTHING}
     * @param live the others that can be told something, now
     */
    public ReplicatedStore(
            Duration now,
            String self,
            long incarnation,
            PersistedEntries kept,
            ReplicationSettings stated,
            Supplier<List<String>> live,
            SplittableRandom chance,
            Consumer<String> log) {
        this.self = self;
        this.stated = stated;
        this.log = log;
        this.incarnation = Math.max(incarnation, kept.incarnation + 1);
        ages = new EntryTable.RetentionPolicy(stated.age);
        last = now;
        gossip = new Gossip(now, lot, stated, live, chance);
        kept.words.forEach(word -> lot.merge(StoredEntry.of(word, now)));
    }

    // ---- own words

    @Override
    public boolean put(Duration now, String topic, byte[] value) {
        alive(now);
        if (!GossipCodec.fits(self, topic) || value.length > VersionedEntry.MOST_OCTETS) {
            return false;
        }
        long octets = value.length;
        for (Map.Entry<String, StoredEntry> each : own.entrySet()) {
            octets += each.getKey().equals(topic) || each.getValue().value() == null
                    ? 0
                    : each.getValue().value().length;
        }
        StoredEntry word = next(now, topic, value.clone());
        if ((!own.containsKey(topic) && own.size() >= MOST_OWN) || octets > MOST_OWN_OCTETS || !lot.room(word)) {
            return false;
        }
        say(word);
        return true;
    }

    @Override
    public void remove(Duration now, String topic) {
        alive(now);
        if (own.containsKey(topic) || lot.get(new StoredEntry.EntryKey(self, topic)) != null) {
            say(next(now, topic, null));
        }
    }

    private StoredEntry next(Duration now, String topic, byte[] value) {
        return StoredEntry.of(new VersionedEntry(self, topic, incarnation, sequence + 1, value), now);
    }

    private void say(StoredEntry word) {
        sequence = word.sequence();
        own.put(word.key().topic(), word);
        pending.put(word.key().topic(), word);
        if (!stated.keeps) {
            tell(Long.MAX_VALUE, Long.MAX_VALUE);
        }
    }

    /** What waits for the disk goes out, up to that version. */
    private void tell(long upToIncarnation, long upToSequence) {
        pending.values().removeIf(word -> {
            boolean on = word.incarnation() < upToIncarnation
                    || (word.incarnation() == upToIncarnation && word.sequence() <= upToSequence);
            EntryTable.MergeResult taken = on ? lot.merge(word) : EntryTable.MergeResult.NO_ROOM;
            if (taken == EntryTable.MergeResult.NEWER || taken == EntryTable.MergeResult.CLASHES) {
                gossip.fresh(word.key());
            }
            return taken != EntryTable.MergeResult.NO_ROOM;
        });
    }

    /** What is to be written before more is told; null where all of it is on the disk. */
    public PersistedEntries keep() {
        if (pending.isEmpty()) {
            return null;
        }
        TreeMap<String, StoredEntry> words = new TreeMap<>();
        for (StoredEntry word : lot.words()) {
            if (word.key().owner().equals(self) && !word.clashes()) {
                words.put(word.key().topic(), word);
            }
        }
        words.putAll(own);
        return new PersistedEntries(
                incarnation,
                sequence,
                words.values().stream().map(StoredEntry::snapshot).toList());
    }

    /** It is on the disk. */
    public void kept(PersistedEntries done) {
        tell(done.incarnation, done.sequence);
    }

    // ---- words of others

    @Override
    public boolean pass(Duration now, VersionedEntry snapshot) {
        alive(now);
        if (!GossipCodec.fits(snapshot.owner(), snapshot.topic())
                || snapshot.owner().equals(self)
                || (snapshot.value() != null && snapshot.value().length > VersionedEntry.MOST_OCTETS)
                || Math.min(snapshot.incarnation(), snapshot.sequence()) < 0
                || Math.max(snapshot.incarnation(), snapshot.sequence()) > MOST_VERSION) {
            return false;
        }
        return take(now, StoredEntry.of(snapshot, now), false) == EntryTable.MergeResult.NEWER;
    }

    /** @param heard whether it came from another backend, and hearers are told */
    private EntryTable.MergeResult take(Duration now, StoredEntry word, boolean heard) {
        if (now.minus(word.born()).compareTo(ages.told(word)) >= 0) {
            return EntryTable.MergeResult.OLDER;
        }
        EntryTable.MergeResult taken = lot.merge(word);
        if (taken == EntryTable.MergeResult.NO_ROOM && refused++ % 1000 == 0) {
            log.accept("no room for the word of " + word.key().owner() + " on "
                    + word.key().topic() + ": " + lot.size() + " words, " + lot.octets() + " octets are held");
        }
        if (taken == EntryTable.MergeResult.NEWER) {
            gossip.fresh(word.key());
            if (word.key().owner().equals(self)) {
                overtaken(word);
            } else if (heard) {
                List.copyOf(hearers).forEach(hearer -> hearer.came(now, word.snapshot()));
            }
        } else if (taken == EntryTable.MergeResult.CLASHES) {
            gossip.fresh(word.key());
            VersionConflict clash = lot.get(word.key()).clash();
            log.accept("the word of " + clash.owner() + " on " + clash.topic() + " was claimed twice under "
                    + clash.incarnation() + "." + clash.sequence() + ", as " + clash.one() + " and as " + clash.other()
                    + ": neither is taken");
            List.copyOf(hearers).forEach(hearer -> hearer.clashed(now, clash));
        }
        return taken;
    }

    /** Others hold a word of this one that it does not: of a life before whose disk is lost, or of another under its name. */
    private void overtaken(StoredEntry word) {
        StoredEntry mine = own.get(word.key().topic());
        if (word.incarnation() > incarnation
                || (word.incarnation() == incarnation && word.sequence() > sequence)
                || (mine != null && word.after(mine))) {
            overtakenBy = Math.max(overtakenBy, word.incarnation());
        }
    }

    @Override
    public Optional<VersionedEntry> of(String owner, String topic) {
        StoredEntry word = lot.get(new StoredEntry.EntryKey(owner, topic));
        StoredEntry mine = owner.equals(self) ? own.get(topic) : null;
        StoredEntry counts = mine == null || (word != null && word.clashes() && !mine.after(word)) ? word : mine;
        return counts == null || counts.value() == null ? Optional.empty() : Optional.of(counts.snapshot());
    }

    @Override
    public List<VersionedEntry> all(String topic) {
        TreeMap<String, VersionedEntry> found = new TreeMap<>();
        for (StoredEntry word : lot.words()) {
            if (word.key().topic().equals(topic) && word.value() != null) {
                found.put(word.key().owner(), word.snapshot());
            }
        }
        found.remove(self);
        of(self, topic).ifPresent(mine -> found.put(self, mine));
        return List.copyOf(found.values());
    }

    @Override
    public List<VersionConflict> clashes() {
        return lot.words().stream()
                .filter(StoredEntry::clashes)
                .map(StoredEntry::clash)
                .toList();
    }

    @Override
    public void hears(EntryListener hearer) {
        hearers.add(hearer);
    }

    // ---- time and letters

    /** What is to be told now. */
    public List<OutgoingMessage> look(Duration now) {
        alive(now);
        if (!gossip.due(now)) {
            return List.of();
        }
        for (StoredEntry gone : lot.expire(now, ages)) {
            gone(now, gone);
        }
        own.values()
                .removeIf(word -> word.value() == null && now.minus(word.born()).compareTo(ages.most(word)) >= 0);
        if (overtakenBy >= 0) {
            incarnation = Math.max(incarnation, overtakenBy) + 1;
            overtakenBy = -1;
            log.accept("others hold words of this one that it did not say; it says its own again, under incarnation "
                    + incarnation);
            List.copyOf(own.values()).forEach(word -> say(next(now, word.key().topic(), word.value())));
        }
        for (StoredEntry word : List.copyOf(own.values())) {
            if (word.value() != null && now.minus(word.born()).compareTo(ages.refresh()) >= 0) {
                say(next(now, word.key().topic(), word.value()));
            }
        }
        if (!stated.keeps) {
            tell(Long.MAX_VALUE, Long.MAX_VALUE);
        }
        return gossip.period(now);
    }

    /** A letter came; answers go back. */
    public List<OutgoingMessage> came(Duration now, String from, byte[] body) {
        alive(now);
        Object letter = GossipCodec.read(body);
        if (letter == null) {
            gossip.malformed++;
            return List.of();
        }
        if (letter instanceof GossipCodec.EntryBatch words) {
            // What waited in this one's own buffers while it stood still grew older there.
            Duration waited = now.compareTo(stillUntil) < 0 ? stillness : Duration.ZERO;
            for (GossipCodec.AgedEntry each : words.words()) {
                take(now, each.word().born(now.minusMillis(each.ageMs()).minus(waited)), true);
            }
            return List.of();
        }
        return gossip.answer(now, from, letter);
    }

    private void alive(Duration now) {
        Duration gap = now.minus(last);
        last = now;
        if (gap.compareTo(STILL) > 0) {
            stillness = now.compareTo(stillUntil) < 0 ? stillness.plus(gap) : gap;
            stillUntil = now.plusSeconds(1);
            if (gap.compareTo(ages.away()) >= 0) {
                away(now);
            }
        }
    }

    /**
     * This one was away, by its own clock or by what the others tell it, and may hold what they have dropped: the words of
     * others go, and come anew from them.
     */
    public void away(Duration now) {
        log.accept("away for too long: the words of others are dropped, and asked for anew");
        for (StoredEntry word : lot.words()) {
            if (!word.key().owner().equals(self)) {
                lot.drop(word.key());
                gone(now, word);
            }
        }
    }

    private void gone(Duration now, StoredEntry word) {
        List.copyOf(hearers)
                .forEach(hearer ->
                        hearer.gone(now, word.key().owner(), word.key().topic()));
    }

    /** Alike where two hold the same. */
    public String digest() {
        return lot.digest();
    }

    /** For operators, as a JSON object. */
    public String json() {
        return "{\"words\":" + lot.size() + ",\"octets\":" + lot.octets() + ",\"clashes\":"
                + clashes().size() + ",\"refused\":" + refused + ",\"malformed\":" + gossip.malformed
                + ",\"waiting_for_disk\":" + pending.size() + ",\"digest\":\"" + digest().substring(0, 16) + "\"}";
    }
}
